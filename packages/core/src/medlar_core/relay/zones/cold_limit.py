"""Limit of the new flows that a cold server gets."""

import collections

from ...ids import Seconds
from ..local_server import ServerIncarnation
from ..messages import UNLIMITED_ROOM
from .settings import ZoneSettings

WINDOW_S = 1.25
"""A second by the server's clock: flows that are sent a second apart may
arrive closer together."""
_TOLERANCE = 1e-6
"""Keeps a whole product whole, which has no exact binary fraction."""


class ColdLimit:
    """Counts the new flows of one server over a sliding window.

    An agent's process that has just started does not know what the one
    before it has delivered, so it counts the window as used up.
    """

    def __init__(self, settings: ZoneSettings) -> None:
        self._settings = settings
        self._per_s = 0.0
        self._version = 0
        self._opened_at: collections.deque[float] = collections.deque()
        self._started_at: float | None = None
        self._taken_back_at = float("-inf")

    def configure(self, version: int, cold_per_s: float) -> None:
        """Set what the service's cold servers bear, 0 for any number."""
        if version >= self._version:
            self._version = version
            self._per_s = cold_per_s

    def forget_limit(self) -> None:
        """Forget the limit, as the server is of another service now."""
        self._version = 0
        self._per_s = 0.0

    def handle_taken_back(self, now: Seconds) -> None:
        """Count the server as cold until its next announcement.

        It may have turned cold since the last one.
        """
        self._taken_back_at = now

    def record_opened(self, now: Seconds) -> None:
        """Count a SYN that was delivered to the server."""
        if self._limit is not None:
            self._opened_at.append(now)
            self._forget_before(now - WINDOW_S)

    def is_cold(self, now: Seconds, server: ServerIncarnation) -> bool:
        """Return whether a server is cold, or may be as far as it told."""
        if server.cold_until > now:
            return True
        if self._limit is None:
            return False
        return server.presumed or server.announced_at <= self._taken_back_at

    def room(self, now: Seconds, server: ServerIncarnation | None) -> int:
        """Return how many new flows a server may get now."""
        if self._started_at is None:
            self._started_at = now
        limit = self._limit
        if server is None or limit is None or not self.is_cold(now, server):
            return UNLIMITED_ROOM
        if now - self._started_at < WINDOW_S:
            return 0
        self._forget_before(now - WINDOW_S)
        return max(0, limit - len(self._opened_at))

    def _forget_before(self, limit_at: float) -> None:
        while self._opened_at and self._opened_at[0] <= limit_at:
            self._opened_at.popleft()

    @property
    def _limit(self) -> int | None:
        """New flows in any second, None for any number."""
        cfg = self._settings
        if self._per_s <= 0.0 or cfg.cold_overage <= 0.0:
            return None
        bound = self._per_s * cfg.cold_overage + cfg.cold_slack
        return int(bound + _TOLERANCE)

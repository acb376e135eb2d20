"""Circuit breaker: stops calls to a store that fails."""

import random

from ..ids import Seconds

FAILURES_TO_OPEN = 2
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 20.0
"""Also spreads the return of all processes after an outage."""
PROBE_LIMIT_S = 5.0
"""A probe without any answer counts as failed after this time."""


class Circuit:
    """Tells whether a call may go now.

    Closed, all calls go. Open, none goes until a pause ends; then one
    call probes the store and its answer closes the circuit or doubles
    the pause. Each pause is drawn from its upper half, so that processes
    which failed together come back apart.
    """

    def __init__(
        self, rng: random.Random, longest_pause_s: float = LONGEST_PAUSE_S
    ) -> None:
        self._rng = rng
        self._longest_pause_s = longest_pause_s
        self._failures = 0
        self._pause = FIRST_PAUSE_S
        self._opens_at: float | None = None
        self._probe_ends: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether the store is held to be failing."""
        return self._opens_at is not None

    def allows(self, now: Seconds) -> bool:
        """Return whether a call may go now."""
        if self._opens_at is None:
            return True
        if self._probe_ends is not None:
            if now < self._probe_ends:
                return False
            self.failed(now)
        return now >= self._opens_at

    def sent(self, now: Seconds) -> None:
        """Note that a call goes; it is the probe if the circuit is open."""
        if self._opens_at is not None:
            self._probe_ends = now + PROBE_LIMIT_S

    def succeeded(self) -> None:
        """Note an answer: the store works."""
        self._failures = 0
        self._pause = FIRST_PAUSE_S
        self._opens_at = None
        self._probe_ends = None

    def failed(self, now: Seconds) -> None:
        """Note a call without an answer."""
        self._failures += 1
        probed = self._probe_ends is not None
        if self._opens_at is not None and not probed:
            return  # a call from before the circuit opened
        if self._failures < FAILURES_TO_OPEN and not probed:
            return
        if probed:
            self._pause = min(self._pause * 2, self._longest_pause_s)
        self._probe_ends = None
        self._opens_at = now + self._pause * self._rng.uniform(0.5, 1.0)

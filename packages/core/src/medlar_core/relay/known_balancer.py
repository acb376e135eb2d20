"""One balancer as known to another process, from its hello messages."""

import msgspec

from ..ids import PlaceName
from ..ids import Seconds
from .member import NEVER
from .member import SILENT_REPORTS

BALANCER_EXPIRY_S = 30.0


class KnownBalancer(msgspec.Struct):
    """Signs of life of a balancer, and what its last hello message told.

    ``heard_at`` is when its last hello message was received, or when it
    became known; ``config_confirmed_at`` when the store last confirmed its
    configuration to it, as far as this process uses that; ``period_s`` is
    the time between two of its messages, ``version`` of its configuration,
    ``link_mbps`` its link, 0 if unknown.
    """

    heard_at: float
    place: PlaceName | None = None
    config_confirmed_at: float = NEVER
    period_s: float = 0.0
    version: int = 0
    link_mbps: float = 0.0

    def is_expired(self, now: Seconds) -> bool:
        """Return whether the balancer is to be removed."""
        limit_s = max(BALANCER_EXPIRY_S, SILENT_REPORTS * self.period_s)
        return now - self.heard_at > limit_s

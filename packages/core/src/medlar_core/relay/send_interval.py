"""How often a process tells its peers about itself."""

from ..ids import Seconds

REPORTS_PER_S = 50.0
"""Reports of one process a second at the most, to all peers together."""


class SendInterval:
    """Spreads reports over peers within a budget.

    Each peer gets one every ``period_s`` seconds, or later where there
    are so many peers that the budget would be exceeded.
    """

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._next = 0.0

    def period_s(self, peers: int) -> float:
        """Return how often each of so many peers gets a report."""
        return max(self._period_s, peers / REPORTS_PER_S)

    def due(self, now: Seconds, peers: int) -> bool:
        """Return whether a round of reports goes now."""
        if now < self._next:
            return False
        self._next = now + self.period_s(peers)
        return True

    def hurry(self) -> None:
        """Let the next round go at once."""
        self._next = 0.0

"""Interval at which a process sends reports to its peers."""

from ..ids import Seconds

MAX_REPORTS_PER_S = 50.0
"""Maximum rate of reports of one process, over all its peers."""


class SendInterval:
    """Interval of report rounds, limited by a maximum rate.

    Each peer gets a report every ``period_s`` seconds, or less often if
    there are so many peers that the rate would be exceeded.
    """

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._next_at = 0.0

    def period_s(self, peers: int) -> float:
        """Return the interval of reports to each of ``peers`` peers."""
        return max(self._period_s, peers / MAX_REPORTS_PER_S)

    def due(self, now: Seconds, peers: int) -> bool:
        """Return whether a round is due; start the next interval if so."""
        if now < self._next_at:
            return False
        self._next_at = now + self.period_s(peers)
        return True

    def make_due(self) -> None:
        """Make the next round due at once."""
        self._next_at = 0.0

"""Interval at which a process sends reports or hello messages to peers."""

from ..ids import Seconds

MAX_MESSAGES_PER_S = 50.0
"""Maximum rate of a kind of message whose receivers need it to be recent."""
SPARSE_MESSAGES_PER_S = 5.0
"""Maximum rate of a kind of message that only shows its sender is alive, over
all its receivers, so that its cost does not grow with the fleet."""


class SendInterval:
    """Interval of rounds of messages, limited by a maximum rate.

    Each peer gets a message every ``period_s`` seconds, or less often if
    there are so many peers that the rate would be exceeded.
    """

    def __init__(
        self, period_s: float, max_per_s: float = MAX_MESSAGES_PER_S
    ) -> None:
        self._period_s = period_s
        self._max_per_s = max_per_s
        self._next_at = 0.0

    def period_s(self, peers: int) -> float:
        """Return the interval of messages to each of ``peers`` peers."""
        return max(self._period_s, peers / self._max_per_s)

    def is_due(self, now: Seconds) -> bool:
        """Return whether a round is due."""
        return now >= self._next_at

    def due(self, now: Seconds, peers: int) -> bool:
        """Return whether a round is due; start the next interval if so."""
        if not self.is_due(now):
            return False
        self._next_at = now + self._step_s(peers)
        return True

    def _step_s(self, peers: int) -> float:
        """Return the time between two times that messages are due."""
        return self.period_s(peers)

    def make_due(self) -> None:
        """Make the next round due at once."""
        self._next_at = 0.0


class ReportInterval(SendInterval):
    """Interval of reports, which are sparse if they cannot be recent.

    Few peers get reports so often that these tell the current load. Among
    many, the load is requested when it is needed, and reports only show
    that their sender is alive.
    """

    def __init__(self, period_s: float, recent_s: float) -> None:
        super().__init__(period_s)
        self._recent_s = recent_s

    def is_sparse(self, peers: int) -> bool:
        """Return whether reports to so many peers cannot be recent."""
        return super().period_s(peers) > self._recent_s

    def period_s(self, peers: int) -> float:
        """Return the interval of reports to each of ``peers`` peers."""
        if self.is_sparse(peers):
            return peers / SPARSE_MESSAGES_PER_S
        return super().period_s(peers)

    def _step_s(self, peers: int) -> float:
        """Return a shorter time for sparse reports, which go to one peer."""
        if self.is_sparse(peers):
            return 1.0 / SPARSE_MESSAGES_PER_S
        return self.period_s(peers)

"""Interval at which a process sends reports or hello messages to peers."""

from ..ids import Seconds

MAX_MESSAGES_PER_S = 50.0
"""Maximum rate of one kind of periodic message, over all its receivers."""


class SendInterval:
    """Interval of rounds of messages, limited by a maximum rate.

    Each peer gets a message every ``period_s`` seconds, or less often if
    there are so many peers that the rate would be exceeded.
    """

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._next_at = 0.0

    def period_s(self, peers: int) -> float:
        """Return the interval of messages to each of ``peers`` peers."""
        return max(self._period_s, peers / MAX_MESSAGES_PER_S)

    def is_due(self, now: Seconds) -> bool:
        """Return whether a round is due."""
        return now >= self._next_at

    def due(self, now: Seconds, peers: int) -> bool:
        """Return whether a round is due; start the next interval if so."""
        if not self.is_due(now):
            return False
        self._next_at = now + self.period_s(peers)
        return True

    def make_due(self) -> None:
        """Make the next round due at once."""
        self._next_at = 0.0

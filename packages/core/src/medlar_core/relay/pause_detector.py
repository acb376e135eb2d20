"""Detection of pauses in which the process did not run."""

from ..ids import Seconds

MIN_PAUSE_S = 1.0
"""A longer time between two ticks counts as a pause."""


class PauseDetector:
    """Detects pauses of one process from its ticks."""

    def __init__(self) -> None:
        self._ticked_at = float("inf")

    def record_tick(self, now: Seconds) -> float:
        """Record a tick; return the seconds of a pause before it, or 0."""
        pause_s = self.record_event(now)
        self._ticked_at = now
        return pause_s

    def record_event(self, now: Seconds) -> float:
        """Return the seconds of a pause that ends with this event, or 0."""
        gap_s = now - self._ticked_at
        if gap_s <= MIN_PAUSE_S:
            return 0.0
        self._ticked_at = now
        return gap_s

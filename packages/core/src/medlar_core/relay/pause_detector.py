"""Tells from the ticks that the process stood still."""

from ..ids import Seconds

STANDSTILL_S = 1.0
"""Ticks further apart tell that the process stood still."""


class PauseDetector:
    """Watches the ticks of one process."""

    def __init__(self) -> None:
        self._ticked_at = float("inf")

    def record_tick(self, now: Seconds) -> float:
        """Return for how many seconds the process stood still, or 0."""
        gap_s = now - self._ticked_at
        self._ticked_at = now
        return gap_s if gap_s > STANDSTILL_S else 0.0

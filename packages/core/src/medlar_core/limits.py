"""Rate limits by token bucket."""

from .ids import Seconds


class TokenBucket:
    """Allows ``per_s`` units a second on average and ``burst`` at once."""

    def __init__(self, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._left = burst
        self._at: Seconds | None = None

    def take(self, now: Seconds, units: float = 1.0) -> bool:
        """Take units if they are there; otherwise take nothing."""
        if self._at is not None:
            came = max(0.0, now - self._at) * self._per_s
            self._left = min(self._burst, self._left + came)
        self._at = now
        if units > self._left:
            return False
        self._left -= units
        return True

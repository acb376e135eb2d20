"""Rate limiting with a token bucket."""

from .ids import Seconds


class TokenBucket:
    """Allows ``per_s`` units a second on average and ``burst`` at once."""

    def __init__(self, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at: Seconds | None = None

    def take(self, now: Seconds, units: float = 1.0) -> bool:
        """Take units and return True, or take none and return False."""
        if self._refilled_at is not None:
            refill = max(0.0, now - self._refilled_at) * self._per_s
            self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        if units > self._tokens:
            return False
        self._tokens -= units
        return True

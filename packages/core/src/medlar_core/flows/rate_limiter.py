"""A token bucket rate limiter."""

from ..ids import Seconds


class RateLimiter:
    """Allows ``rate`` units a second, with bursts of up to ``burst``."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._available = burst
        self._updated_at = 0.0

    def available(self, now: Seconds) -> float:
        """Return the units available now; negative after an overdraft."""
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        self._available = min(
            self._burst, self._available + elapsed * self._rate
        )
        return self._available

    def consume(self, units: float) -> None:
        """Subtract units; the balance may fall below zero."""
        self._available -= units

    def try_acquire(self, now: Seconds) -> bool:
        """Consume one unit if available, and return whether it was."""
        if self.available(now) < 1.0:
            return False
        self.consume(1.0)
        return True

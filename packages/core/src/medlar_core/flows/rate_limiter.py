"""A rate limit with a burst."""

from ..ids import Seconds


class RateLimiter:
    """Lets ``rate`` units a second pass, ``burst`` at once."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._left = burst
        self._at = 0.0

    def available(self, now: Seconds) -> float:
        """Return the units that may pass now."""
        passed = max(0.0, now - self._at)
        self._at = max(now, self._at)
        self._left = min(self._burst, self._left + passed * self._rate)
        return self._left

    def consume(self, units: float) -> None:
        """Note units that passed; the balance may fall below zero."""
        self._left -= units

    def try_acquire(self, now: Seconds) -> bool:
        """Return whether one unit try_acquire now, and note it."""
        if self.available(now) < 1.0:
            return False
        self.consume(1.0)
        return True

"""Share of failures among the recent outcomes of a server's flows."""

import msgspec

from ...ids import Seconds

HALF_LIFE_S = 5.0
"""Evidence counts half after this."""
RECENT_OUTCOMES = 12
"""Number of outcomes after which earlier ones count little."""
FAILING_SHARE = 0.25
"""Share of failures from which on a server is an outlier."""

_KEPT = 1.0 - 1.0 / RECENT_OUTCOMES


class Score(msgspec.Struct):
    """Decaying counts of failures and successes."""

    failures: float = 0.0
    successes: float = 0.0
    updated_at: float = 0.0

    def add(self, now: Seconds, failures: float, successes: float) -> None:
        """Add the weight of one outcome."""
        kept = _KEPT * 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
        self.updated_at = now
        self.failures = self.failures * kept + failures
        self.successes = self.successes * kept + successes

    def is_failing(self, least_failures: float) -> bool:
        """Return whether a server is an outlier by at least some failures."""
        if self.failures < least_failures:
            return False
        return self.failures >= FAILING_SHARE * (
            self.failures + self.successes
        )

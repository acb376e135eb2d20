"""The budget of a relay process at the store."""

import random

from ..storeaccess.access import StoreAccess

CALLS_PER_S = 5.0
BURST_CALLS = 8.0
CALL_LIMIT_S = 0.8
"""A call without an answer is given up after this, a watch this long
after its wait."""
LONGEST_PAUSE_S = 0.5
"""With the limit of a call this bounds the time until entries that
lapsed in an outage are written again."""


def new_access(rng: random.Random) -> StoreAccess:
    """Return the store access of one process."""
    return StoreAccess(rng, CALLS_PER_S, BURST_CALLS, LONGEST_PAUSE_S)

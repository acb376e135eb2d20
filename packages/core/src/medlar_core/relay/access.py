"""Limits of a relay process on its store calls."""

import random

from ..storeaccess.access import StoreAccess

CALLS_PER_S = 5.0
BURST_CALLS = 8.0
CALL_LIMIT_S = 0.8
"""Time-out of a call; a watch times out this long after its wait time."""
LONGEST_PAUSE_S = 0.5
"""Longest pause between calls while the store is unavailable. Together with
the time-out of a call, it bounds the time until entries whose leases
expired in an outage are written again."""


def new_access(rng: random.Random) -> StoreAccess:
    """Return the store access of one process."""
    return StoreAccess(rng, CALLS_PER_S, BURST_CALLS, LONGEST_PAUSE_S)

"""The budget of a relay process at the store."""

import random

from medlar_core.storeaccess.access import StoreAccess

CALLS_PER_S = 5.0
BURST_CALLS = 8.0
LONGEST_PAUSE_S = 1.0
"""Entries that lapsed in an outage are written soon after its end."""


def new_access(rng: random.Random) -> StoreAccess:
    """Return the store access of one process."""
    return StoreAccess(rng, CALLS_PER_S, BURST_CALLS, LONGEST_PAUSE_S)

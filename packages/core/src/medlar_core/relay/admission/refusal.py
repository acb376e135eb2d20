"""When a flow is told that it has no chance, rather than left to wait.

Answers floods that last: a caller that is refused at once can try again or
give up while its request is still of use. See docs/design/admission.md for
what callers do after silence and after a reset.
"""

import msgspec

from ...ids import Seconds
from .capacity import ServerLoad
from .held import ATTEMPT_S
from .held import Held
from .order import Chance
from .order import chance
from .order import flows_before

MAX_HELD = 128
MAX_HELD_BYTES = 32_768
MAX_UNKNOWN_PER_SLOT = 8
"""Flows held for each slot while the server's service time is unknown."""


class Expectation(msgspec.Struct, frozen=True):
    """The wait that a held flow can expect, and what comes of it."""

    held: Held
    wait_s: float
    chance: Chance


def expectations(
    now: Seconds, ordered: list[Held], load: ServerLoad
) -> list[Expectation]:
    """Return what each flow can expect, in the order given."""
    found = []
    for held, before in zip(ordered, flows_before(ordered), strict=True):
        wait_s = load.wait_s(before)
        # Who is next waits for what may be gone: its age alone counts.
        expected = chance(now, held, load, wait_s if before else 0.0)
        found.append(Expectation(held, wait_s, expected))
    return found


def beyond_limits(
    expected: list[Expectation], load: ServerLoad
) -> list[Expectation]:
    """Return the last flows that are more than may be held."""
    limit = MAX_HELD
    if not load.service_s:
        limit = min(limit, MAX_UNKNOWN_PER_SLOT * load.slots)
    size = sum(entry.held.size for entry in expected)
    kept = len(expected)
    while kept > limit or size > MAX_HELD_BYTES:
        kept -= 1
        size -= expected[kept].held.size
    return expected[kept:]


def without_chance(
    now: Seconds, expected: list[Expectation]
) -> list[Expectation]:
    """Return the flows to be refused, as their turn would come too late.

    A flow of which a SYN is on its way, or went elsewhere, is kept until all
    have come, or its caller has given up.
    """
    return [
        entry
        for entry in expected
        if entry.chance is Chance.NONE
        and (entry.held.may_be_reset(now) or entry.held.age_s(now) > ATTEMPT_S)
    ]

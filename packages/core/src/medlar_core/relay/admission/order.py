"""Order in which held flows start.

Answers floods of one priority: the priority of the route goes first, then
flows that can still be served within their target, then callers with fewer
starts, then age. Each priority keeps a floor.
"""

import enum

from ...ids import Seconds
from .capacity import ServerLoad
from .fair_share import CallerShares
from .held import ATTEMPT_S
from .held import Held

SERVICE_MARGIN = 1.25
"""Mean service times reserved for a request, as some take longer."""
RANK_FLOOR = 0.1
"""Share of the starts that each waiting rank keeps."""
STARTS_REMEMBERED = 10.0
"""Starts over which the shares of ranks are averaged."""


class Chance(enum.IntEnum):
    """What a flow can still expect."""

    IN_TARGET = 0
    LATE = 1
    NONE = 2


def chance(
    now: Seconds, held: Held, load: ServerLoad, wait_s: float
) -> Chance:
    """Return what a flow can expect if it waits ``wait_s`` for its slot.

    It is opened a round trip ahead of that. A further round trip is for the
    first SYN and the response, which the agent does not see. A caller whose
    attempt ends meanwhile tries again, so that only its timeout counts. A
    slot that is free now gets a flow whatever the measured times are: only
    further flows can correct these.
    """
    age_s = held.age_s(now)
    timeout_s = held.terms.timeout_ms / 1_000
    if age_s > min(ATTEMPT_S, timeout_s):
        return Chance.NONE
    work_s = load.service_s * SERVICE_MARGIN
    total_s = age_s + load.round_trip_s + work_s
    total_s += max(wait_s, load.round_trip_s)
    if wait_s and total_s > timeout_s:
        return Chance.NONE
    if total_s > _target_s(held):
        return Chance.LATE
    return Chance.IN_TARGET


def _target_s(held: Held) -> float:
    return (held.terms.target_ms or held.terms.timeout_ms) / 1_000


class RankShares:
    """Recent share of the starts that each rank got."""

    def __init__(self) -> None:
        self._shares: dict[int, float] = {}

    def record_start(self, rank: int) -> None:
        """Count the start of a flow of a rank."""
        weight = 1.0 / STARTS_REMEMBERED
        self._shares.setdefault(rank, 0.0)
        for known in self._shares:
            self._shares[known] *= 1.0 - weight
        self._shares[rank] += weight

    def share(self, rank: int) -> float:
        """Return the share of the recent starts."""
        return self._shares.get(rank, 0.0)

    def is_below_floor(self, rank: int) -> bool:
        """Return whether a rank is to go first."""
        return self.share(rank) < RANK_FLOOR


def in_order(
    now: Seconds, flows: list[Held], load: ServerLoad, callers: CallerShares
) -> list[Held]:
    """Return the flows in the order in which they start, but for floors.

    Those that have no chance even if they start next are left out.
    """
    by_age = sorted(flows, key=lambda held: held.first_at)
    turns = callers.turns(now, by_age)
    # The next one that starts waits for the flows at the server only.
    wait_s = load.wait_s(0)
    keyed = []
    for place, (held, turn) in enumerate(zip(by_age, turns, strict=True)):
        expected = chance(now, held, load, wait_s)
        if expected is not Chance.NONE:
            key = (held.terms.rank, expected, turn, place)
            keyed.append((key, held))
    keyed.sort(key=lambda entry: entry[0])
    return [held for _, held in keyed]


def next_place(ordered: list[Held], ranks: RankShares) -> int:
    """Return the place of the flow that starts next.

    It is the first one, or the first one of a rank below its floor.
    """
    for place, held in enumerate(ordered):
        if ranks.is_below_floor(held.terms.rank):
            return place
    return 0


def flows_before(ordered: list[Held]) -> list[float]:
    """Return how many flows start before each one, as far as is known.

    A rank that others go ahead of moves on at its floor.
    """
    counts: dict[int, int] = {}
    before = []
    for place, held in enumerate(ordered):
        own = counts.get(held.terms.rank, 0)
        counts[held.terms.rank] = own + 1
        before.append(min(float(place), own / RANK_FLOOR))
    return before

"""Rows on the return of the whole fleet and of the store."""

import collections
from collections.abc import Callable
import random
from typing import Any

from medlar_core.events import StoreAnswered
from medlar_core.ids import NodeId
from medlar_core.ids import Seconds
from medlar_core.ids import StoreCallId
from medlar_core.store import Found
from medlar_core.store import List
from medlar_core.store import Unavailable
from medlar_core.storeaccess.access import Part
from medlar_core.storeaccess.access import StoreAccess

from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .budgets import sizes
from .fit import at_design
from .fit import told
from .fleet import D_AGENTS
from .fleet import D_BALANCERS
from .fleet import Fleet
from .whole import whole

LIMIT_S = 60.0
STEP_S = 0.5
PROCESSES = D_BALANCERS + D_AGENTS
READS_BOUND = 1000
CAPACITY = 2000
"""Reads a second that the platform's store serves; more go unanswered."""
OUTAGE_S = 1800
RETURN_S = 60
RETRY_S = 2.0
ASK_AGAIN_S = 30.0
EARLY_STEP_S = 10


def cold_fleet(size: Size, seed: int) -> list[Row]:
    """Replace every balancer at once with the store down."""
    found = {count: _recovered_s(count, seed) for count in sizes(size)}
    note = (
        "members and configuration; the seeds keep their addresses, all "
        f"others get new ones; derived over log size; {told(found, 1)}"
    )
    value = at_design(found)
    row = Row(
        "recover.cold_fleet_s", value, "s", 15, Sense.MAX, seed, None, "", note
    )
    return [row]


def store_back(size: Size, seed: int) -> list[Row]:
    """Let every process of D want the store when it comes back."""
    count = PROCESSES
    ours = _calls_after_return(count, seed, _Budgeted)
    naive = _calls_after_return(count, seed, _Eager)
    note = (
        f"{count} processes that all want the store; worst second "
        f"{max(ours)}, baseline {max(naive)}"
    )
    return [
        Row(
            "recover.store_back_s",
            float(_seconds_over(ours)),
            "s",
            30,
            Sense.MAX,
            seed,
            float(_seconds_over(naive)),
            "all reconnect at once, retry after 2 s",
            note,
        )
    ]


def replace_all(fleet: Fleet) -> None:
    """Replace every balancer; only the seeds keep their addresses."""
    old = {node: host.record.place for node, host in fleet.balancers.items()}
    for node in old:
        fleet.kill(node)
    for number, (node, place) in enumerate(old.items()):
        fresh = NodeId(f"10.9.{number >> 8}.{number & 255}:7")
        fleet.add_balancer(node if node in fleet.seeds else fresh, place)


def _recovered_s(balancers: int, seed: int) -> float:
    fleet = whole(balancers, seed)
    fleet.settle()
    fleet.store.down = True
    start = fleet.clock.now
    replace_all(fleet)
    while fleet.clock.now - start < LIMIT_S:
        fleet.run(STEP_S)
        agents = set(fleet.agents)
        used = all(fleet.usable(node) == agents for node in fleet.balancers)
        if fleet.complete() and used:
            break
    return fleet.clock.now - start


class _Eager:
    """A process that calls at once and again when it fails."""

    def __init__(self, rng: random.Random) -> None:
        self._next = 0.0

    def calls(self, now: float) -> list[StoreCallId]:
        """Return the calls of this second."""
        if now < self._next:
            return []
        self._next = now + RETRY_S
        return [StoreCallId(0)]

    def answered(self, now: float, call: StoreCallId, served: bool) -> None:
        """Take the answer."""
        if served:
            self._next = now + ASK_AGAIN_S


class _Budgeted:
    """A process that goes through StoreAccess."""

    def __init__(self, rng: random.Random) -> None:
        self._access = StoreAccess(rng)
        self._next = 0.0
        self._call: StoreCallId | None = None

    def calls(self, now: float) -> list[StoreCallId]:
        """Return the calls of this second."""
        at = Seconds(now)
        if self._call is None and now >= self._next:
            self._call = self._access.submit(at, Part.MEMBERS, List("k"))
        return [effect.call for effect in self._access.due(at)]

    def answered(self, now: float, call: StoreCallId, served: bool) -> None:
        """Take the answer."""
        answer = Found((), 1) if served else Unavailable("busy")
        event = StoreAnswered(call, answer)
        self._access.take(Seconds(now), Part.MEMBERS, event)
        self._call = None
        self._next = now + (ASK_AGAIN_S if served else 0.0)


def _calls_after_return(
    count: int, seed: int, make: Callable[[random.Random], Any]
) -> list[int]:
    """Return the calls in each second after the store is back."""
    rng = random.Random(seed)
    hosts = [make(random.Random(rng.getrandbits(64))) for _ in range(count)]
    calls: collections.Counter[int] = collections.Counter()
    for second in _seconds():
        served = 0
        for host in hosts:
            for call in host.calls(float(second)):
                up = second >= OUTAGE_S and served < CAPACITY
                served += 1
                calls[second] += 1
                host.answered(float(second), call, up)
    return [calls[OUTAGE_S + second] for second in range(RETURN_S)]


def _seconds() -> list[int]:
    """Return the seconds to look at: few early in the outage."""
    early = range(0, OUTAGE_S - RETURN_S, EARLY_STEP_S)
    return [*early, *range(OUTAGE_S - RETURN_S, OUTAGE_S + RETURN_S)]


def _seconds_over(calls: list[int]) -> int:
    """Return the seconds until calls stay within the bound."""
    over = [number for number, n in enumerate(calls) if n > READS_BOUND]
    return max(over) + 1 if over else 0

"""Measures the bad days in fleets of several sizes."""

import msgspec

from medlar_core.ids import PlaceName
from medlar_core.ids import RegionName

from .capacity_measure import load_of
from .capacity_measure import Meter
from .capacity_measure import PLACES
from .capacity_measure import SETTLE_S
from .capacity_measure import start
from .capacity_measure import Steady
from .world.fleet import Fleet
from .world.world import World

FIRST_S = 10.0
"""Time after a fault over which bytes are averaged."""
CUT_S = 120.0
OUTAGE_S = 600.0
LOST = PLACES[-1]


class BadDay(msgspec.Struct, frozen=True):
    """What a fault costs a fleet of one size.

    ``during`` is the load while it lasts, or in the FIRST_S seconds
    after it; ``after`` that of the FIRST_S seconds after its end.
    ``taken_out`` counts how often a balancer took a live server out.
    """

    during: Steady
    after: Steady
    taken_out: int


class BadDays(msgspec.Struct, frozen=True):
    """All bad days of a fleet of one size."""

    balancers: int
    place_lost: BadDay
    regions_apart: BadDay
    store_down: BadDay


def measure_bad_days(balancers: int, seed: int) -> BadDays:
    """Bring each fault about in a fleet of its own."""
    return BadDays(
        balancers,
        _place_lost(balancers, seed),
        _regions_apart(balancers, seed),
        _store_down(balancers, seed),
    )


class _Run:
    """A settled fleet with its meter."""

    def __init__(self, balancers: int, seed: int) -> None:
        self.fleet = Fleet(seed)
        self.world = self.fleet.world
        self.meter = Meter(self.world)
        self.fleet.regions = {
            PlaceName(name): RegionName(name[0]) for name in PLACES
        }
        start(self.fleet, balancers)
        self.world.run(SETTLE_S)
        self._before = taken_out(self.world)

    def spend(self, seconds: float) -> Steady:
        """Let time pass and return what was spent in it."""
        self.meter.restart()
        self.world.run(seconds)
        return load_of(self.world, self.meter)

    def taken_out(self) -> int:
        """Return how often balancers took live servers out meanwhile."""
        return taken_out(self.world) - self._before


def taken_out(world: World) -> int:
    """Return how often balancers saw live servers cease to be ready."""
    live = {p.node for p in world.processes if p.serves}
    return sum(
        removed.server in live
        for process in world.processes
        if process.service is None
        for removed in process.removed
    )


def _place_lost(balancers: int, seed: int) -> BadDay:
    run = _Run(balancers, seed)
    run.fleet.lose_place(LOST)
    during = run.spend(FIRST_S)
    return BadDay(during, run.spend(FIRST_S), run.taken_out())


def _regions_apart(balancers: int, seed: int) -> BadDay:
    run = _Run(balancers, seed)
    for one in PLACES:
        for other in PLACES:
            if one[0] != other[0]:
                run.world.cut(PlaceName(one), PlaceName(other))
    during = run.spend(CUT_S)
    run.world.heal()
    return BadDay(during, run.spend(FIRST_S), run.taken_out())


def _store_down(balancers: int, seed: int) -> BadDay:
    run = _Run(balancers, seed)
    run.world.store.down = True
    during = run.spend(OUTAGE_S)
    run.world.store.down = False
    return BadDay(during, run.spend(FIRST_S), run.taken_out())

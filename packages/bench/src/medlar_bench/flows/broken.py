"""Rows on broken flows and packets that reached another service."""

from collections.abc import Callable
from collections.abc import Iterator
import math

import msgspec

from medlar_core.config.model import Configuration
from medlar_core.ids import NodeId

from ..rows import Measurement
from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .baselines import Hashed
from .baselines import Tabled
from .callers import Callers
from .callers import FlowState
from .factories import Fleet
from .world import address_of
from .world import make_cfg
from .world import make_service
from .world import PLACES
from .world import World

HASH = "rendezvous hash of live servers"
TABLE = "flow table per balancer"
BERTH = "berth-desk"
MANIFEST = "manifest-office"
MOVING_ADDRESS = "192.0.2.254:443"


class Load(msgspec.Struct, frozen=True):
    """How much runs in a scenario: feeds per server, gap in seconds."""

    feeds: int
    short_per_s: int
    gap_s: float
    rounds: int


LOADS = {
    Size.FAST: Load(feeds=12, short_per_s=10, gap_s=8.0, rounds=1),
    Size.FULL: Load(feeds=100, short_per_s=50, gap_s=20.0, rounds=1),
}
SERVERS = {BERTH: 7, MANIFEST: 3}
BALANCERS = 3


class Stage:
    """The Authority's fleet under feeds and short flows."""

    def __init__(
        self,
        size: Size,
        seed: int,
        fleet: Fleet | None,
        load: Load | None = None,
    ) -> None:
        self.load = load or LOADS[size]
        services = [make_service(name) for name in SERVERS]
        self.world = World(seed, make_cfg(*services), fleet)
        self.callers = Callers(self.world)
        self.alive: dict[str, list[NodeId]] = {}
        self.balancers = [self.world.add_balancer() for _ in range(BALANCERS)]
        for name, count in SERVERS.items():
            self.alive[name] = [self.join(name) for _ in range(count)]
        self.wait(3.0)
        for name, count in SERVERS.items():
            for _ in range(count * self.load.feeds):
                self.callers.open(address_of(name))
        self.run_short(self.load.short_per_s)
        self.wait(FILL_S)

    def run_short(self, per_s: int, until: float = math.inf) -> None:
        """Open short flows at a rate until a time."""
        rng, clock = self.world.rng, self.world.clock

        def open_one() -> bool:
            name = BERTH if rng.random() < 0.7 else MANIFEST
            self.callers.open(address_of(name), packets=rng.randint(2, 6))
            return clock.now < until

        clock.every(1.0 / per_s, open_one)

    def join(self, service: str) -> NodeId:
        """Add a server in some place."""
        return self.world.add_server(service, self.world.rng.choice(PLACES))

    def wait(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.world.clock.run_until(self.world.clock.now + seconds)

    def replace_server(self, service: str, node: NodeId) -> None:
        """Drain a server and start another one for it."""
        self.alive[service].remove(node)
        self.world.drain(node)
        self.alive[service].append(self.join(service))

    def replace_balancer(self) -> None:
        """Kill the oldest balancer and start another one."""
        self.world.kill_balancer(self.balancers.pop(0))
        self.balancers.append(self.world.add_balancer())

    def finish(self) -> None:
        """Let late packets come home."""
        self.wait(30.0)


FILL_S = 6.0
Scenario = Callable[[Stage], set[NodeId]]
"""Plays a schedule; returns the servers whose flows may break."""


def drain(stage: Stage) -> set[NodeId]:
    """Drain and replace every server in turn."""
    for service in SERVERS:
        for node in list(stage.alive[service]):
            stage.replace_server(service, node)
            stage.wait(stage.load.gap_s)
    return set()


def join(stage: Stage) -> set[NodeId]:
    """Let servers join in bursts of a third of the fleet."""
    for _ in range(3):
        for service in SERVERS:
            for _ in range(max(1, len(stage.alive[service]) // 3)):
                stage.alive[service].append(stage.join(service))
        stage.wait(stage.load.gap_s)
    return set()


def balancer(stage: Stage) -> set[NodeId]:
    """Kill and replace every balancer in turn, while servers drain."""
    for service, node in _in_turn(stage):
        stage.replace_server(service, node)
        stage.replace_balancer()
        stage.wait(stage.load.gap_s / 2)
    return set()


def uneven(stage: Stage) -> set[NodeId]:
    """Let two overlapping changes reach processes seconds apart."""
    world = stage.world
    world.max_delay_s = 5.0
    world.duplicate_share = 0.3
    world.net.faults.double = 0.05
    world.net.faults.jitter_s = 0.02
    for service, node in _in_turn(stage):
        stage.replace_server(service, node)
        stage.wait(1.0)
        stage.alive[service].append(stage.join(service))
        stage.wait(0.5)
        stage.replace_server(service, stage.alive[service][0])
        stage.wait(stage.load.gap_s)
    return set()


def mixed(stage: Stage) -> set[NodeId]:
    """Play all of it at once, agents restart and a place is lost."""
    world = stage.world
    world.max_delay_s = 3.0
    world.duplicate_share = 0.3
    world.net.faults.double = 0.02
    world.lag[stage.balancers[-1]] = 60.0
    for service, node in _in_turn(stage):
        stage.replace_server(service, node)
        stage.alive[service].append(stage.join(service))
        stage.wait(stage.load.gap_s / 4)
        stage.replace_balancer()
        world.restart_agent(stage.alive[service][0], down_s=1.5)
        stage.wait(stage.load.gap_s)
    lost = {i for i, s in world.servers.items() if s.place == PLACES[1]}
    for node in sorted(lost):
        world.crash(node)
        for nodes in stage.alive.values():
            if node in nodes:
                nodes.remove(node)
    stage.wait(stage.load.gap_s)
    for service in SERVERS:
        for _ in range(2):
            stage.alive[service].append(stage.join(service))
    stage.wait(stage.load.gap_s)
    return lost


def move_address(stage: Stage) -> set[NodeId]:
    """Move an address between the services while servers are replaced.

    Feeds to the address stay open; short flows to it go on.
    """
    world = stage.world
    world.max_delay_s = 8.0
    world.net.faults.double = 0.05
    for turn, (service, node) in enumerate(_in_turn(stage)):
        mover = MANIFEST if turn % 2 == 0 else BERTH
        world.configure(_moved_to(mover))
        stage.replace_server(service, node)
        for _ in range(stage.load.feeds):
            stage.callers.open(MOVING_ADDRESS)
        for _ in range(20):
            stage.callers.open(MOVING_ADDRESS, packets=4)
            stage.wait(0.5)
        stage.replace_balancer()
        stage.wait(stage.load.gap_s)
    return set()


def _moved_to(service: str) -> Configuration:
    services = [make_service(name) for name in SERVERS]
    moved = make_service(service, MOVING_ADDRESS).addresses
    return make_cfg(
        *(
            msgspec.structs.replace(s, addresses=s.addresses + moved)
            if s.name == service
            else s
            for s in services
        )
    )


def _in_turn(stage: Stage) -> Iterator[tuple[str, NodeId]]:
    """Yield a server of each service to replace, one after another."""
    for _ in range(2 * stage.load.rounds):
        for service in SERVERS:
            yield service, stage.alive[service][0]


SCENARIOS: dict[str, tuple[Scenario, Callable[[], Fleet], str]] = {
    "drain": (drain, Hashed, HASH),
    "join": (join, Hashed, HASH),
    "balancer": (balancer, Tabled, TABLE),
    "uneven": (uneven, Tabled, TABLE),
    "mixed": (mixed, Tabled, TABLE),
}


def play(
    name: str, size: Size, seed: int, fleet: Fleet | None
) -> tuple[Stage, int]:
    """Play a scenario; return its stage and the flows that broke."""
    stage = Stage(size, seed, fleet)
    excused = SCENARIOS[name][0](stage)
    stage.finish()
    return stage, stage.callers.broken(excused)


def measure(name: str, size: Size, seed: int) -> list[Row]:
    """Measure the flows that a scenario breaks."""
    _, make, simple = SCENARIOS[name]
    stage, broken = play(name, size, seed, None)
    _, baseline = play(name, size, seed, make())
    callers = stage.callers
    opened = len(callers.flows) + len(callers.ended)
    refused = callers.count(FlowState.REFUSED)
    return [
        Row(
            name=f"flows.broken.{name}",
            value=broken,
            unit="flows",
            bound=0,
            sense=Sense.MAX,
            seed=seed,
            baseline=baseline,
            baseline_name=simple,
            note=f"{opened} flows opened, {refused} refused",
        )
    ]


def measure_foreign(size: Size, seed: int) -> list[Row]:
    """Measure packets that reach another service than their own."""
    stage = Stage(size, seed, None)
    move_address(stage)
    stage.finish()
    callers = stage.callers
    note = f"{callers.delivered} packets, {callers.broken()} flows broken"
    return [
        Row(
            name="flows.foreign",
            value=callers.misdelivered,
            unit="packets",
            bound=0,
            sense=Sense.MAX,
            seed=seed,
            note=note,
        )
    ]


def _measurement(name: str) -> Measurement:
    return Measurement(
        (f"flows.broken.{name}",),
        lambda size, seed: measure(name, size, seed),
    )


MEASUREMENTS = (
    *(_measurement(name) for name in SCENARIOS),
    Measurement(("flows.foreign",), measure_foreign),
)

"""Rows on broken flows and on packets delivered to another service."""

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
from .baselines import FlowTableFactory
from .baselines import HashFactory
from .callers import Callers
from .callers import FlowState
from .factories import ReducerFactory
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
    """Load of a scenario.

    ``feeds`` are long-lived flows per server and ``gap_s`` is the time
    between two changes.
    """

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


class Testbed:
    """A fleet of two services under long-lived and short flows."""

    def __init__(
        self,
        size: Size,
        seed: int,
        factory: ReducerFactory | None,
        load: Load | None = None,
    ) -> None:
        self.load = load or LOADS[size]
        services = [make_service(name) for name in SERVERS]
        self.world = World(seed, make_cfg(*services), factory)
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
        """Open ``per_s`` short flows a second up to time ``until``."""
        rng, clock = self.world.rng, self.world.clock

        def open_one() -> bool:
            name = BERTH if rng.random() < 0.7 else MANIFEST
            self.callers.open(address_of(name), packets=rng.randint(2, 6))
            return clock.now < until

        clock.every(1.0 / per_s, open_one)

    def join(self, service: str) -> NodeId:
        """Add a server in a random place."""
        return self.world.add_server(service, self.world.rng.choice(PLACES))

    def wait(self, seconds: float) -> None:
        """Advance virtual time."""
        self.world.clock.run_until(self.world.clock.now + seconds)

    def replace_server(self, service: str, node: NodeId) -> None:
        """Drain a server and start a replacement."""
        self.alive[service].remove(node)
        self.world.drain(node)
        self.alive[service].append(self.join(service))

    def replace_balancer(self) -> None:
        """Kill the oldest balancer and start a replacement."""
        self.world.kill_balancer(self.balancers.pop(0))
        self.balancers.append(self.world.add_balancer())

    def finish(self) -> None:
        """Wait until packets in flight and retransmissions have arrived."""
        self.wait(30.0)


FILL_S = 6.0
Scenario = Callable[[Testbed], set[NodeId]]
"""Runs a schedule; returns the servers whose flows may break."""


def drain(testbed: Testbed) -> set[NodeId]:
    """Drain and replace every server in turn."""
    for service in SERVERS:
        for node in list(testbed.alive[service]):
            testbed.replace_server(service, node)
            testbed.wait(testbed.load.gap_s)
    return set()


def join(testbed: Testbed) -> set[NodeId]:
    """Add servers in bursts of a third of the fleet."""
    for _ in range(3):
        for service in SERVERS:
            for _ in range(max(1, len(testbed.alive[service]) // 3)):
                testbed.alive[service].append(testbed.join(service))
        testbed.wait(testbed.load.gap_s)
    return set()


def balancer(testbed: Testbed) -> set[NodeId]:
    """Kill and replace every balancer in turn, while servers drain."""
    for service, node in _replacements(testbed):
        testbed.replace_server(service, node)
        testbed.replace_balancer()
        testbed.wait(testbed.load.gap_s / 2)
    return set()


def uneven(testbed: Testbed) -> set[NodeId]:
    """Make overlapping changes that reach processes seconds apart."""
    world = testbed.world
    world.max_delay_s = 5.0
    world.duplicate_share = 0.3
    world.net.faults.duplicate = 0.05
    world.net.faults.jitter_s = 0.02
    for service, node in _replacements(testbed):
        testbed.replace_server(service, node)
        testbed.wait(1.0)
        testbed.alive[service].append(testbed.join(service))
        testbed.wait(0.5)
        testbed.replace_server(service, testbed.alive[service][0])
        testbed.wait(testbed.load.gap_s)
    return set()


def mixed(testbed: Testbed) -> set[NodeId]:
    """Combine all changes with agent restarts and the loss of a place."""
    world = testbed.world
    world.max_delay_s = 3.0
    world.duplicate_share = 0.3
    world.net.faults.duplicate = 0.02
    world.lag[testbed.balancers[-1]] = 60.0
    for service, node in _replacements(testbed):
        testbed.replace_server(service, node)
        testbed.alive[service].append(testbed.join(service))
        testbed.wait(testbed.load.gap_s / 4)
        testbed.replace_balancer()
        world.restart_agent(testbed.alive[service][0], down_s=1.5)
        testbed.wait(testbed.load.gap_s)
    lost = {i for i, s in world.servers.items() if s.place == PLACES[1]}
    for node in sorted(lost):
        world.crash(node)
        for nodes in testbed.alive.values():
            if node in nodes:
                nodes.remove(node)
    testbed.wait(testbed.load.gap_s)
    for service in SERVERS:
        for _ in range(2):
            testbed.alive[service].append(testbed.join(service))
    testbed.wait(testbed.load.gap_s)
    return lost


def move_address(testbed: Testbed) -> set[NodeId]:
    """Move an address between the services while servers are replaced.

    Long-lived flows to the address stay open while short ones are opened.
    """
    world = testbed.world
    world.max_delay_s = 8.0
    world.net.faults.duplicate = 0.05
    for turn, (service, node) in enumerate(_replacements(testbed)):
        mover = MANIFEST if turn % 2 == 0 else BERTH
        world.configure(_moved_to(mover))
        testbed.replace_server(service, node)
        for _ in range(testbed.load.feeds):
            testbed.callers.open(MOVING_ADDRESS)
        for _ in range(20):
            testbed.callers.open(MOVING_ADDRESS, packets=4)
            testbed.wait(0.5)
        testbed.replace_balancer()
        testbed.wait(testbed.load.gap_s)
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


def _replacements(testbed: Testbed) -> Iterator[tuple[str, NodeId]]:
    """Yield the service and server to replace, alternating services."""
    for _ in range(2 * testbed.load.rounds):
        for service in SERVERS:
            yield service, testbed.alive[service][0]


SCENARIOS: dict[str, tuple[Scenario, Callable[[], ReducerFactory], str]] = {
    "drain": (drain, HashFactory, HASH),
    "join": (join, HashFactory, HASH),
    "balancer": (balancer, FlowTableFactory, TABLE),
    "uneven": (uneven, FlowTableFactory, TABLE),
    "mixed": (mixed, FlowTableFactory, TABLE),
}


def run_scenario(
    name: str, size: Size, seed: int, factory: ReducerFactory | None
) -> tuple[Testbed, int]:
    """Run a scenario; return its testbed and the number of broken flows."""
    testbed = Testbed(size, seed, factory)
    may_break = SCENARIOS[name][0](testbed)
    testbed.finish()
    return testbed, testbed.callers.broken(may_break)


def measure(name: str, size: Size, seed: int) -> list[Row]:
    """Count the flows that a scenario breaks."""
    _, make_factory, baseline_name = SCENARIOS[name]
    testbed, broken = run_scenario(name, size, seed, None)
    _, baseline = run_scenario(name, size, seed, make_factory())
    callers = testbed.callers
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
            baseline_name=baseline_name,
            note=f"{opened} flows opened, {refused} refused",
        )
    ]


def measure_misdelivered(size: Size, seed: int) -> list[Row]:
    """Count packets delivered to a service other than their own."""
    testbed = Testbed(size, seed, None)
    move_address(testbed)
    testbed.finish()
    callers = testbed.callers
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
    Measurement(("flows.foreign",), measure_misdelivered),
)

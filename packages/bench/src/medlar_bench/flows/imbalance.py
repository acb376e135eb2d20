"""Rows on the balance of open flows over ready servers."""

import collections
import math

from medlar_core.ids import NodeId
from medlar_core.members.view import ServerState
from medlar_core.packets import Flag
from medlar_core.packets import Packet

from ..rows import Measurement
from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .baselines import Hashed
from .broken import HASH
from .world import address_of
from .world import Fleet
from .world import make_cfg
from .world import make_service
from .world import PLACES
from .world import World

WORKLOADS = {
    "A": {"berth-desk": 7, "manifest-office": 3},
    "S": {"giftshop": 7, "gallery": 3},
}
FLOWS_PER_SERVER = 200
STEP_S = 30.0
"""Time between two joins or drains, in seconds."""

LIFE_S = 360.0
"""Mean life of a flow, in seconds; twelve steps."""

STEPS = {Size.FAST: 20, Size.FULL: 100}
SAMPLES = 5
D_SERVERS = 5600
D_SLICES = {Size.FAST: (60, 120), Size.FULL: (120, 240, 480, 960)}
D_FLOWS = 100
D_FILL_S = 10.0
BUCKETS_PER_SERVER = 16


class Population:
    """Callers that open flows, keep them silently and end them."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.opened = 0
        world.to_caller = self._answered
        self._lives: dict[tuple[str, str], float] = {}

    def open(self, address: str, life_s: float) -> None:
        """Open a flow that ends after a time in seconds."""
        self.opened += 1
        number = self.opened
        caller = f"198.18.{number >> 16}.{number >> 8 & 255}:{number & 255}"
        self._lives[caller, address] = life_s
        self.world.send(Packet(caller, address, int(Flag.SYN)))

    def _answered(self, packet: Packet) -> None:
        life_s = self._lives.pop((packet.caller, packet.address), None)
        if life_s is None or not packet.flags & Flag.SYN:
            return
        proof = Packet(packet.caller, packet.address, int(Flag.ACK))
        self.world.send(proof)
        if not math.isfinite(life_s):
            return
        flags = int(Flag.FIN | Flag.ACK)
        end = Packet(packet.caller, packet.address, flags)
        self.world.clock.after(life_s, lambda: self.world.send(end))


def spread(world: World, service: str) -> float:
    """Return max/mean open flows of a service's ready servers."""
    counts = [
        len(world.connections[server.id])
        for server in world.servers.values()
        if server.service == service and server.state is ServerState.READY
    ]
    return max(counts) / (sum(counts) / len(counts))


def _churn(
    workload: dict[str, int], size: Size, seed: int, fleet: Fleet | None
) -> float:
    """Return the worst spread after joins and drains."""
    services = [make_service(name) for name in workload]
    world = World(seed, make_cfg(*services), fleet, tick_s=0.5)
    rng = world.rng
    people = Population(world)
    for _ in range(3):
        world.add_balancer()
    live: dict[str, list[NodeId]] = collections.defaultdict(list)
    for name, count in workload.items():
        for number in range(count):
            place = PLACES[number % len(PLACES)]
            live[name].append(world.add_server(name, place))
    world.clock.run_until(3.0)

    def arrive(name: str, rate: float) -> None:
        people.open(address_of(name), rng.expovariate(1.0 / LIFE_S))
        gap = rng.expovariate(rate)
        world.clock.after(gap, lambda: arrive(name, rate))

    for name, count in workload.items():
        flows = count * FLOWS_PER_SERVER
        for _ in range(flows):
            people.open(address_of(name), rng.expovariate(1.0 / LIFE_S))
        arrive(name, flows / LIFE_S)
    for step in range(STEPS[size]):
        for name, count in workload.items():
            _change(world, name, live[name], count, step)
        world.clock.run_until(world.clock.now + STEP_S)
    worst = 0.0
    for _ in range(SAMPLES):
        world.clock.run_until(world.clock.now + STEP_S / SAMPLES)
        worst = max(worst, *(spread(world, name) for name in workload))
    return worst


def _change(
    world: World, name: str, live: list[NodeId], count: int, step: int
) -> None:
    """Join a server, or drain the oldest one, and remove empty ones."""
    if len(live) <= count and (step % 2 == 0 or len(live) < count):
        place = world.rng.choice(PLACES)
        live.append(world.add_server(name, place))
    else:
        world.drain(live.pop(0))
    for server in list(world.servers.values()):
        idle = not world.connections[server.id]
        if server.state is ServerState.DRAINING and idle:
            world.remove(server.id)


def measure_churn(workload: str, size: Size, seed: int) -> list[Row]:
    """Measure the balance after joins and drains."""
    services = WORKLOADS[workload]
    baseline = _churn(services, size, seed, Hashed())
    return [
        Row(
            name=f"flows.imbalance.{workload}",
            value=_churn(services, size, seed, None),
            unit="max/mean",
            bound=1.15,
            sense=Sense.MAX,
            seed=seed,
            baseline=baseline,
            baseline_name=HASH,
            note=f"worst of {SAMPLES} looks after {STEPS[size]} changes",
        )
    ]


def _fill(servers: int, seed: int, fleet: Fleet | None) -> float:
    """Return the spread after each server's share of new flows came."""
    buckets = 1 << (servers * BUCKETS_PER_SERVER - 1).bit_length()
    service = make_service("large", buckets=buckets)
    world = World(seed, make_cfg(service), fleet, tick_s=0.5)
    people = Population(world)
    for _ in range(3):
        world.add_balancer()
    world.quiet = True
    for number in range(servers):
        world.add_server("large", PLACES[number % len(PLACES)])
    world.quiet = False
    world.tell_all()
    world.clock.run_until(5.0)
    total = servers * D_FLOWS
    for number in range(total):
        at = 5.0 + D_FILL_S * number / total
        world.clock.at(at, lambda: people.open(address_of("large"), math.inf))
    world.clock.run_until(5.0 + D_FILL_S + 1.0)
    return spread(world, "large")


def measure_large(size: Size, seed: int) -> list[Row]:
    """Derive the balance at design size from the slope over slices.

    The largest of n counts grows with the logarithm of n.
    """
    slices = D_SLICES[size]
    found = [_fill(n, seed, None) for n in slices]
    simple = [_fill(n, seed, Hashed()) for n in slices]
    note = ", ".join(
        f"{n}: {v:.3f}" for n, v in zip(slices, found, strict=True)
    )
    return [
        Row(
            name="flows.imbalance.D",
            value=at_log(slices, found, D_SERVERS),
            unit="max/mean",
            bound=1.25,
            sense=Sense.MAX,
            seed=seed,
            baseline=at_log(slices, simple, D_SERVERS),
            baseline_name=HASH,
            note=f"slope over {note}",
        )
    ]


def at_log(sizes: tuple[int, ...], values: list[float], size: int) -> float:
    """Return the value at a size on the line through value and log size."""
    logs = [math.log(n) for n in sizes]
    mean_x = sum(logs) / len(logs)
    mean_y = sum(values) / len(values)
    over = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(logs, values, strict=True)
    )
    slope = over / sum((x - mean_x) ** 2 for x in logs)
    return mean_y + slope * (math.log(size) - mean_x)


def _of(workload: str) -> Measurement:
    return Measurement(
        (f"flows.imbalance.{workload}",),
        lambda size, seed: measure_churn(workload, size, seed),
    )


MEASUREMENTS = (
    _of("A"),
    _of("S"),
    Measurement(("flows.imbalance.D",), measure_large),
)

"""Measures whole balancers and agents in fleets of several sizes.

The processes are the composed reducers with all their parts; net and
store are the fakes. Bytes count both directions of every control
message, processor time that of the reducers on all events but packets.
"""

import collections
from collections.abc import Sequence
import gc
import sys
import time
import types
from typing import Any

import msgspec

from medlar_core.compose import CompositeReducer
from medlar_core.effects import Send
from medlar_core.events import LoadMeasured
from medlar_core.events import PacketArrived
from medlar_core.events import Received
from medlar_core.events import Reducer
from medlar_core.events import ServerSent
from medlar_core.flows.balancer import BalancerFlows
from medlar_core.ids import NodeId
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName

from .world.fleet import Fleet
from .world.world import World

AGENTS_PER_BALANCER = 5_600 / 720
SERVERS_PER_ADDRESS = 5_600 / 2_300
PLACES = ("a1", "a2", "a3", "a4", "b1", "b2", "b3")
SETTLE_S = 20.0
STEADY_S = 40.0
CHANGE_S = 20.0
"""Time in which a change has spread and its traffic has ended."""
DRAIN_LIMIT_S = 1_800.0
LOAD_S = 1.0
FLOWS = 1_480
"""Mean open flows per server: 8.3 million over 5,600."""
FLOWS_VARY = 50
MB = 1_000_000


class Load(msgspec.Struct, frozen=True):
    """What the processes of one role spend; the mean and the busiest.

    Bytes and messages are per second, ``core`` is a share of a core.
    """

    bytes_mean: float
    bytes_most: float
    messages: float
    core: float


class Steady(msgspec.Struct, frozen=True):
    """What a fleet spends; store calls are those of the fleet a second."""

    balancer: Load
    agent: Load
    reads: float
    writes: float


class PartCore(msgspec.Struct, frozen=True):
    """The share of a core that one part of a mean balancer takes."""

    name: str
    core: float


class Sample(msgspec.Struct, frozen=True):
    """One fleet: its size and what it spends.

    ``steady`` is a time without changes; ``replacement`` and ``change``
    are the CHANGE_S seconds after one server was replaced and after one
    change of the configuration. The state is that of one process.
    """

    balancers: int
    agents: int
    steady: Steady
    parts: tuple[PartCore, ...]
    replacement: Steady
    change: Steady
    balancer_mb: float
    agent_mb: float
    balancer_flows_mb: float
    agent_flows_mb: float
    document_mb: float

    @property
    def processes(self) -> int:
        """Balancers and agents together."""
        return self.balancers + self.agents


class _Nodes(msgspec.Struct, frozen=True):
    balancers: list[NodeId]
    agents: list[NodeId]


class Meter:
    """Counts what processes that start from now on spend."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._core: dict[NodeId, float] = collections.defaultdict(float)
        self._messages: collections.Counter[NodeId] = collections.Counter()
        self._begin_s = 0.0
        self._parts: dict[str, float] = collections.defaultdict(float)
        self._world.wrap = self._wrap

    def restart(self) -> None:
        """Count from now on."""
        net = self._world.net
        net.bytes_sent.clear()
        net.bytes_recv.clear()
        self._world.store.calls.clear()
        self._core.clear()
        self._messages.clear()
        self._parts.clear()
        self._begin_s = self._world.clock.now

    @property
    def seconds(self) -> float:
        """Virtual seconds since the restart."""
        return self._world.clock.now - self._begin_s

    def load(self, nodes: Sequence[NodeId]) -> Load:
        """Return what some processes spent since the restart."""
        net = self._world.net
        each = [net.bytes_sent[n] + net.bytes_recv[n] for n in nodes]
        count = len(nodes) * self.seconds
        return Load(
            bytes_mean=sum(each) / count,
            bytes_most=max(each) / self.seconds,
            messages=sum(self._messages[n] for n in nodes) / count,
            core=sum(self._core[n] for n in nodes) / count,
        )

    def calls(self, kind: str) -> float:
        """Return store calls of a kind a second since the restart."""
        found = self._world.store.calls.items()
        return sum(n for (_, k), n in found if k == kind) / self.seconds

    def parts(self, count: int) -> tuple["PartCore", ...]:
        """Return the cores that each part of a mean balancer took."""
        each = count * self.seconds
        found = sorted(p for p in self._parts.items() if p[0][0] != "_")
        return tuple(PartCore(name, took / each) for name, took in found)

    def note_part(self, name: str, took_s: float) -> None:
        """Add time that a part of a balancer took."""
        self._parts[name] += took_s

    def _wrap(self, node: NodeId, host: Reducer) -> Reducer:
        """Time a reducer, and each part of it if it is a balancer's."""
        assert isinstance(host, CompositeReducer)
        if any(isinstance(part, BalancerFlows) for part in host.parts):
            host.parts = tuple(_TimedPart(self, part) for part in host.parts)
        return _Timed(self, node, host)

    def note(self, node: NodeId, event: Any, took_s: float, sent: int) -> None:
        """Count an event that a process took and the messages it sent."""
        self._core[node] += took_s
        self._messages[node] += sent + isinstance(event, Received)


class _TimedPart:
    """A part whose time is added up by its name."""

    def __init__(self, meter: Meter, part: Reducer) -> None:
        self._meter = meter
        self._part = part
        self._name = type(part).__name__

    def reduce(self, now: Seconds, event: Any) -> list[Any]:
        begin = time.thread_time()
        effects = self._part.reduce(now, event)
        self._meter.note_part(self._name, time.thread_time() - begin)
        return effects


class _Timed:
    """A reducer whose events but packets are counted and timed."""

    def __init__(self, meter: Meter, node: NodeId, host: Reducer) -> None:
        self._meter = meter
        self._node = node
        self._host = host

    def reduce(self, now: Seconds, event: Any) -> list[Any]:
        if isinstance(event, PacketArrived | ServerSent):
            return self._host.reduce(now, event)
        begin = time.thread_time()
        effects = self._host.reduce(now, event)
        took_s = time.thread_time() - begin
        sent = sum(isinstance(effect, Send) for effect in effects)
        self._meter.note(self._node, event, took_s, sent)
        return effects


def measure(balancers: int, seed: int) -> Sample:
    """Start a fleet with its share of agents and addresses and meter it."""
    fleet = Fleet(seed)
    world = fleet.world
    meter = Meter(world)
    start(fleet, balancers)
    nodes = _nodes(world)
    world.run(SETTLE_S)
    meter.restart()
    _vary_loads(world, STEADY_S)
    world.run(STEADY_S)
    steady = load_of(world, meter)
    parts = meter.parts(len(nodes.balancers))
    replaced = _replacement(fleet, meter)
    applied = _change(fleet, meter)
    first, last = world.role(nodes.balancers[0]), world.role(nodes.agents[-1])
    return Sample(
        balancers=balancers,
        agents=len(nodes.agents),
        steady=steady,
        parts=parts,
        replacement=replaced,
        change=applied,
        balancer_mb=deep_bytes(first.members, first.config) / MB,
        agent_mb=deep_bytes(last.members, last.config) / MB,
        balancer_flows_mb=deep_bytes(first.flows, first.requests) / MB,
        agent_flows_mb=deep_bytes(last.flows, last.requests) / MB,
        document_mb=len(msgspec.json.encode(fleet.configuration())) / MB,
    )


def start(fleet: Fleet, balancers: int) -> None:
    """Bring balancers into service, with agents and addresses to scale."""
    agents = round(balancers * AGENTS_PER_BALANCER)
    services = max(1, round(agents / SERVERS_PER_ADDRESS))
    fleet.add_places(PLACES)
    fleet.add_balancers(balancers)
    for number in range(services):
        servers = len(range(number, agents, services))
        fleet.add_service(f"service-{number}", servers)
    fleet.become_ready()


def deep_bytes(*roots: Any) -> int:
    """Return the bytes of all that objects refer to, types left out."""
    left_out = (type, types.ModuleType, types.FunctionType)
    seen: set[int] = set()
    queue = list(roots)
    total = 0
    while queue:
        item = queue.pop()
        if id(item) in seen or isinstance(item, left_out):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        queue += gc.get_referents(item)
    return total


def _replacement(fleet: Fleet, meter: Meter) -> Steady:
    """Replace one server and return the load until it has settled."""
    world = fleet.world
    old = world.live(ServiceName("service-0"))[0]
    meter.restart()
    world.stop(old)
    world.start_server(ServiceName("service-0"), old.place)
    world.run(CHANGE_S)
    return load_of(world, meter)


def _change(fleet: Fleet, meter: Meter) -> Steady:
    """Apply one change of the configuration and return the load."""
    meter.restart()
    fleet.change_drain_limit("service-0", DRAIN_LIMIT_S)
    applied = fleet.apply()
    fleet.world.run(CHANGE_S)
    assert applied.version is not None, f"got {applied.outcome}"
    return load_of(fleet.world, meter)


def load_of(world: World, meter: Meter) -> Steady:
    """Return what the live processes spent since the meter's restart."""
    nodes = _nodes(world)
    return Steady(
        balancer=meter.load(nodes.balancers),
        agent=meter.load(nodes.agents),
        reads=meter.calls("read"),
        writes=meter.calls("write"),
    )


def _nodes(world: World) -> _Nodes:
    live = [p for p in world.processes if p.lives]
    return _Nodes(
        balancers=[p.node for p in live if p.service is None],
        agents=[p.node for p in live if p.service is not None],
    )


def _vary_loads(world: World, seconds: float) -> None:
    """Let each agent's flows and busy slots change each second."""
    ends = world.clock.now + seconds

    def tell() -> bool:
        for node in _nodes(world).agents:
            flows = FLOWS + world.rng.randint(-FLOWS_VARY, FLOWS_VARY)
            busy = world.rng.randint(0, 2)
            world.net.dispatch(node, LoadMeasured(flows, busy))
        return world.clock.now < ends

    world.clock.every(LOAD_S, tell)

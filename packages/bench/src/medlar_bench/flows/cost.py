"""Rows on the cost of a packet decision and on state per flow."""

import gc
import random
import statistics
import time
import tracemalloc

import msgspec
import numpy as np

from medlar_core.config.model import Configuration
from medlar_core.config.model import Service
from medlar_core.effects import Deliver
from medlar_core.events import ConfigurationChanged
from medlar_core.events import PacketArrived
from medlar_core.events import Received
from medlar_core.events import Reducer
from medlar_core.events import Tick
from medlar_core.events import ViewChanged
from medlar_core.flows.agent import AgentFlows
from medlar_core.flows.balancer import BalancerFlows
from medlar_core.flows.messages import Hint
from medlar_core.flows.messages import Located
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.ids import Version
from medlar_core.members.view import Balancer
from medlar_core.members.view import Server
from medlar_core.members.view import ServerState
from medlar_core.members.view import View
from medlar_core.packets import decode
from medlar_core.packets import encode
from medlar_core.packets import Flag
from medlar_core.packets import Packet

from ..rows import Measurement
from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .baselines import HashBalancer
from .broken import HASH
from .world import make_cfg
from .world import make_service
from .world import PLACES

ENTRY = NodeId("10.1.0.1:9000")
FIRST_PORT = 443
PACKETS = 20_000
REPEATS = 15
A_SERVICES = (7, 3)
D_SERVICES = 575
D_SERVERS = 5600
D_ADDRESSES = 4
A_HINTS = 1_000
"""Displaced flows that balancers have hints of at the Authority's."""

D_HINTS = 290_000
"""The same at design size, on an ordinary day."""

D_HINTED = 3
"""One service in so many had a server replaced in the last 8 hours."""

STATE_FLOWS = {Size.FAST: 10_000, Size.FULL: 50_000}
HELD_BYTES = 256
ELSEWHERE_BYTES = 64


def _scene(counts: list[int], addresses: int) -> tuple[Configuration, View]:
    """Return a configuration and view of services of so many servers."""
    services: list[Service] = []
    servers: list[Server] = []
    for number, count in enumerate(counts):
        name = f"service-{number}"
        ip = f"192.0.{number // 250}.{number % 250}"
        carried = tuple(
            make_service(name, f"{ip}:{port}").addresses[0]
            for port in range(FIRST_PORT, FIRST_PORT + addresses)
        )
        service = make_service(name)
        services.append(msgspec.structs.replace(service, addresses=carried))
        for index in range(count):
            serial = len(servers)
            node = NodeId(f"10.2.{serial // 250}.{serial % 250}:9000")
            servers.append(
                Server(
                    node,
                    Incarnation(1),
                    ServiceName(name),
                    PLACES[index % len(PLACES)],
                    ServerState.READY,
                )
            )
    balancers = (Balancer(ENTRY, Incarnation(1), PLACES[0]),)
    return make_cfg(*services), View(1, tuple(servers), balancers)


def _packets(cfg: Configuration, seed: int) -> list[PacketArrived]:
    """Return packets of many flows to all addresses, as received."""
    rng = random.Random(seed)
    texts = [a.text for service in cfg.services for a in service.addresses]
    found = []
    for number in range(PACKETS):
        port = rng.randint(1, 65535)
        caller = f"198.18.{number >> 8}.{number & 255}:{port}"
        packet = Packet(caller, rng.choice(texts), int(Flag.ACK), b"data")
        found.append(PacketArrived(decode(encode(packet))))
    return found


def _start(host: Reducer, cfg: Configuration, view: View) -> Reducer:
    host.reduce(Seconds(0.0), ConfigurationChanged(cfg, Version(1)))
    host.reduce(Seconds(0.0), ViewChanged(view))
    return host


def _hinted(host: Reducer, view: View, count: int, seed: int) -> None:
    """Give a balancer the hints of an ordinary day.

    They are of services whose server was replaced not long ago.
    """
    rng = np.random.default_rng(seed)
    batch = 100
    names = sorted({server.service for server in view.servers})
    hinted = set(names[::D_HINTED])
    holders = [s for s in view.servers if s.service in hinted]
    for number in range(count // batch):
        holder = holders[number % len(holders)]
        marks = rng.integers(0, 1 << 32, batch, np.uint32).tobytes()
        hint = Hint(
            holder.id, Incarnation(1), number, ENTRY, holder.service, marks
        )
        host.reduce(Seconds(1.0), Received(holder.id, hint))


def _seconds(host: Reducer, events: list[PacketArrived]) -> float:
    """Return the seconds that one decision takes."""
    now = Seconds(2.0)
    reduce = host.reduce
    start = time.perf_counter()
    for event in events:
        reduce(now, event)
    return (time.perf_counter() - start) / len(events)


def measure_decisions(size: Size, seed: int) -> list[Row]:
    """Time decisions at A and D and of the baseline at A, in turn.

    The ratios are medians over rounds, because other load on the
    machine slows the parts of one round alike.
    """
    small_cfg, small = _scene(list(A_SERVICES), 1)
    spread = [
        D_SERVERS // D_SERVICES + (i < D_SERVERS % D_SERVICES)
        for i in range(D_SERVICES)
    ]
    large_cfg, large = _scene(spread, D_ADDRESSES)
    rng = random.Random(seed)
    runs: list[tuple[Reducer, Configuration, View]] = [
        (BalancerFlows(ENTRY, PLACES[0], rng), small_cfg, small),
        (BalancerFlows(ENTRY, PLACES[0], rng), large_cfg, large),
        (HashBalancer(ENTRY), small_cfg, small),
    ]
    hosts = [_start(host, cfg, view) for host, cfg, view in runs]
    _hinted(hosts[0], small, A_HINTS, seed)
    _hinted(hosts[1], large, D_HINTS, seed)
    events = [_packets(cfg, seed) for _, cfg, _ in runs]
    rounds: list[list[float]] = []
    gc.collect()
    gc.disable()
    for _ in range(REPEATS):
        pairs = zip(hosts, events, strict=True)
        rounds.append([_seconds(host, found) for host, found in pairs])
    gc.enable()
    slope = statistics.median(d / a for a, d, _ in rounds)
    cost = statistics.median(a / simple for a, _, simple in rounds)
    at_a, at_d, simple = (min(times) for times in zip(*rounds, strict=True))
    note = f"A {at_a * 1e6:.2f} us, D {at_d * 1e6:.2f} us"
    return [
        Row(
            name="flows.decide.slope",
            value=slope,
            unit="ratio",
            bound=1.5,
            sense=Sense.MAX,
            seed=seed,
            note=note,
        ),
        Row(
            name="flows.decide.cost",
            value=cost,
            unit="ratio",
            bound=1.0,
            sense=Sense.MAX,
            seed=seed,
            baseline=1.0,
            baseline_name=HASH,
            note=f"{note}, baseline {simple * 1e6:.2f} us",
        ),
    ]


def _agent(cfg: Configuration, view: View) -> AgentFlows:
    server = view.servers[0]
    agent = AgentFlows(
        server.id,
        server.service,
        server.place,
        server.incarnation,
        random.Random(1),
    )
    _start(agent, cfg, view)
    agent.reduce(Seconds(1.0), Tick())
    return agent


def measure_state(size: Size, seed: int) -> list[Row]:
    """Measure memory per flow held and per flow held elsewhere."""
    cfg, view = _scene([1], 1)
    service = msgspec.structs.replace(
        cfg.services[0], connections=STATE_FLOWS[size] * 2
    )
    cfg = make_cfg(service)
    now = Seconds(100.0)
    address = service.addresses[0].text
    agent = _agent(cfg, view)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(STATE_FLOWS[size]):
        caller = f"198.18.{number >> 8}.{number & 255}:50000"
        for flags in (Flag.SYN, Flag.ACK):
            data = encode(Packet(caller, address, int(flags)))
            effects = agent.reduce(now, PacketArrived(decode(data)))
            if not any(isinstance(e, Deliver) for e in effects):
                raise RuntimeError(f"expected delivery, got {effects}")
    held = tracemalloc.get_traced_memory()[0] - before
    other = _agent(cfg, view)
    rng = np.random.default_rng(seed)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(STATE_FLOWS[size] // 100):
        keys = rng.integers(0, 1 << 63, 100, np.uint64).tobytes()
        told = Located(number + 1, Incarnation(1), keys)
        src = NodeId(f"10.2.1.{number % 10}:9000")
        other.reduce(now, Received(src, told))
    elsewhere = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return [
        _state_row("held", held / agent.open_flows, HELD_BYTES, seed),
        _state_row(
            "elsewhere", elsewhere / STATE_FLOWS[size], ELSEWHERE_BYTES, seed
        ),
    ]


def _state_row(name: str, value: float, bound: int, seed: int) -> Row:
    return Row(
        name=f"flows.state_bytes.{name}",
        value=value,
        unit="bytes/flow",
        bound=bound,
        sense=Sense.MAX,
        seed=seed,
    )


MEASUREMENTS = (
    Measurement(
        ("flows.decide.slope", "flows.decide.cost"),
        measure_decisions,
        wall=True,
    ),
    Measurement(
        ("flows.state_bytes.held", "flows.state_bytes.elsewhere"),
        measure_state,
    ),
)

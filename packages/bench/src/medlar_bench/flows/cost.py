"""Rows on CPU time per packet decision and memory per flow."""

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

BALANCER = NodeId("10.1.0.1:9000")
FIRST_PORT = 443
PACKETS = 20_000
ROUNDS = 15
A_SERVICES = (7, 3)
D_SERVICES = 575
D_SERVERS = 5600
D_ADDRESSES = 4
A_HINTS = 1_000
"""Hints for displaced flows at balancers, at size A."""

D_HINTS = 290_000
"""Hints at design size D, on an ordinary day."""

D_HINTED_EVERY = 3
"""One in this many services had a server replaced in the last 8 hours."""

STATE_FLOWS = {Size.FAST: 10_000, Size.FULL: 50_000}
HELD_BYTES = 256
ELSEWHERE_BYTES = 64


def _topology(counts: list[int], addresses: int) -> tuple[Configuration, View]:
    """Return a configuration and view; ``counts`` are servers by service."""
    services: list[Service] = []
    servers: list[Server] = []
    for number, count in enumerate(counts):
        name = f"service-{number}"
        ip = f"192.0.{number // 250}.{number % 250}"
        addresses_of_service = tuple(
            make_service(name, f"{ip}:{port}").addresses[0]
            for port in range(FIRST_PORT, FIRST_PORT + addresses)
        )
        service = make_service(name)
        services.append(
            msgspec.structs.replace(service, addresses=addresses_of_service)
        )
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
    balancers = (Balancer(BALANCER, Incarnation(1), PLACES[0]),)
    return make_cfg(*services), View(1, tuple(servers), balancers)


def _packets(cfg: Configuration, seed: int) -> list[PacketArrived]:
    """Return packets of many flows to random addresses, as received."""
    rng = random.Random(seed)
    texts = [a.text for service in cfg.services for a in service.addresses]
    found = []
    for number in range(PACKETS):
        port = rng.randint(1, 65535)
        caller = f"198.18.{number >> 8}.{number & 255}:{port}"
        packet = Packet(caller, rng.choice(texts), int(Flag.ACK), b"data")
        found.append(PacketArrived(decode(encode(packet))))
    return found


def _start(reducer: Reducer, cfg: Configuration, view: View) -> Reducer:
    reducer.reduce(Seconds(0.0), ConfigurationChanged(cfg, Version(1)))
    reducer.reduce(Seconds(0.0), ViewChanged(view))
    return reducer


def _send_hints(reducer: Reducer, view: View, count: int, seed: int) -> None:
    """Send a balancer ``count`` hints, in batches.

    They are for services of which a server was replaced recently.
    """
    rng = np.random.default_rng(seed)
    batch = 100
    names = sorted({server.service for server in view.servers})
    hinted = set(names[::D_HINTED_EVERY])
    holders = [s for s in view.servers if s.service in hinted]
    for number in range(count // batch):
        holder = holders[number % len(holders)]
        marks = rng.integers(0, 1 << 32, batch, np.uint32).tobytes()
        hint = Hint(
            holder.id, Incarnation(1), number, BALANCER, holder.service, marks
        )
        reducer.reduce(Seconds(1.0), Received(holder.id, hint))


def _decision_s(reducer: Reducer, events: list[PacketArrived]) -> float:
    """Return the mean time of a decision, in seconds."""
    now = Seconds(2.0)
    reduce = reducer.reduce
    start = time.perf_counter()
    for event in events:
        reduce(now, event)
    return (time.perf_counter() - start) / len(events)


def measure_decisions(size: Size, seed: int) -> list[Row]:
    """Time decisions at sizes A and D, and of the baseline at A.

    The three are timed in turn in each round. Ratios are medians over
    the rounds, because other load on the machine slows all parts of a
    round alike.
    """
    small_cfg, small = _topology(list(A_SERVICES), 1)
    spread = [
        D_SERVERS // D_SERVICES + (i < D_SERVERS % D_SERVICES)
        for i in range(D_SERVICES)
    ]
    large_cfg, large = _topology(spread, D_ADDRESSES)
    rng = random.Random(seed)
    runs: list[tuple[Reducer, Configuration, View]] = [
        (BalancerFlows(BALANCER, PLACES[0], rng), small_cfg, small),
        (BalancerFlows(BALANCER, PLACES[0], rng), large_cfg, large),
        (HashBalancer(BALANCER), small_cfg, small),
    ]
    reducers = [_start(reducer, cfg, view) for reducer, cfg, view in runs]
    _send_hints(reducers[0], small, A_HINTS, seed)
    _send_hints(reducers[1], large, D_HINTS, seed)
    events = [_packets(cfg, seed) for _, cfg, _ in runs]
    rounds: list[list[float]] = []
    gc.collect()
    gc.disable()
    for _ in range(ROUNDS):
        pairs = zip(reducers, events, strict=True)
        rounds.append(
            [_decision_s(reducer, found) for reducer, found in pairs]
        )
    gc.enable()
    slope = statistics.median(d / a for a, d, _ in rounds)
    cost = statistics.median(a / baseline for a, _, baseline in rounds)
    at_a, at_d, baseline = (min(times) for times in zip(*rounds, strict=True))
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
            note=f"{note}, baseline {baseline * 1e6:.2f} us",
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
    """Measure agent memory per flow it holds and per flow held elsewhere."""
    cfg, view = _topology([1], 1)
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
    other_agent = _agent(cfg, view)
    rng = np.random.default_rng(seed)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(STATE_FLOWS[size] // 100):
        keys = rng.integers(0, 1 << 63, 100, np.uint64).tobytes()
        located = Located(number + 1, Incarnation(1), keys)
        src = NodeId(f"10.2.1.{number % 10}:9000")
        other_agent.reduce(now, Received(src, located))
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

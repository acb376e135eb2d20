"""Row on the balance of one large service at design size."""

import math
import random
from typing import Any

import msgspec

from medlar_core.effects import Deliver
from medlar_core.effects import Forward
from medlar_core.effects import Publish
from medlar_core.effects import Send
from medlar_core.events import ConfigurationChanged
from medlar_core.events import PacketArrived
from medlar_core.events import Received
from medlar_core.events import Reducer
from medlar_core.events import ServerConnections
from medlar_core.events import Tick
from medlar_core.events import ViewChanged
from medlar_core.flows.agent import AgentFlows
from medlar_core.flows.balancer import BalancerFlows
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.ids import Version
from medlar_core.members.view import Balancer
from medlar_core.members.view import Server
from medlar_core.members.view import ServerState
from medlar_core.members.view import View
from medlar_core.packets import Flag
from medlar_core.packets import Packet

from ..rows import Measurement
from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .baselines import HashBalancer
from .baselines import PassThroughAgent
from .broken import HASH
from .world import address_of
from .world import make_cfg
from .world import make_service
from .world import PLACES

NAME = ServiceName("large")
D_SERVERS = 5600
SLICES = {Size.FAST: (16, 32, 64, 128), Size.FULL: (50, 100, 200, 400)}
FLOWS = 100
"""New flows per server."""

ROUNDS = 10
"""Load reports, a second apart, while the flows are opened."""

BUCKETS_PER_SERVER = 16


class LargeService:
    """Many agents and one balancer that all share one view.

    Messages and packets are delivered without delay; loads are reported
    once a round.
    """

    def __init__(self, servers: int, seed: int, use_baseline: bool) -> None:
        self.now = Seconds(0.0)
        self.forwarded = 0
        self.loads: dict[NodeId, int] = {}
        self.reducers: dict[NodeId, Reducer] = {}
        self.servers: list[Server] = []
        self._versions = 0
        self.balancer_id = NodeId("10.1.0.1:9000")
        buckets = 1 << (servers * BUCKETS_PER_SERVER - 1).bit_length()
        self.cfg = make_cfg(make_service(NAME, buckets=buckets))
        rng = random.Random(seed)
        for number in range(servers):
            node = NodeId(f"10.2.{number // 250}.{number % 250}:9000")
            place = PLACES[number % len(PLACES)]
            ready = ServerState.READY
            first = Incarnation(1)
            self.servers.append(Server(node, first, NAME, place, ready))
            agent = AgentFlows(node, NAME, place, first, rng)
            self.reducers[node] = PassThroughAgent() if use_baseline else agent
        balancer = BalancerFlows(self.balancer_id, PLACES[0], rng)
        chosen = HashBalancer(self.balancer_id) if use_baseline else balancer
        self.reducers[self.balancer_id] = chosen
        self._broadcast(ConfigurationChanged(self.cfg, Version(1)))
        self._broadcast(ServerConnections(()))
        self.next_round()
        self.next_round()
        self.next_round()

    def _broadcast(self, event: Any) -> None:
        for node, reducer in self.reducers.items():
            self._apply_effects(node, reducer.reduce(self.now, event))

    def next_round(self) -> None:
        """Advance to the next second and send all processes the loads."""
        self.now = Seconds(math.floor(self.now + 1.0))
        self._broadcast(Tick())
        self._versions += 1
        servers = tuple(
            msgspec.structs.replace(s, flows=self.loads.get(s.id, 0))
            for s in self.servers
        )
        balancers = (Balancer(self.balancer_id, Incarnation(1), PLACES[0]),)
        self._broadcast(ViewChanged(View(self._versions, servers, balancers)))

    def open(self, number: int) -> None:
        """Open a flow and complete its handshake."""
        caller = f"198.18.{number >> 16}.{number >> 8 & 255}:{number & 255}"
        for flags in (Flag.SYN, Flag.ACK):
            packet = Packet(caller, address_of(NAME), int(flags))
            reducer = self.reducers[self.balancer_id]
            effects = reducer.reduce(self.now, PacketArrived(packet))
            self._apply_effects(self.balancer_id, effects)

    def _apply_effects(self, src: NodeId, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case Forward(dst=dst, packet=packet):
                    event = PacketArrived(packet)
                    reducer = self.reducers[dst]
                    self._apply_effects(dst, reducer.reduce(self.now, event))
                case Send(dst=dst, msg=msg):
                    replies = self.reducers[dst].reduce(
                        self.now, Received(src, msg)
                    )
                    self._apply_effects(dst, replies)
                case Deliver(packet=packet):
                    self.forwarded += packet.flags == Flag.SYN and packet.hops
                case Publish(event=event):
                    self.loads[src] = event.flows


def fill(servers: int, seed: int, use_baseline: bool) -> tuple[float, float]:
    """Return max/mean of the new flows and the share forwarded."""
    large = LargeService(servers, seed, use_baseline)
    total = servers * FLOWS
    step_s = ROUNDS / total * 0.999
    for number in range(total):
        large.now = Seconds(large.now + step_s)
        large.open(number)
        if (number + 1) % (total // ROUNDS) == 0:
            large.next_round()
    reducers = [large.reducers[server.id] for server in large.servers]
    counts = [
        reducer.open_flows
        for reducer in reducers
        if isinstance(reducer, AgentFlows | PassThroughAgent)
    ]
    return max(counts) * len(counts) / sum(counts), large.forwarded / total


def extrapolate_log(
    sizes: tuple[int, ...], values: list[float], size: int
) -> float:
    """Extrapolate to a size by a linear fit of values over log size."""
    logs = [math.log(n) for n in sizes]
    mean_x = sum(logs) / len(logs)
    mean_y = sum(values) / len(values)
    covariance = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(logs, values, strict=True)
    )
    slope = covariance / sum((x - mean_x) ** 2 for x in logs)
    return mean_y + slope * (math.log(size) - mean_x)


def measure(size: Size, seed: int) -> list[Row]:
    """Extrapolate the balance at design size from smaller slices.

    A linear fit over log(n) is used because the largest of n counts
    grows with the logarithm of n.
    """
    slices = SLICES[size]
    found = [fill(n, seed, use_baseline=False) for n in slices]
    baseline = [fill(n, seed, use_baseline=True)[0] for n in slices]
    parts = [
        f"{n}: {imbalance:.3f} ({forwarded:.3f} passed on)"
        for n, (imbalance, forwarded) in zip(slices, found, strict=True)
    ]
    return [
        Row(
            name="flows.imbalance.D",
            value=extrapolate_log(
                slices, [imbalance for imbalance, _ in found], D_SERVERS
            ),
            unit="max/mean",
            bound=1.25,
            sense=Sense.MAX,
            seed=seed,
            baseline=extrapolate_log(slices, baseline, D_SERVERS),
            baseline_name=HASH,
            note="slope over " + ", ".join(parts),
        )
    ]


MEASUREMENTS = (Measurement(("flows.imbalance.D",), measure),)

"""The row on the balance of one large service at design size."""

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
from .baselines import PlainAgent
from .broken import HASH
from .world import address_of
from .world import make_cfg
from .world import make_service
from .world import PLACES

NAME = ServiceName("large")
D_SERVERS = 5600
D_SLICES = {Size.FAST: (16, 32, 64, 128), Size.FULL: (50, 100, 200, 400)}
FLOWS = 100
"""New flows per server."""

ROUNDS = 10
"""Load reports while they come, a second apart."""

BUCKETS_PER_SERVER = 16


class LargeService:
    """Many agents and one balancer that all share one view.

    Messages and packets arrive at once; loads are told each round.
    """

    def __init__(self, servers: int, seed: int, simple: bool) -> None:
        self.now = Seconds(0.0)
        self.spilled = 0
        self.loads: dict[NodeId, int] = {}
        self.hosts: dict[NodeId, Reducer] = {}
        self.servers: list[Server] = []
        self._versions = 0
        self.entry = NodeId("10.1.0.1:9000")
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
            self.hosts[node] = PlainAgent() if simple else agent
        balancer = BalancerFlows(self.entry, PLACES[0], rng)
        chosen = HashBalancer(self.entry) if simple else balancer
        self.hosts[self.entry] = chosen
        self._each(ConfigurationChanged(self.cfg, Version(1)))
        self._each(ServerConnections(()))
        self.round()
        self.round()
        self.round()

    def _each(self, event: Any) -> None:
        for node, host in self.hosts.items():
            self._carry(node, host.reduce(self.now, event))

    def round(self) -> None:
        """Let time pass and tell everybody the loads reported by then."""
        self.now = Seconds(math.floor(self.now + 1.0))
        self._each(Tick())
        self._versions += 1
        servers = tuple(
            msgspec.structs.replace(s, flows=self.loads.get(s.id, 0))
            for s in self.servers
        )
        balancers = (Balancer(self.entry, Incarnation(1), PLACES[0]),)
        self._each(ViewChanged(View(self._versions, servers, balancers)))

    def open(self, number: int) -> None:
        """Open a flow and prove it."""
        caller = f"198.18.{number >> 16}.{number >> 8 & 255}:{number & 255}"
        for flags in (Flag.SYN, Flag.ACK):
            packet = Packet(caller, address_of(NAME), int(flags))
            host = self.hosts[self.entry]
            effects = host.reduce(self.now, PacketArrived(packet))
            self._carry(self.entry, effects)

    def _carry(self, src: NodeId, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case Forward(dst=dst, packet=packet):
                    event = PacketArrived(packet)
                    host = self.hosts[dst]
                    self._carry(dst, host.reduce(self.now, event))
                case Send(dst=dst, msg=msg):
                    told = self.hosts[dst].reduce(self.now, Received(src, msg))
                    self._carry(dst, told)
                case Deliver(packet=packet):
                    self.spilled += packet.flags == Flag.SYN and packet.hops
                case Publish(event=event):
                    self.loads[src] = event.flows


def fill(servers: int, seed: int, simple: bool) -> tuple[float, float]:
    """Return the spread of new flows, and the share that was passed on."""
    large = LargeService(servers, seed, simple)
    total = servers * FLOWS
    step_s = ROUNDS / total * 0.999
    for number in range(total):
        large.now = Seconds(large.now + step_s)
        large.open(number)
        if (number + 1) % (total // ROUNDS) == 0:
            large.round()
    hosts = [large.hosts[server.id] for server in large.servers]
    counts = [
        host.open_flows
        for host in hosts
        if isinstance(host, AgentFlows | PlainAgent)
    ]
    return max(counts) * len(counts) / sum(counts), large.spilled / total


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


def measure(size: Size, seed: int) -> list[Row]:
    """Derive the balance at design size from the slope over slices.

    The largest of n counts grows with the logarithm of n.
    """
    slices = D_SLICES[size]
    found = [fill(n, seed, simple=False) for n in slices]
    simple = [fill(n, seed, simple=True)[0] for n in slices]
    parts = [
        f"{n}: {spread:.3f} ({moved:.3f} passed on)"
        for n, (spread, moved) in zip(slices, found, strict=True)
    ]
    return [
        Row(
            name="flows.imbalance.D",
            value=at_log(slices, [spread for spread, _ in found], D_SERVERS),
            unit="max/mean",
            bound=1.25,
            sense=Sense.MAX,
            seed=seed,
            baseline=at_log(slices, simple, D_SERVERS),
            baseline_name=HASH,
            note="slope over " + ", ".join(parts),
        )
    ]


MEASUREMENTS = (Measurement(("flows.imbalance.D",), measure),)

"""A fleet of membership reducers over the fakes, for tests and rows."""

from collections.abc import Iterable
import random

from medlar_core.effects import Effect
from medlar_core.effects import Record as Explain
from medlar_core.events import ServerProbed
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import RegionName
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.members.agent import AgentMembers
from medlar_core.members.balancer import BalancerMembers
from medlar_core.members.places import Places
from medlar_core.members.record import Record
from medlar_core.members.record import Role
from medlar_core.members.view import ServerState
from medlar_core.storeaccess.access import StoreAccess
from medlar_core.timeline.events import TimelineEvent
from medlar_fakes.clock import Clock
from medlar_fakes.net import Net
from medlar_fakes.store import Store

REGIONS = {
    PlaceName(f"east-{letter}"): RegionName("east") for letter in "abcd"
} | {PlaceName(f"west-{letter}"): RegionName("west") for letter in "abc"}
D_BALANCERS = 720
D_AGENTS = 5600
AGENTS_PER_BALANCER = D_AGENTS / D_BALANCERS
SERVERS_PER_SERVICE = 10
SEEDS = 5
AGENT_TICK_S = 0.25
WARM_S = 12.0
"""Time for a new server to be announced, warmed up and known."""


class Fleet:
    """Balancers and agents of some places with their store and net."""

    def __init__(
        self,
        balancers: int,
        agents: int,
        seed: int,
        regions: dict[PlaceName, RegionName] | None = None,
    ) -> None:
        self.clock = Clock()
        self.store = Store(self.clock, seed)
        self.net = Net(self.clock, seed, self.store, self._other)
        self.regions = regions or REGIONS
        self.balancers: dict[NodeId, BalancerMembers] = {}
        self.agents: dict[NodeId, AgentMembers] = {}
        self.explained: list[tuple[float, NodeId, TimelineEvent]] = []
        self._rng = random.Random(seed)
        self._starts = 0
        places = list(self.regions)
        names = [NodeId(f"10.1.{i >> 8}.{i & 255}:7") for i in range(9999)]
        self.seeds = tuple(names[: min(SEEDS, balancers)])
        for number, node in enumerate(names[:balancers]):
            self.add_balancer(node, places[number % len(places)])
        names = [NodeId(f"10.2.{i >> 8}.{i & 255}:7") for i in range(agents)]
        for number, node in enumerate(names):
            service = ServiceName(f"svc{number // SERVERS_PER_SERVICE}")
            self.add_agent(node, places[number % len(places)], service)

    def add_balancer(self, node: NodeId, place: PlaceName) -> None:
        """Start a balancer."""
        rng, incarnation = self._start()
        record = Record(
            node, Role.BALANCER, incarnation, 0, ServerState.READY, place
        )
        access = StoreAccess(rng)
        host = BalancerMembers(
            record, self.seeds, rng, access, Places(self.regions)
        )
        self.balancers[node] = host
        self.net.attach(node, host)

    def add_agent(
        self,
        node: NodeId,
        place: PlaceName,
        service: ServiceName,
        start_number: Incarnation | None = None,
    ) -> None:
        """Start an agent whose server is up a little later."""
        rng, counted = self._start()
        incarnation = start_number or counted
        state = ServerState.ANNOUNCED
        record = Record(
            node, Role.SERVER, incarnation, 0, state, place, service
        )
        access = StoreAccess(rng)
        host = AgentMembers(
            record, self.seeds, rng, access, Places(self.regions)
        )
        self.agents[node] = host
        self.net.attach(node, host, AGENT_TICK_S)
        up = ServerProbed(alive=True, ready=True)
        self.clock.after(0.5, lambda: self._give(node, host, up))

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.clock.run_until(self.clock.now + seconds)

    def settle(self) -> None:
        """Run until all know all and every server is warm."""
        limit = self.clock.now + 60.0
        while self.clock.now < limit and not self.complete():
            self.run(0.5)
        self.run(WARM_S)

    def kill(self, node: NodeId) -> None:
        """End a process without a word."""
        self.net.kill(node)
        self.balancers.pop(node, None)
        self.agents.pop(node, None)

    def usable(self, balancer: NodeId) -> set[NodeId]:
        """Return the servers that a balancer would place new work on."""
        servers = self.balancers[balancer].view.servers
        return {server.id for server in servers if server.warmth > 0.0}

    def complete(self) -> bool:
        """Return whether each balancer knows all others and all servers."""
        agents = set(self.agents)
        everyone = set(self.balancers)
        return all(
            {server.id for server in host.view.servers} == agents
            and {peer.id for peer in host.view.balancers} == everyone
            for host in self.balancers.values()
        )

    def in_place(self, place: PlaceName) -> list[NodeId]:
        """Return the processes of a place."""
        found = [
            n for n, h in self.balancers.items() if h.record.place == place
        ]
        return found + [
            n for n, h in self.agents.items() if h.record.place == place
        ]

    def cut(self, places: Iterable[PlaceName]) -> None:
        """Cut the processes of these places off from all others."""
        inside = {node for place in places for node in self.in_place(place)}
        self.net.cut = lambda a, b: (a in inside) != (b in inside)

    def heal(self) -> None:
        """End all cuts."""
        self.net.cut = lambda a, b: False

    def sent_bytes(self) -> dict[NodeId, int]:
        """Return the control bytes that each process sent and received."""
        sent, got = self.net.bytes_sent, self.net.bytes_recv
        return {node: sent[node] + got[node] for node in self.net.hosts}

    def meter(self) -> None:
        """Count bytes and messages from now on."""
        self.net.metered = True
        self.net.bytes_sent.clear()
        self.net.bytes_recv.clear()
        self.net.messages.clear()
        self.store.calls.clear()

    def _start(self) -> tuple[random.Random, Incarnation]:
        self._starts += 1
        rng = random.Random(self._rng.getrandbits(64))
        return rng, Incarnation(1_700_000_000 + self._starts)

    def _give(
        self, node: NodeId, host: AgentMembers, event: ServerProbed
    ) -> None:
        if self.net.hosts.get(node) is host:
            self.net.dispatch(node, event)

    def _other(self, node: NodeId, effect: Effect) -> None:
        if isinstance(effect, Explain):
            at = Seconds(self.clock.now)
            self.explained.append((at, node, effect.event))


def sized(balancers: int, seed: int) -> Fleet:
    """Return a fleet with the design size's share of agents."""
    return Fleet(balancers, round(balancers * AGENTS_PER_BALANCER), seed)

"""A fleet of whole processes: all parts, with a configuration in force."""

import random

from medlar_core.agent import AgentParams
from medlar_core.agent import make_agent
from medlar_core.balancer import BalancerParams
from medlar_core.balancer import make_balancer
from medlar_core.config.model import Address
from medlar_core.config.model import Configuration
from medlar_core.config.model import Place
from medlar_core.config.model import Protocol
from medlar_core.config.model import Service
from medlar_core.config.outcome import Change
from medlar_core.config.replication import ConfigReplicator
from medlar_core.config.writer import ConfigWriter
from medlar_core.config.writer import Finished
from medlar_core.effects import Effect
from medlar_core.events import Reducer
from medlar_core.events import ServerProbed
from medlar_core.ids import ChangeId
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import ServiceName
from medlar_core.ids import Version
from medlar_fakes.net import TICK_S

from .fleet import AGENT_TICK_S
from .fleet import AGENTS_PER_BALANCER
from .fleet import Fleet
from .fleet import REGIONS
from .fleet import SERVERS_PER_SERVICE

ADDRESSES_PER_SERVICE = 4
OPERATOR = NodeId("10.8.0.1:7")


class WholeFleet(Fleet):
    """Like Fleet, with the reducers that the binaries run."""

    def __init__(self, balancers: int, agents: int, seed: int) -> None:
        self.configs: dict[NodeId, ConfigReplicator] = {}
        super().__init__(balancers, agents, seed)
        services = -(-agents // SERVERS_PER_SERVICE)
        change = Change(ChangeId("first"), OPERATOR, Version(0))
        rng = random.Random(seed)
        nodes = tuple(self.balancers)
        writer = ConfigWriter(change, document(services), rng, nodes, 30.0)
        self.net.attach(OPERATOR, writer)

    def add_balancer(self, node: NodeId, place: PlaceName) -> None:
        """Start a balancer."""
        rng, incarnation = self._start()
        me = BalancerParams(node, place, incarnation, self.seeds)
        made = make_balancer(me, rng)
        self.balancers[node] = made.members
        self.configs[node] = made.config
        self.net.attach(node, made.reducer, TICK_S)

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
        me = AgentParams(node, place, incarnation, self.seeds, service)
        made = make_agent(me, rng)
        self.agents[node] = made.members
        self.configs[node] = made.config
        self.net.attach(node, made.reducer, AGENT_TICK_S)
        self.clock.after(0.5, lambda: self._up(node, made.reducer))

    def kill(self, node: NodeId) -> None:
        """End a process without a word."""
        super().kill(node)
        self.configs.pop(node, None)

    def complete(self) -> bool:
        """Return whether all know all, and have the configuration."""
        configured = all(host.version for host in self.configs.values())
        return configured and super().complete()

    def _up(self, node: NodeId, host: Reducer) -> None:
        if self.net.hosts.get(node) is host:
            self.net.dispatch(node, ServerProbed(alive=True, ready=True))

    def _other(self, node: NodeId, effect: Effect | Finished) -> None:
        if isinstance(effect, Finished):
            self.net.kill(node)
            return
        super()._other(node, effect)


def whole(balancers: int, seed: int) -> WholeFleet:
    """Return a fleet with the design size's share of agents."""
    agents = round(balancers * AGENTS_PER_BALANCER)
    return WholeFleet(balancers, agents, seed)


def document(services: int) -> Configuration:
    """Return a configuration of the fleet's places and services."""
    places = tuple(Place(name=p, region=r) for p, r in REGIONS.items())
    return Configuration(places, tuple(_service(n) for n in range(services)))


def _service(number: int) -> Service:
    addresses = tuple(
        Address(
            ip=f"10.200.{number >> 8}.{number & 255}",
            port=8000 + index,
            protocol=Protocol.FLOW,
        )
        for index in range(ADDRESSES_PER_SERVICE)
    )
    name = ServiceName(f"svc{number}")
    return Service(name=name, addresses=addresses, places=tuple(REGIONS))

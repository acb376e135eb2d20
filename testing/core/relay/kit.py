"""A small fleet of relay processes that runs in virtual time."""

from collections.abc import Iterable
import random

import msgspec

from medlar_core.events import Received
from medlar_core.events import StopAsked
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import ServiceName
from medlar_core.packets import Flag
from medlar_core.relay.access import new_access
from medlar_core.relay.agent import RelayAgent
from medlar_core.relay.balancer import RelayBalancer
from medlar_core.relay.configuration.routes import Route
from medlar_core.relay.configuration.routes import RouteTable
from medlar_core.relay.configuration.routes import Share
from medlar_core.relay.configuration.scope_record import SharedRoutes
from medlar_core.relay.events import CallerPacketReceived
from medlar_core.relay.events import PacketForwarded
from medlar_core.relay.events import ServerAnnounced
from medlar_core.relay.events import ServerPhase
from medlar_core.relay.lookup.forwarded import ForwardedPacket
from medlar_core.relay.lookup.forwarded import ForwardReason
from medlar_core.relay.messages import ScopeTold
from medlar_core.relay.own_state import AgentIdentity
from medlar_core.relay.registration import Registration
from medlar_core.relay.scope import FlowScope
from medlar_core.relay.scope import ServiceOwner
from medlar_core.relay.segment import endpoint
from medlar_core.relay.segment import FlowId
from medlar_core.relay.segment import Segment
from medlar_core.relay.store_view import BalancerIdentity
from medlar_core.relay.zones.settings import NO_ZONE_RULES
from medlar_core.relay.zones.settings import ZoneSettings
from medlar_core.store import Delete
from medlar_core.store import Put
from medlar_fakes.relay import encode
from medlar_fakes.relay import FakeCodec
from medlar_fakes.relay import FakeServer
from medlar_fakes.relay import RelaySimulation

DESK = ServiceName("desk")
OFFICE = ServiceName("office")
PLACE = PlaceName("a")
ANNOUNCE_INTERVAL_S = 1.0
FLOW_IDLE_S = 15.0
"""Idle timeout of flows in most configurations. Flows that idle for longer
may be reset."""
LONG_IDLE_S = 60.0
LEASE_AND_REMOVAL_S = 12.0
"""An agent that stopped is removed by all balancers after this."""
OPERATORS = "op/"
CONFIGURATION = "op/conf"
EVACUATIONS = "op/evacuate/"
MEMBERS = "m/"
AGENTS = "m/agents/"
BALANCERS = "m/balancers/"
RECORD = "m/scopes"
COPY = "m/routes"


def node(kind: str, number: int) -> NodeId:
    subnet = 1 if kind == "agent" else 2
    return NodeId(f"10.0.{subnet}.{number}:7000")


def table(version: int, *services: ServiceName) -> RouteTable:
    """Return a configuration with a route to each service."""
    routes = tuple(
        Route("192.0.2.1", 8000 + number, (Share(service, 1),))
        for number, service in enumerate(services)
    )
    return RouteTable(version, routes, FLOW_IDLE_S)


def one_route(
    version: int,
    weights: dict[ServiceName, int],
    idle_s: float = FLOW_IDLE_S,
) -> RouteTable:
    """Return a configuration whose one route has these weights."""
    shares = tuple(Share(name, weight) for name, weight in weights.items())
    return RouteTable(version, (Route("192.0.2.1", 8000, shares),), idle_s)


def caller_packet(flow_id: FlowId) -> CallerPacketReceived:
    """Return the event that a balancer received data of a flow."""
    data = encode(Segment(b"", Flag.ACK, *flow_id, 50, 500, 501))
    return CallerPacketReceived(FakeCodec().decode(data))


def flow(number: int, port: int = 8000) -> FlowId:
    caller = endpoint("100.64.0.1", 10_000 + number)
    return FlowId(caller, endpoint("192.0.2.1", port))


def forwarded(flow_id: FlowId) -> PacketForwarded:
    """Return the event that a balancer forwarded data of a flow."""
    data = encode(Segment(b"", Flag.ACK, *flow_id, 50, 500, 501))
    packet = ForwardedPacket(
        reason=int(ForwardReason.ROUTED),
        service=DESK,
        data=data,
        scope=FlowScope(1, FLOW_IDLE_S),
    )
    return PacketForwarded(
        node("balancer", 0), packet, FakeCodec().decode(data)
    )


class Fleet:
    """Balancers, agents with their servers, and a store.

    ``announcements`` holds what each server announces periodically; a
    server without an entry is silent. After ``clock_jumped`` is set,
    announcements don't tell how long the server has run.
    In its methods, ``by`` is the number of the balancer that receives a
    caller's packet. ``places`` go round over the processes of a kind.
    """

    def __init__(
        self,
        agents: int = 4,
        balancers: int = 3,
        seed: int = 1,
        zones: ZoneSettings = NO_ZONE_RULES,
        places: tuple[PlaceName, ...] = (PLACE,),
        link_mbps: dict[NodeId, float] | None = None,
    ) -> None:
        self.zones = zones
        self.places = places
        self.world = RelaySimulation(seed)
        self.agents: dict[NodeId, RelayAgent] = {}
        self.balancers: dict[NodeId, RelayBalancer] = {}
        self.services: dict[NodeId, ServiceName] = {}
        self.announcements: dict[NodeId, ServerAnnounced] = {}
        self.started_at: dict[NodeId, float] = {}
        self.clock_jumped = False
        self.link_mbps = dict(link_mbps or {})
        self.starts = 0
        self.world.routes_of = self._routes_of
        self.configure(table(1, DESK))
        for number in range(balancers):
            self.start_balancer(node("balancer", number))
        for number in range(agents):
            address = node("agent", number)
            self.start_server(address)
            self.start_agent(address)
        self.world.clock.after(0.01, self._announce_all)
        self.run(3.0)

    def run(self, seconds: float) -> None:
        self.world.run(seconds)

    def configure(self, cfg: RouteTable) -> None:
        self.write(CONFIGURATION, msgspec.json.encode(cfg).decode())

    def write(self, key: str, value: str) -> None:
        stored = self.world.store.items.get(key)
        revision = stored.revision if stored else 0
        self.world.store.call(Put(key, value, revision), lambda _: None)

    def delete(self, key: str) -> None:
        stored = self.world.store.items[key]
        self.world.store.call(Delete(key, stored.revision), lambda _: None)

    def place(self, address: NodeId) -> PlaceName:
        """Return the place of a process, by its number."""
        number = int(address.rpartition(":")[0].rpartition(".")[2])
        return self.places[number % len(self.places)]

    def start_balancer(
        self, address: NodeId, seeds: tuple[NodeId, ...] = ()
    ) -> RelayBalancer:
        rng = self._rng()
        access = new_access(rng)
        identity = BalancerIdentity(
            address,
            self.place(address),
            seeds,
            CONFIGURATION,
            MEMBERS,
            AGENTS,
            BALANCERS,
            RECORD,
            COPY,
            self.link_mbps.get(address, 0.0),
            OPERATORS,
            EVACUATIONS if self.zones.evacuates else "",
        )
        balancer = RelayBalancer(
            identity,
            FakeCodec(),
            read_table,
            access,
            Registration(access, BALANCERS + address, rng),
        )
        self.balancers[address] = balancer
        self.world.nodes[address] = balancer
        return balancer

    def start_agent(
        self,
        address: NodeId,
        service: ServiceName = DESK,
        seeds: tuple[NodeId, ...] = (),
    ) -> RelayAgent:
        rng = self._rng()
        access = new_access(rng)
        incarnation = int(self.world.clock.now * 1_000) + self.starts
        identity = AgentIdentity(
            address,
            self.place(address),
            service,
            incarnation,
            ANNOUNCE_INTERVAL_S,
            seeds,
            self.world.clock.now,
            self.zones,
        )
        agent = RelayAgent(
            identity,
            FakeCodec(),
            access,
            Registration(access, AGENTS + address, rng),
            rng,
        )
        self.agents[address] = agent
        self.services[address] = service
        self.world.nodes[address] = agent
        return agent

    def start_server(
        self,
        address: NodeId,
        service: ServiceName = DESK,
        capacity: int = 1_000,
    ) -> FakeServer:
        self.starts += 1
        self.started_at[address] = self.world.clock.now
        self.world.servers[address] = FakeServer(capacity)
        self.announcements[address] = ServerAnnounced(
            f"s{self.starts}",
            1_000_000 + self.starts,
            0,
            service,
            ServerPhase.READY,
            2,
            0.0,
        )
        return self.world.servers[address]

    def drain(self, address: NodeId) -> None:
        announcement = self.announcements[address]
        self.announcements[address] = msgspec.structs.replace(
            announcement, phase=ServerPhase.DRAINING
        )
        self._announce(address)

    def stop(self, address: NodeId) -> None:
        self.world.dispatch(address, StopAsked())
        self.world.run(0.5)
        self.kill(address)

    def kill(self, address: NodeId) -> None:
        self.world.nodes.pop(address)

    def restart_all(self, spread_s: float = 0.4) -> None:
        """Restart all processes and servers, as after a loss of power.

        The servers start first. The starts of agents and balancers are
        spread evenly over ``spread_s`` seconds.
        """
        agents, balancers = list(self.agents), list(self.balancers)
        nodes = [*agents, *balancers]
        for address in nodes:
            self.kill(address)
        for address in agents:
            self.start_server(address, self.services[address])
            self._announce(address)
        random.Random(len(nodes)).shuffle(nodes)
        for address in nodes:
            if address in self.agents:
                self.start_agent(address, self.services[address])
            else:
                self.start_balancer(address)
            self.run(spread_s / len(nodes))

    def syn(
        self, flow_id: FlowId, by: int = 0, retransmission: int = 0
    ) -> None:
        self._call(
            by, Segment(b"", Flag.SYN, *flow_id, 0, 100, retransmission)
        )

    def data(self, flow_id: FlowId, by: int = 0, seq: int = 101) -> None:
        self._call(by, Segment(b"", Flag.ACK, *flow_id, 50, seq, 501))

    def open(self, number: int, by: int = 0) -> FlowId:
        """Open a flow through a balancer and return it."""
        opened = flow(number)
        self.syn(opened, by)
        self.run(0.05)
        self.data(opened, by)
        self.run(0.05)
        return opened

    def add_agents(
        self, numbers: Iterable[int], service: ServiceName = DESK
    ) -> None:
        """Add agents with servers; they become the owners of some flows."""
        for number in numbers:
            self.start_server(node("agent", number), service)
            self.start_agent(node("agent", number), service)

    def flows_at(self, address: NodeId, count: int = 14) -> list[FlowId]:
        """Open flows; return those that the server of an agent holds."""
        opened = [self.open(number) for number in range(count)]
        return [f for f in opened if self.holder(f) == address]

    def route_to(
        self,
        version: int,
        weights: dict[ServiceName, int],
        idle_s: float = FLOW_IDLE_S,
    ) -> None:
        """Put a configuration in force whose one route has these weights."""
        self.configure(one_route(version, weights, idle_s))
        self.run(1.0)

    def tell_scope(
        self, address: NodeId, flow_id: FlowId, gap_s: float = 0.05
    ) -> None:
        """Tell an agent a flow's scope ten times, after ``gap_s`` each.

        For tests without balancers: a lookup that is taken for complete
        ends in a reset.
        """
        owner = ServiceOwner(self.services[address], address)
        told = ScopeTold(flow_id, FlowScope(1, FLOW_IDLE_S, (owner,)))
        for _ in range(10):
            self.run(gap_s)
            event = Received(node("balancer", 0), told)
            self.world.dispatch(address, event)

    def assert_answered(
        self, flows: list[FlowId], by: int, wait_s: float = 0.5
    ) -> None:
        """Send a request on each flow; none is reset, each answered once."""
        before = [self.answer_count(flow_id) for flow_id in flows]
        for flow_id in flows:
            self.data(flow_id, by, seq=900)
        self.run(wait_s)
        assert self.reset_count(flows) == 0
        after = [self.answer_count(flow_id) for flow_id in flows]
        assert after == [count + 1 for count in before]

    def remove_by_mistake(self, balancer: NodeId, address: NodeId) -> None:
        """Let one balancer remove an agent that the others hear."""
        members = self.balancers[balancer].members
        members.agents[address].last_report_at = float("-inf")
        members.agents[address].heard_at = float("-inf")
        members.mark_unregistered(0.0, address)
        members.expire(self.world.clock.now)
        assert address not in members.agents

    def reset_count(self, flows: Iterable[FlowId]) -> int:
        """Return how many resets the callers of flows received."""
        return sum(self.packet_count(f, Flag.RST) for f in flows)

    def holder(self, flow_id: FlowId) -> NodeId:
        """Return the only agent whose server has a flow open."""
        (found,) = (
            address
            for address, server in self.world.servers.items()
            if flow_id in server.flows
        )
        return found

    def packet_count(self, flow_id: FlowId, flag: Flag) -> int:
        """Return how many packets with a flag the caller received."""
        return sum(
            1
            for segment in self.world.caller_packets
            if segment.outward == flow_id and segment.flags & flag
        )

    def answer_count(self, flow_id: FlowId) -> int:
        """Return how many responses with a payload the caller received."""
        return sum(
            1
            for segment in self.world.caller_packets
            if segment.outward == flow_id and segment.size
        )

    def _call(self, by: int, segment: Segment) -> None:
        self.world.send_packet(node("balancer", by), segment)

    def _announce_all(self) -> None:
        for address in list(self.announcements):
            self._announce(address)
        self.world.clock.after(ANNOUNCE_INTERVAL_S, self._announce_all)

    def _announce(self, address: NodeId) -> None:
        announcement = self.announcements[address]
        announcement = msgspec.structs.replace(
            announcement, sequence=announcement.sequence + 1
        )
        self.announcements[address] = announcement
        age_s = self.world.clock.now - self.started_at[address]
        if not self.clock_jumped:
            announcement = msgspec.structs.replace(announcement, age_s=age_s)
        self.world.dispatch(address, announcement)

    def _routes_of(self, address: NodeId) -> SharedRoutes | None:
        found = self.balancers.get(address)
        return found.shared_routes if found else None

    def _rng(self) -> random.Random:
        self.starts += 1
        return random.Random(self.starts)


def read_table(text: str) -> RouteTable:
    try:
        return msgspec.json.decode(text, type=RouteTable)
    except msgspec.DecodeError as exc:
        raise ValueError(str(exc)) from exc

"""A small fleet of relay processes in virtual time."""

import random

import msgspec

from medlar_core.events import StopAsked
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import ServiceName
from medlar_core.packets import Flag
from medlar_core.relay.access import new_access
from medlar_core.relay.agent import AgentIdentity
from medlar_core.relay.agent import RelayAgent
from medlar_core.relay.balancer import RelayBalancer
from medlar_core.relay.events import ServerAnnounced
from medlar_core.relay.events import ServerPhase
from medlar_core.relay.registration import Registration
from medlar_core.relay.routes import Route
from medlar_core.relay.routes import RouteTable
from medlar_core.relay.routes import Share
from medlar_core.relay.segment import endpoint
from medlar_core.relay.segment import FlowId
from medlar_core.relay.segment import Segment
from medlar_core.relay.store_view import BalancerIdentity
from medlar_core.store import Delete
from medlar_core.store import Put
from medlar_fakes.relay import FakeCodec
from medlar_fakes.relay import FakeServer
from medlar_fakes.relay import RelayWorld

DESK = ServiceName("desk")
OFFICE = ServiceName("office")
PLACE = PlaceName("a")
BEAT_S = 1.0
CONFIGURATION = "conf"
MEMBERS = "m/"
AGENTS = "m/agents/"
BALANCERS = "m/balancers/"


def node(kind: str, number: int) -> NodeId:
    subnet = 1 if kind == "agent" else 2
    return NodeId(f"10.0.{subnet}.{number}:7000")


def table(version: int, *services: ServiceName) -> RouteTable:
    """Return a configuration with a route to each service."""
    routes = tuple(
        Route("192.0.2.1", 8000 + number, (Share(service, 1),))
        for number, service in enumerate(services)
    )
    return RouteTable(version, routes, 15.0)


def flow(number: int, port: int = 8000) -> FlowId:
    caller = endpoint("100.64.0.1", 10_000 + number)
    return FlowId(caller, endpoint("192.0.2.1", port))


class Fleet:
    """Balancers and agents of one service, with a store."""

    def __init__(
        self, agents: int = 4, balancers: int = 3, seed: int = 1
    ) -> None:
        self.world = RelayWorld(seed)
        self.agents: dict[NodeId, RelayAgent] = {}
        self.balancers: dict[NodeId, RelayBalancer] = {}
        self.announcements: dict[NodeId, ServerAnnounced] = {}
        self.born: dict[NodeId, float] = {}
        self.clock_jumped = False
        self.starts = 0
        self.world.tables = self._table_of
        self.configure(table(1, DESK))
        for number in range(balancers):
            self.start_balancer(node("balancer", number))
        for number in range(agents):
            where = node("agent", number)
            self.start_server(where)
            self.start_agent(where)
        self.world.clock.after(0.01, self._beat)
        self.run(3.0)

    def run(self, seconds: float) -> None:
        self.world.run(seconds)

    def configure(self, cfg: RouteTable) -> None:
        self.write(CONFIGURATION, msgspec.json.encode(cfg).decode())

    def write(self, key: str, value: str) -> None:
        held = self.world.store.items.get(key)
        revision = held.revision if held else 0
        self.world.store.call(Put(key, value, revision), lambda _: None)

    def delete(self, key: str) -> None:
        held = self.world.store.items[key]
        self.world.store.call(Delete(key, held.revision), lambda _: None)

    def start_balancer(
        self, where: NodeId, seeds: tuple[NodeId, ...] = ()
    ) -> RelayBalancer:
        rng = self._rng()
        access = new_access(rng)
        who = BalancerIdentity(
            where, PLACE, seeds, CONFIGURATION, MEMBERS, AGENTS, BALANCERS
        )
        made = RelayBalancer(
            who,
            FakeCodec(),
            read_table,
            access,
            Registration(access, BALANCERS + where, rng),
        )
        self.balancers[where] = made
        self.world.nodes[where] = made
        return made

    def start_agent(
        self,
        where: NodeId,
        service: ServiceName = DESK,
        seeds: tuple[NodeId, ...] = (),
    ) -> RelayAgent:
        rng = self._rng()
        access = new_access(rng)
        incarnation = int(self.world.clock.now * 1_000) + self.starts
        who = AgentIdentity(where, PLACE, service, incarnation, BEAT_S, seeds)
        made = RelayAgent(
            who,
            FakeCodec(),
            access,
            Registration(access, AGENTS + where, rng),
            rng,
        )
        self.agents[where] = made
        self.world.nodes[where] = made
        return made

    def start_server(
        self, where: NodeId, service: ServiceName = DESK, room: int = 1_000
    ) -> FakeServer:
        self.starts += 1
        self.born[where] = self.world.clock.now
        self.world.servers[where] = FakeServer(room)
        self.announcements[where] = ServerAnnounced(
            f"s{self.starts}",
            1_000_000 + self.starts,
            0,
            service,
            ServerPhase.READY,
            2,
            0.0,
        )
        return self.world.servers[where]

    def drain(self, where: NodeId) -> None:
        beat = self.announcements[where]
        self.announcements[where] = msgspec.structs.replace(
            beat, phase=ServerPhase.DRAINING
        )
        self._announce(where)

    def stop(self, where: NodeId) -> None:
        self.world.give(where, StopAsked())
        self.world.run(0.5)
        self.kill(where)

    def kill(self, where: NodeId) -> None:
        self.world.nodes.pop(where)

    def syn(self, flow_id: FlowId, by: int = 0, copy: int = 0) -> None:
        self._call(by, Segment(b"", Flag.SYN, *flow_id, 0, 100, copy))

    def data(self, flow_id: FlowId, by: int = 0, seq: int = 101) -> None:
        self._call(by, Segment(b"", Flag.ACK, *flow_id, 50, seq, 501))

    def open(self, number: int, by: int = 0) -> FlowId:
        """Open a flow and return it."""
        opened = flow(number)
        self.syn(opened, by)
        self.run(0.05)
        self.data(opened, by)
        self.run(0.05)
        return opened

    def holder(self, flow_id: FlowId) -> NodeId:
        """Return the one agent whose server holds a flow."""
        (found,) = (
            where
            for where, server in self.world.servers.items()
            if flow_id in server.flows
        )
        return found

    def packet_count(self, flow_id: FlowId, flag: Flag) -> int:
        """Return how many packets with a flag the caller packet_count."""
        return sum(
            1
            for segment in self.world.answers
            if segment.outward == flow_id and segment.flags & flag
        )

    def answer_count(self, flow_id: FlowId) -> int:
        """Return how many answers the caller packet_count."""
        return sum(
            1
            for segment in self.world.answers
            if segment.outward == flow_id and segment.size
        )

    def _call(self, by: int, segment: Segment) -> None:
        self.world.call(node("balancer", by), segment)

    def _beat(self) -> None:
        for where in list(self.announcements):
            self._announce(where)
        self.world.clock.after(BEAT_S, self._beat)

    def _announce(self, where: NodeId) -> None:
        beat = self.announcements[where]
        beat = msgspec.structs.replace(beat, sequence=beat.sequence + 1)
        self.announcements[where] = beat
        age_s = self.world.clock.now - self.born[where]
        if not self.clock_jumped:
            beat = msgspec.structs.replace(beat, age_s=age_s)
        self.world.give(where, beat)

    def _table_of(self, where: NodeId) -> RouteTable | None:
        return self.balancers[where].routes.table

    def _rng(self) -> random.Random:
        self.starts += 1
        return random.Random(self.starts)


def read_table(text: str) -> RouteTable:
    try:
        return msgspec.json.decode(text, type=RouteTable)
    except msgspec.DecodeError as exc:
        raise ValueError(str(exc)) from exc

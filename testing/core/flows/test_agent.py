import random

import msgspec
import pytest

from medlar_bench.flows.world import address_of
from medlar_bench.flows.world import make_cfg
from medlar_bench.flows.world import make_service
from medlar_core.effects import Deliver
from medlar_core.effects import Effect
from medlar_core.effects import Forward
from medlar_core.effects import Publish
from medlar_core.effects import Record
from medlar_core.effects import Return
from medlar_core.effects import Send
from medlar_core.events import ConfigurationChanged
from medlar_core.events import DrainAsked
from medlar_core.events import LoadMeasured
from medlar_core.events import PacketArrived
from medlar_core.events import Received
from medlar_core.events import ServerConnections
from medlar_core.events import ServerProbed
from medlar_core.events import ServerSent
from medlar_core.events import Tick
from medlar_core.events import ViewChanged
from medlar_core.flows.agent import AgentFlows
from medlar_core.flows.limits import CLOSING_LIFETIME_S
from medlar_core.flows.limits import DEAD_PROBES
from medlar_core.flows.limits import DENIAL_INTERVAL_S
from medlar_core.flows.limits import MAX_HOPS
from medlar_core.flows.limits import MAX_LOOKUPS
from medlar_core.flows.limits import RESET_DELAY_S
from medlar_core.flows.limits import RETRANSMIT_S
from medlar_core.flows.messages import Introduced
from medlar_core.flows.messages import IntroducedAck
from medlar_core.flows.messages import Locate
from medlar_core.flows.messages import Located
from medlar_core.flows.messages import NotHeld
from medlar_core.flows.wire import pack_keys
from medlar_core.flows.wire import unpack_keys
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.ids import Version
from medlar_core.members.view import Server
from medlar_core.members.view import ServerState
from medlar_core.members.view import View
from medlar_core.packets import Flag
from medlar_core.packets import flow_key
from medlar_core.packets import Packet

LOCAL = NodeId("10.2.0.1:9000")
PEER = NodeId("10.2.0.2:9000")
NAME = ServiceName("one")
ADDRESS = address_of("one")


def server(node: NodeId, flows: int = 0) -> Server:
    place = PlaceName("a")
    ready = ServerState.READY
    return Server(node, Incarnation(1), NAME, place, ready, flows=flows)


class AgentHarness:
    """An agent with a clock and methods to send it events."""

    def __init__(self, *peers: NodeId, connections: int = 100) -> None:
        self.now = 1.0
        self.agent = AgentFlows(
            LOCAL, NAME, PlaceName("a"), Incarnation(1), random.Random(1)
        )
        service = msgspec.structs.replace(
            make_service("one"), connections=connections
        )
        cfg = make_cfg(service)
        self.reduce(ConfigurationChanged(cfg, Version(1)))
        self.members(server(LOCAL), *(server(peer) for peer in peers))
        self.reduce(ServerConnections(()))
        self.tick()
        for peer in peers:
            self.receive(peer, IntroducedAck(Incarnation(1)))
        self.tick()

    def reduce(self, event: object) -> list[Effect]:
        return self.agent.reduce(Seconds(self.now), event)

    def receive(self, src: NodeId, msg: object) -> list[Effect]:
        return self.reduce(Received(src, msg))

    def members(self, *servers: Server) -> None:
        self.now += 1.0
        self.reduce(ViewChanged(View(int(self.now), servers, ())))

    def tick(self, seconds: float = 0.1) -> list[Effect]:
        self.now += seconds
        return self.reduce(Tick())

    def packet(
        self, caller: str, flags: Flag, address: str = ADDRESS, hops: int = 0
    ) -> list[Effect]:
        asked = (PEER,) * hops
        packet = Packet(caller, address, int(flags), hops=hops, asked=asked)
        return self.reduce(PacketArrived(packet))

    def open(self, caller: str) -> None:
        assert delivered(self.packet(caller, Flag.SYN, hops=1))
        assert delivered(self.packet(caller, Flag.ACK))


def delivered(effects: list[Effect]) -> bool:
    return any(isinstance(e, Deliver) for e in effects)


def resets(effects: list[Effect]) -> list[str]:
    return [
        e.packet.caller
        for e in effects
        if isinstance(e, Return) and e.packet.flags & Flag.RST
    ]


def reasons(effects: list[Effect]) -> list[str]:
    return [e.event.reason for e in effects if isinstance(e, Record)]


def caller_owned_by(host: AgentHarness, node: NodeId) -> str:
    for port in range(1000):
        caller = f"198.18.0.1:{port}"
        if host.agent.explain(caller, ADDRESS).owner == node:
            return caller
    raise AssertionError(f"expected a caller whose flows {node} owns")


def test_packet_to_another_services_address_is_never_delivered() -> None:
    host = AgentHarness()
    for flags in (Flag.SYN, Flag.ACK):
        effects = host.packet("c:1", flags, "192.0.2.9:1")
        assert not delivered(effects)
    assert reasons(host.packet("c:1", Flag.SYN, "192.0.2.9:1")) == [
        "unknown-address"
    ]


def test_draining_agent_forwards_new_flows_and_keeps_open_ones() -> None:
    host = AgentHarness(PEER)
    host.open("c:1")
    host.reduce(DrainAsked(60.0))
    (forwarded,) = host.packet(caller_owned_by(host, LOCAL), Flag.SYN)
    assert isinstance(forwarded, Forward)
    assert forwarded.dst == PEER
    assert delivered(host.packet("c:1", Flag.ACK))
    assert host.agent.draining


def test_drain_limit_resets_remaining_flows() -> None:
    host = AgentHarness(PEER)
    host.open("c:1")
    host.reduce(DrainAsked(60.0))
    assert not resets(host.tick(59.0))
    effects = host.tick(2.0)
    assert resets(effects) == ["c:1"]
    assert delivered(effects)
    assert host.agent.open_flows == 0


def test_new_flows_over_the_connection_limit_are_forwarded_or_reset() -> None:
    host = AgentHarness(PEER, connections=2)
    host.open("c:1")
    host.open("c:2")
    (forwarded,) = host.packet(caller_owned_by(host, LOCAL), Flag.SYN)
    assert isinstance(forwarded, Forward)
    alone = AgentHarness(connections=1)
    alone.open("c:1")
    effects = alone.packet("c:2", Flag.SYN)
    assert resets(effects) == ["c:2"]
    assert reasons(effects) == ["connection-limit"]


def test_server_death_resets_all_its_flows_at_once() -> None:
    host = AgentHarness()
    host.open("c:1")
    host.open("c:2")
    for _ in range(DEAD_PROBES - 1):
        assert not resets(host.reduce(ServerProbed(False, False)))
    effects = host.reduce(ServerProbed(False, False))
    assert sorted(resets(effects)) == ["c:1", "c:2"]


def test_restarted_agent_recovers_the_flows_of_its_server() -> None:
    host = AgentHarness(PEER)
    host.reduce(ServerConnections((("c:1", ADDRESS), ("c:2", ADDRESS))))
    assert delivered(host.packet("c:1", Flag.ACK))
    data = Packet("c:3", ADDRESS, int(Flag.ACK), b"x")
    host.reduce(ServerSent(data))
    assert delivered(host.packet("c:3", Flag.ACK))


def test_new_agent_accepts_flows_only_after_introduction() -> None:
    agent = AgentFlows(
        LOCAL, NAME, PlaceName("a"), Incarnation(1), random.Random(1)
    )
    now = Seconds(1.0)
    cfg = make_cfg(make_service("one"))
    agent.reduce(now, ConfigurationChanged(cfg, Version(1)))
    view = View(1, (server(LOCAL), server(PEER)), ())
    agent.reduce(now, ViewChanged(view))
    syn = PacketArrived(Packet("c:1", ADDRESS, int(Flag.SYN), hops=1))
    early_syn = PacketArrived(Packet("c:2", ADDRESS, int(Flag.SYN), hops=1))
    assert not delivered(agent.reduce(now, early_syn))
    sends = agent.reduce(now, Tick())
    assert Send(PEER, Introduced(Incarnation(1))) in sends
    agent.reduce(now, Received(PEER, IntroducedAck(Incarnation(1))))
    agent.reduce(now, Tick())
    assert delivered(agent.reduce(now, syn))


def deny_lookup(
    host: AgentHarness, caller: str, known: int | None = None
) -> list[str]:
    """Send a packet of an unknown flow and deny the lookup."""
    host.packet(caller, Flag.ACK)
    sends = [e for e in host.tick() if isinstance(e, Send)]
    queries = [e.msg for e in sends if isinstance(e.msg, Locate)]
    if not queries:
        return []
    digest = host.agent._locator._state_digest if known is None else known
    return resets(host.receive(PEER, NotHeld(queries[0].keys, digest)))


def test_unknown_flow_is_reset_after_two_denials() -> None:
    host = AgentHarness(PEER)
    caller = caller_owned_by(host, LOCAL)
    assert deny_lookup(host, caller) == []
    assert deny_lookup(host, caller) == []
    host.tick(DENIAL_INTERVAL_S)
    assert deny_lookup(host, caller) == [caller]


def test_unknown_flow_is_not_reset_while_members_disagree() -> None:
    host = AgentHarness(PEER)
    caller = caller_owned_by(host, LOCAL)
    for _ in range(5):
        assert deny_lookup(host, caller, known=1) == []
        host.tick(DENIAL_INTERVAL_S)


def test_unknown_flow_is_not_reset_before_recovery() -> None:
    host = AgentHarness(PEER)
    host.agent._locator.recovered = False
    caller = caller_owned_by(host, LOCAL)
    for _ in range(3):
        assert deny_lookup(host, caller) == []
        host.tick(DENIAL_INTERVAL_S)


def test_packet_is_forwarded_to_the_announced_holder() -> None:
    host = AgentHarness(PEER, NodeId("10.2.0.3:9000"))
    caller = caller_owned_by(host, LOCAL)
    key = flow_key(caller, ADDRESS)
    located = Located(7, Incarnation(1), pack_keys([key]))
    (ack,) = host.receive(PEER, located)
    assert isinstance(ack, Send) and ack.dst == PEER
    (forwarded,) = host.packet(caller, Flag.ACK)
    assert isinstance(forwarded, Forward)
    assert forwarded.dst == PEER
    assert host.agent.explain(caller, ADDRESS).next_hops[0] == PEER


def test_flow_of_a_departed_holder_is_reset() -> None:
    host = AgentHarness(PEER)
    caller = caller_owned_by(host, LOCAL)
    key = flow_key(caller, ADDRESS)
    host.receive(PEER, Located(7, Incarnation(1), pack_keys([key])))
    host.members(server(LOCAL))
    assert not resets(host.packet(caller, Flag.ACK))
    host.tick(RESET_DELAY_S + 0.1)
    assert resets(host.packet(caller, Flag.ACK)) == [caller]


def test_flow_is_announced_to_its_owner_and_retransmitted() -> None:
    host = AgentHarness(PEER)
    caller = caller_owned_by(host, PEER)
    key = flow_key(caller, ADDRESS)
    host.reduce(ServerConnections(((caller, ADDRESS),)))
    sends = [e for e in host.tick() if isinstance(e, Send)]
    assert [unpack_keys(s.msg.keys) for s in sends] == [[key]]
    host.tick(RETRANSMIT_S)
    retransmitted = [e for e in host.tick(RETRANSMIT_S) if isinstance(e, Send)]
    assert retransmitted[0].msg == sends[0].msg


def test_overloaded_agent_forwards_new_flows_to_a_less_loaded_one() -> None:
    host = AgentHarness(PEER)
    for port in range(60):
        host.open(f"c:{port}")
    host.members(server(LOCAL, flows=60), server(PEER, flows=10))
    (forwarded,) = host.packet(caller_owned_by(host, LOCAL), Flag.SYN)
    assert isinstance(forwarded, Forward)
    assert forwarded.dst == PEER


def test_packet_is_not_forwarded_beyond_the_hop_limit() -> None:
    host = AgentHarness(PEER)
    effects = host.packet("c:1", Flag.ACK, hops=MAX_HOPS)
    assert not any(isinstance(e, Forward) for e in effects)


def test_packets_of_unknown_flows_start_a_bounded_number_of_lookups() -> None:
    host = AgentHarness(PEER)
    for number in range(5000):
        host.packet(f"198.18.{number >> 8}.{number & 255}:9", Flag.ACK)
    assert len(host.agent._locator._lookups) <= MAX_LOOKUPS
    assert host.agent.open_flows == 0


def test_load_is_reported() -> None:
    host = AgentHarness()
    host.open("c:1")
    assert Publish(LoadMeasured(flows=1)) in host.tick(1.0)


@pytest.mark.parametrize("closing_flags", [Flag.FIN | Flag.ACK, Flag.RST])
def test_closed_flows_leave_no_state(closing_flags: Flag) -> None:
    host = AgentHarness(connections=10_000)
    for number in range(20_000):
        caller = f"198.18.{number >> 8}.{number & 255}:9"
        host.packet(caller, Flag.SYN)
        host.packet(caller, Flag.ACK)
        host.packet(caller, closing_flags)
        host.reduce(ServerSent(Packet(caller, ADDRESS, int(closing_flags))))
        host.now += 0.001
    host.tick(CLOSING_LIFETIME_S + 1.0)
    table = host.agent._flows
    remaining = (table.established, table.half_open, table.closing)
    assert remaining == ({}, {}, {})
    assert not table._closing

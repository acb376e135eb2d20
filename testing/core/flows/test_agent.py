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
from medlar_core.flows.limits import CLOSING_S
from medlar_core.flows.limits import CONFIRM_S
from medlar_core.flows.limits import DEAD_PROBES
from medlar_core.flows.limits import MAX_HOPS
from medlar_core.flows.limits import RETRY_S
from medlar_core.flows.limits import SEARCHES
from medlar_core.flows.limits import SETTLE_S
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

ME = NodeId("10.2.0.1:9000")
PEER = NodeId("10.2.0.2:9000")
NAME = ServiceName("one")
ADDRESS = address_of("one")


def server(node: NodeId, flows: int = 0) -> Server:
    place = PlaceName("a")
    ready = ServerState.READY
    return Server(node, Incarnation(1), NAME, place, ready, flows=flows)


class Host:
    """An agent with a clock and a few ways to speak to it."""

    def __init__(self, *peers: NodeId, connections: int = 100) -> None:
        self.now = 1.0
        self.agent = AgentFlows(
            ME, NAME, PlaceName("a"), Incarnation(1), random.Random(1)
        )
        service = msgspec.structs.replace(
            make_service("one"), connections=connections
        )
        cfg = make_cfg(service)
        self.give(ConfigurationChanged(cfg, Version(1)))
        self.members(server(ME), *(server(peer) for peer in peers))
        self.give(ServerConnections(()))
        self.tick()
        for peer in peers:
            self.hear(peer, IntroducedAck(Incarnation(1)))
        self.tick()

    def give(self, event: object) -> list[Effect]:
        return self.agent.reduce(Seconds(self.now), event)

    def hear(self, src: NodeId, msg: object) -> list[Effect]:
        return self.give(Received(src, msg))

    def members(self, *servers: Server) -> None:
        self.now += 1.0
        self.give(ViewChanged(View(int(self.now), servers, ())))

    def tick(self, seconds: float = 0.1) -> list[Effect]:
        self.now += seconds
        return self.give(Tick())

    def packet(
        self, caller: str, flags: Flag, address: str = ADDRESS, hops: int = 0
    ) -> list[Effect]:
        asked = (PEER,) * hops
        packet = Packet(caller, address, int(flags), hops=hops, asked=asked)
        return self.give(PacketArrived(packet))

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


def caller_owned_by(host: Host, node: NodeId) -> str:
    for port in range(1000):
        caller = f"198.18.0.1:{port}"
        if host.agent.explain(caller, ADDRESS).owner == node:
            return caller
    raise AssertionError(f"expected a caller whose flows {node} owns")


def test_packet_to_another_services_address_is_never_delivered() -> None:
    host = Host()
    for flags in (Flag.SYN, Flag.ACK):
        effects = host.packet("c:1", flags, "192.0.2.9:1")
        assert not delivered(effects)
    assert reasons(host.packet("c:1", Flag.SYN, "192.0.2.9:1")) == [
        "unknown-address"
    ]


def test_draining_agent_passes_new_flows_on_and_keeps_its_own() -> None:
    host = Host(PEER)
    host.open("c:1")
    host.give(DrainAsked(60.0))
    (passed,) = host.packet(caller_owned_by(host, ME), Flag.SYN)
    assert isinstance(passed, Forward)
    assert passed.dst == PEER
    assert delivered(host.packet("c:1", Flag.ACK))
    assert host.agent.draining


def test_drain_limit_resets_what_is_left() -> None:
    host = Host(PEER)
    host.open("c:1")
    host.give(DrainAsked(60.0))
    assert not resets(host.tick(59.0))
    effects = host.tick(2.0)
    assert resets(effects) == ["c:1"]
    assert delivered(effects)
    assert host.agent.open_flows == 0


def test_new_flows_over_the_connection_limit_go_elsewhere() -> None:
    host = Host(PEER, connections=2)
    host.open("c:1")
    host.open("c:2")
    (passed,) = host.packet(caller_owned_by(host, ME), Flag.SYN)
    assert isinstance(passed, Forward)
    alone = Host(connections=1)
    alone.open("c:1")
    effects = alone.packet("c:2", Flag.SYN)
    assert resets(effects) == ["c:2"]
    assert reasons(effects) == ["connection-limit"]


def test_server_death_resets_all_its_flows_at_once() -> None:
    host = Host()
    host.open("c:1")
    host.open("c:2")
    for _ in range(DEAD_PROBES - 1):
        assert not resets(host.give(ServerProbed(False, False)))
    effects = host.give(ServerProbed(False, False))
    assert sorted(resets(effects)) == ["c:1", "c:2"]


def test_restarted_agent_finds_the_servers_flows_again() -> None:
    host = Host(PEER)
    host.give(ServerConnections((("c:1", ADDRESS), ("c:2", ADDRESS))))
    assert delivered(host.packet("c:1", Flag.ACK))
    data = Packet("c:3", ADDRESS, int(Flag.ACK), b"x")
    host.give(ServerSent(data))
    assert delivered(host.packet("c:3", Flag.ACK))


def test_new_agent_takes_flows_only_when_others_know_it() -> None:
    agent = AgentFlows(
        ME, NAME, PlaceName("a"), Incarnation(1), random.Random(1)
    )
    now = Seconds(1.0)
    cfg = make_cfg(make_service("one"))
    agent.reduce(now, ConfigurationChanged(cfg, Version(1)))
    view = View(1, (server(ME), server(PEER)), ())
    agent.reduce(now, ViewChanged(view))
    syn = PacketArrived(Packet("c:1", ADDRESS, int(Flag.SYN), hops=1))
    early = PacketArrived(Packet("c:2", ADDRESS, int(Flag.SYN), hops=1))
    assert not delivered(agent.reduce(now, early))
    sends = agent.reduce(now, Tick())
    assert Send(PEER, Introduced(Incarnation(1))) in sends
    agent.reduce(now, Received(PEER, IntroducedAck(Incarnation(1))))
    agent.reduce(now, Tick())
    assert delivered(agent.reduce(now, syn))


def ask_all(host: Host, caller: str, known: int | None = None) -> list[str]:
    """Have a stray packet searched for and denied by the peer."""
    host.packet(caller, Flag.ACK)
    asked = [e for e in host.tick() if isinstance(e, Send)]
    asks = [e.msg for e in asked if isinstance(e.msg, Locate)]
    if not asks:
        return []
    agreed = host.agent._finder._known if known is None else known
    return resets(host.hear(PEER, NotHeld(asks[0].keys, agreed)))


def test_unknown_flow_is_reset_after_two_denials() -> None:
    host = Host(PEER)
    caller = caller_owned_by(host, ME)
    assert ask_all(host, caller) == []
    assert ask_all(host, caller) == []
    host.tick(CONFIRM_S)
    assert ask_all(host, caller) == [caller]


def test_unknown_flow_is_not_reset_while_members_disagree() -> None:
    host = Host(PEER)
    caller = caller_owned_by(host, ME)
    for _ in range(5):
        assert ask_all(host, caller, known=1) == []
        host.tick(CONFIRM_S)


def test_unknown_flow_is_not_reset_before_recovery() -> None:
    host = Host(PEER)
    host.agent._finder.recovered = False
    caller = caller_owned_by(host, ME)
    for _ in range(3):
        assert ask_all(host, caller) == []
        host.tick(CONFIRM_S)


def test_flow_told_by_a_holder_is_passed_there() -> None:
    host = Host(PEER, NodeId("10.2.0.3:9000"))
    caller = caller_owned_by(host, ME)
    key = flow_key(caller, ADDRESS)
    told = Located(7, Incarnation(1), pack_keys([key]))
    (ack,) = host.hear(PEER, told)
    assert isinstance(ack, Send) and ack.dst == PEER
    (passed,) = host.packet(caller, Flag.ACK)
    assert isinstance(passed, Forward)
    assert passed.dst == PEER
    assert host.agent.explain(caller, ADDRESS).next_hops[0] == PEER


def test_flow_of_a_lost_holder_is_reset() -> None:
    host = Host(PEER)
    caller = caller_owned_by(host, ME)
    key = flow_key(caller, ADDRESS)
    host.hear(PEER, Located(7, Incarnation(1), pack_keys([key])))
    host.members(server(ME))
    assert not resets(host.packet(caller, Flag.ACK))
    host.tick(SETTLE_S + 0.1)
    assert resets(host.packet(caller, Flag.ACK)) == [caller]


def test_owner_is_told_of_a_flow_and_of_its_end() -> None:
    host = Host(PEER)
    caller = caller_owned_by(host, PEER)
    key = flow_key(caller, ADDRESS)
    host.give(ServerConnections(((caller, ADDRESS),)))
    sends = [e for e in host.tick() if isinstance(e, Send)]
    assert [unpack_keys(s.msg.keys) for s in sends] == [[key]]
    host.tick(RETRY_S)
    again = [e for e in host.tick(RETRY_S) if isinstance(e, Send)]
    assert again[0].msg == sends[0].msg


def test_overloaded_agent_passes_new_flows_to_an_emptier_one() -> None:
    host = Host(PEER)
    for port in range(60):
        host.open(f"c:{port}")
    host.members(server(ME, flows=60), server(PEER, flows=10))
    (passed,) = host.packet(caller_owned_by(host, ME), Flag.SYN)
    assert isinstance(passed, Forward)
    assert passed.dst == PEER


def test_packets_end_after_a_limited_number_of_hops() -> None:
    host = Host(PEER)
    effects = host.packet("c:1", Flag.ACK, hops=MAX_HOPS)
    assert not any(isinstance(e, Forward) for e in effects)


def test_stray_packets_allocate_within_a_limit() -> None:
    host = Host(PEER)
    for number in range(5000):
        host.packet(f"198.18.{number >> 8}.{number & 255}:9", Flag.ACK)
    assert len(host.agent._finder._searches) <= SEARCHES
    assert host.agent.open_flows == 0


def test_load_is_reported() -> None:
    host = Host()
    host.open("c:1")
    assert Publish(LoadMeasured(flows=1)) in host.tick(1.0)


@pytest.mark.parametrize("ends", [Flag.FIN | Flag.ACK, Flag.RST])
def test_many_flows_leave_nothing_behind(ends: Flag) -> None:
    host = Host(connections=10_000)
    for number in range(20_000):
        caller = f"198.18.{number >> 8}.{number & 255}:9"
        host.packet(caller, Flag.SYN)
        host.packet(caller, Flag.ACK)
        host.packet(caller, ends)
        host.give(ServerSent(Packet(caller, ADDRESS, int(ends))))
        host.now += 0.001
    host.tick(CLOSING_S + 1.0)
    table = host.agent._flows
    kept = (table.established, table.half_open, table.closing)
    assert kept == ({}, {}, {})
    assert not table._closing

"""Flows through balancers and agents: placement, lookup and resets."""

import msgspec
import pytest

from medlar_core.events import StopAsked
from medlar_core.packets import Flag
from medlar_core.relay.events import PacketForwarded
from medlar_core.relay.lookup.flow_lookup import QUERY_PACKETS_BURST
from medlar_core.relay.lookup.flow_lookup import QUERY_PACKETS_PER_S
from medlar_core.relay.lookup.forwarded import ForwardedPacket
from medlar_core.relay.lookup.forwarded import ForwardReason
from medlar_core.relay.messages import AgentState
from medlar_core.relay.scope import FlowScope
from medlar_core.relay.segment import Segment
from medlar_fakes.relay import encode
from medlar_fakes.relay import FakeCodec
from medlar_fakes.relay import FakeServer

from .kit import ANNOUNCE_INTERVAL_S
from .kit import DESK
from .kit import Fleet
from .kit import flow
from .kit import FLOW_IDLE_S
from .kit import node
from .wrappers import UnresponsiveServer


def test_a_flow_stays_at_its_server_through_every_balancer():
    fleet = Fleet()
    opened = [fleet.open(number, by=number % 3) for number in range(30)]
    for by in (0, 1, 2):
        for flow_id in opened:
            fleet.data(flow_id, by, seq=200 + by)
        fleet.run(0.2)
    for flow_id in opened:
        fleet.holder(flow_id)
        assert fleet.answer_count(flow_id) == 4
        assert fleet.packet_count(flow_id, Flag.RST) == 0


def test_retransmitted_syns_through_other_balancers_open_one_flow():
    fleet = Fleet()
    for number in range(20):
        for attempt in range(3):
            fleet.syn(flow(number), by=attempt, retransmission=attempt)
        fleet.run(0.1)
    accepted = [s.accepted for s in fleet.world.servers.values()]
    for number in range(20):
        holders = [flows for flows in accepted if flow(number) in flows]
        assert len(holders) == 1


def test_the_restart_of_an_agent_breaks_no_flow():
    fleet = Fleet()
    opened = [fleet.open(number) for number in range(20)]
    for number in range(4):
        fleet.kill(node("agent", number))
        fleet.start_agent(node("agent", number))
        fleet.run(2.0)
        for flow_id in opened:
            fleet.data(flow_id, by=number % 3, seq=300 + number)
        fleet.run(0.5)
    for flow_id in opened:
        assert fleet.packet_count(flow_id, Flag.RST) == 0
        assert fleet.answer_count(flow_id) == 5


def test_flows_survive_the_restart_of_all_balancers_and_agents():
    fleet = Fleet()
    opened = [fleet.open(number) for number in range(20)]
    for number in range(3):
        fleet.kill(node("balancer", number))
        fleet.start_balancer(node("balancer", number))
    for number in range(4):
        fleet.kill(node("agent", number))
        fleet.start_agent(node("agent", number))
    fleet.run(3.0)
    for flow_id in opened:
        fleet.data(flow_id, by=1, seq=400)
    fleet.run(0.5)
    for flow_id in opened:
        assert fleet.answer_count(flow_id) == 2
        assert fleet.packet_count(flow_id, Flag.RST) == 0


@pytest.mark.parametrize("clock_jumped", [False, True])
def test_flows_accepted_before_a_servers_first_announcement_are_kept(
    clock_jumped,
):
    fleet = Fleet(agents=1)
    fleet.clock_jumped = clock_jumped
    address = node("agent", 0)
    old = fleet.open(1)
    fleet.run(ANNOUNCE_INTERVAL_S)
    fleet.start_server(address)
    announcement = fleet.announcements.pop(address)
    new = fleet.open(2)
    fleet.run(3.5)
    fleet.announcements[address] = announcement
    fleet.run(ANNOUNCE_INTERVAL_S)
    assert fleet.packet_count(old, Flag.RST) == 1
    assert fleet.packet_count(new, Flag.RST) == 0
    fleet.data(new, seq=400)
    fleet.run(0.2)
    assert fleet.answer_count(new) == 2


def test_a_flow_opened_at_another_server_is_not_reset_by_the_first():
    fleet = Fleet(agents=1)
    address = node("agent", 0)
    fleet.world.servers[address] = UnresponsiveServer()
    opened = flow(1)
    fleet.syn(opened)
    fleet.run(0.05)
    other = node("agent", 1)
    fleet.start_server(other)
    fleet.start_agent(other)
    fleet.run(3.0)
    fleet.world.dispatch(address, StopAsked())
    fleet.run(0.2)
    fleet.syn(opened, retransmission=1)
    fleet.run(0.05)
    assert fleet.holder(opened) == other
    fleet.start_server(address)
    fleet.run(2 * ANNOUNCE_INTERVAL_S)
    assert fleet.packet_count(opened, Flag.RST) == 0


def test_a_flow_of_uncertain_incarnation_is_reset_once_it_is_bounced():
    fleet = Fleet(agents=1)
    fleet.clock_jumped = True
    fleet.run(0.2)
    old = fleet.open(1)
    fleet.start_server(node("agent", 0))
    fleet.run(ANNOUNCE_INTERVAL_S)
    fleet.data(old, seq=400)
    fleet.run(0.2)
    assert fleet.packet_count(old, Flag.RST) == 1


def test_flows_of_a_replaced_server_are_reset_at_once():
    fleet = Fleet()
    opened = [fleet.open(number) for number in range(20)]
    address = fleet.holder(opened[0])
    old_flows = [f for f in opened if fleet.holder(f) == address]
    fleet.start_server(address)
    fleet.run(1.5)
    for flow_id in opened:
        assert fleet.packet_count(flow_id, Flag.RST) == (flow_id in old_flows)


def test_a_flow_without_holder_is_reset_once_all_agents_have_replied():
    fleet = Fleet()
    unknown = flow(99)
    fleet.data(unknown)
    fleet.run(0.1)
    assert fleet.packet_count(unknown, Flag.RST) == 1


def test_a_flow_is_not_reset_while_an_agent_is_silent():
    fleet = Fleet()
    fleet.world.paused.add(node("agent", 2))
    for number in range(20):
        fleet.data(flow(number))
    fleet.run(2.0)
    assert not any(s.flags & Flag.RST for s in fleet.world.caller_packets)


def test_flows_of_a_paused_agent_continue_after_the_pause():
    fleet = Fleet()
    opened = [fleet.open(number) for number in range(20)]
    address = fleet.holder(opened[0])
    fleet.world.paused.add(address)
    fleet.run(3.0)
    for flow_id in opened:
        fleet.data(flow_id, by=1, seq=500)
    fleet.run(1.0)
    fleet.world.paused.clear()
    fleet.run(1.0)
    for flow_id in opened:
        fleet.data(flow_id, by=2, seq=500)
    fleet.run(0.5)
    for flow_id in opened:
        assert fleet.packet_count(flow_id, Flag.RST) == 0
        assert fleet.answer_count(flow_id) >= 2


def test_a_silent_agent_gets_no_new_flow():
    fleet = Fleet()
    address = node("agent", 1)
    fleet.world.paused.add(address)
    fleet.run(1.0)
    before = len(fleet.world.servers[address].accepted)
    opened = [fleet.open(number) for number in range(30)]
    assert len(fleet.world.servers[address].accepted) == before
    assert all(fleet.answer_count(flow_id) == 1 for flow_id in opened)


def test_a_draining_server_gets_no_new_flow_and_keeps_its_own():
    fleet = Fleet()
    opened = [fleet.open(number) for number in range(20)]
    address = fleet.holder(opened[0])
    fleet.drain(address)
    fleet.run(0.01)
    accepted = len(fleet.world.servers[address].accepted)
    for number in range(100, 140):
        fleet.open(number, by=number % 3)
    assert len(fleet.world.servers[address].accepted) == accepted
    for flow_id in opened:
        fleet.data(flow_id, by=2, seq=600)
    fleet.run(0.2)
    assert all(fleet.answer_count(flow_id) == 2 for flow_id in opened)


def test_a_flow_that_a_server_declines_goes_to_another():
    fleet = Fleet()
    for number in range(3):
        fleet.world.servers[node("agent", number)].capacity = 0
    opened = [fleet.open(number) for number in range(10)]
    for flow_id in opened:
        assert fleet.holder(flow_id) == node("agent", 3)
        assert fleet.packet_count(flow_id, Flag.RST) == 0


def test_a_flow_that_all_servers_decline_is_refused_at_once():
    fleet = Fleet()
    for server in fleet.world.servers.values():
        server.capacity = 0
    fleet.syn(flow(1))
    fleet.run(0.05)
    assert fleet.packet_count(flow(1), Flag.RST) == 1


def test_a_flow_is_not_refused_while_a_server_may_become_ready():
    fleet = Fleet(agents=1)
    address = node("agent", 0)
    fleet.kill(address)
    del fleet.announcements[address]
    fleet.delete("m/agents/" + address)
    fleet.start_agent(address)
    fleet.run(1.0)
    assert fleet.agents[address].report(fleet.world.clock.now).state is (
        AgentState.STARTING
    )
    fleet.syn(flow(1))
    fleet.run(0.1)
    assert fleet.packet_count(flow(1), Flag.RST) == 0


def test_syns_are_not_forwarded_in_loops_between_busy_agents():
    fleet = Fleet()
    for number in range(60):
        fleet.syn(flow(number), by=number % 3)
    fleet.run(1.0)
    before = fleet.world.forward_count
    for number in range(100, 160):
        fleet.syn(flow(number), by=number % 3)
        fleet.syn(flow(number), by=(number + 1) % 3, retransmission=1)
    fleet.run(1.0)
    assert fleet.world.forward_count - before <= 60 * 8


def test_new_flows_are_spread_evenly():
    fleet = Fleet()
    for number in range(200):
        fleet.open(number, by=number % 3)
    counts = [len(s.accepted) for s in fleet.world.servers.values()]
    assert max(counts) / (sum(counts) / len(counts)) <= 1.15


def test_callers_that_are_still_sending_do_not_fill_a_server():
    fleet = Fleet(agents=1)
    fleet.world.servers[node("agent", 0)].ignores_data = True
    for step in range(20):
        fleet.syn(flow(step))
        fleet.run(0.005)
        for number in range(step + 1):
            fleet.data(flow(number), seq=5_000 + 50 * step)
        fleet.run(0.005)
    assert all(
        fleet.packet_count(flow(number), Flag.SYN) for number in range(20)
    )


def test_callers_that_wait_for_a_response_fill_a_server():
    fleet = Fleet(agents=1)
    fleet.world.servers[node("agent", 0)].ignores_data = True
    for number in range(30):
        fleet.syn(flow(number))
        fleet.run(0.05)
        fleet.data(flow(number))
        fleet.run(0.05)
    opened = sum(fleet.packet_count(flow(n), Flag.SYN) for n in range(30))
    assert opened <= 7


def test_a_restarted_agent_learns_all_flows_of_its_server():
    fleet = Fleet()
    address = node("agent", 0)
    opened = [fleet.open(number) for number in range(12)]
    fleet.kill(address)
    agent = fleet.start_agent(address)
    fleet.run(2.0)
    assert not agent.report(fleet.world.clock.now).knows_all_flows
    for step in range(20):
        for flow_id in opened:
            fleet.data(flow_id, seq=300 + 50 * step)
        fleet.run(1.0)
    assert agent.report(fleet.world.clock.now).knows_all_flows
    fleet.data(flow(99))
    fleet.run(0.1)
    assert fleet.packet_count(flow(99), Flag.RST) == 1
    for flow_id in opened:
        assert fleet.answer_count(flow_id) == 21
        assert fleet.packet_count(flow_id, Flag.RST) == 0


def test_lookups_after_a_loss_of_all_tables_keep_the_query_limit():
    fleet = Fleet(agents=30)
    opened = [fleet.open(number) for number in range(120)]
    for number in range(30):
        fleet.kill(node("agent", number))
        fleet.start_agent(node("agent", number))
    fleet.run(1.0)
    before = fleet.world.forward_count
    for step in range(10):
        for flow_id in opened:
            fleet.data(flow_id, seq=300 + 50 * step)
        fleet.run(0.4)
    assert all(fleet.answer_count(flow_id) > 1 for flow_id in opened)
    assert all(
        fleet.packet_count(flow_id, Flag.RST) == 0 for flow_id in opened
    )
    limit_per_agent = QUERY_PACKETS_BURST + 4.0 * QUERY_PACKETS_PER_S
    assert fleet.world.forward_count - before <= 30 * limit_per_agent


def test_queries_for_a_flood_of_unknown_flows_are_limited():
    fleet = Fleet(agents=20)
    for number in range(20):
        fleet.kill(node("agent", number))
        fleet.start_agent(node("agent", number))
    fleet.run(1.0)
    before = fleet.world.forward_count
    for number in range(2_000):
        fleet.data(flow(number))
    fleet.run(0.2)
    forwarded = fleet.world.forward_count - before - 2_000
    assert forwarded <= 20 * (QUERY_PACKETS_BURST + 0.2 * QUERY_PACKETS_PER_S)


class OtherServer(FakeServer):
    """Accepts flows with a sequence number that no caller acknowledges."""

    def handle(self, segment):
        return [
            msgspec.structs.replace(reply, seq=70_000)
            for reply in super().handle(segment)
            if not reply.flags & Flag.BOUNCED
        ]


def test_a_flow_that_opened_elsewhere_is_not_reset_as_a_late_server_ends():
    """Guards against resets of a flow whose first SYN was delivered late.

    Its caller has acknowledged the server that got a copy of the SYN.
    """
    fleet = Fleet()
    late = node("agent", 2)
    held = fleet.flows_at(node("agent", 1), 20)
    fleet.world.servers[late] = OtherServer()
    for flow_id in held:
        for flags, size in ((Flag.SYN, 0), (Flag.ACK, 50)):
            data = encode(Segment(b"", flags, *flow_id, size, 100, 501))
            packet = ForwardedPacket(
                reason=int(ForwardReason.PLACED),
                service=DESK,
                data=data,
                scope=FlowScope(1, FLOW_IDLE_S),
            )
            event = PacketForwarded(
                node("agent", 0), packet, FakeCodec().decode(data)
            )
            fleet.world.dispatch(late, event)
            fleet.run(0.01)
    assert held
    fleet.start_server(late)
    fleet.run(1.5)
    assert fleet.reset_count(held) == 0


def test_a_flow_that_a_dead_server_never_accepted_is_not_reset_at_its_end():
    fleet = Fleet()
    address = node("agent", 2)
    held = fleet.flows_at(node("agent", 1), 20)
    fleet.world.servers.pop(address)
    announcement = fleet.announcements.pop(address)
    for flow_id in held:
        # Their SYN went to the dead server first, through an agent that
        # stopped, and a balancer still has that hint.
        for flags, size in ((Flag.SYN, 0), (Flag.ACK, 50)):
            data = encode(Segment(b"", flags, *flow_id, size, 100, 501))
            packet = ForwardedPacket(
                reason=int(ForwardReason.PLACED),
                service=DESK,
                data=data,
                scope=FlowScope(1, FLOW_IDLE_S),
            )
            event = PacketForwarded(
                node("balancer", 0), packet, FakeCodec().decode(data)
            )
            fleet.world.dispatch(address, event)
    fleet.run(0.2)
    fleet.start_server(address)
    assert fleet.announcements[address].server != announcement.server
    fleet.run(1.5)
    assert held
    assert fleet.reset_count(held) == 0

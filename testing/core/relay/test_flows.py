import pytest

from medlar_core.events import StopAsked
from medlar_core.packets import Flag
from medlar_core.relay.finder import QUESTIONS_AT_ONCE
from medlar_core.relay.finder import QUESTIONS_PER_S
from medlar_core.relay.messages import AgentState
from medlar_fakes.relay import FakeServer

from .kit import ANNOUNCE_INTERVAL_S
from .kit import Fleet
from .kit import flow
from .kit import node


class Deaf(FakeServer):
    def take(self, segment):
        return []


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


def test_copies_of_a_syn_by_other_balancers_open_one_flow():
    fleet = Fleet()
    for number in range(20):
        for retransmission in range(3):
            fleet.syn(
                flow(number), by=retransmission, retransmission=retransmission
            )
        fleet.run(0.1)
    taken = [s.taken for s in fleet.world.servers.values()]
    for number in range(20):
        holders = [t for t in taken if flow(number) in t]
        assert len(holders) == 1


def test_an_agent_that_restarts_beside_its_server_breaks_no_flow():
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


def test_flows_survive_the_restart_of_all_processes():
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
def test_flows_that_a_successor_took_before_its_first_word_stay_whole(
    clock_jumped,
):
    fleet = Fleet(agents=1)
    fleet.clock_jumped = clock_jumped
    where = node("agent", 0)
    old = fleet.open(1)
    fleet.run(ANNOUNCE_INTERVAL_S)
    fleet.start_server(where)
    beat = fleet.announcements.pop(where)
    taken = fleet.open(2)
    fleet.run(3.5)
    fleet.announcements[where] = beat
    fleet.run(ANNOUNCE_INTERVAL_S)
    assert fleet.packet_count(old, Flag.RST) == 1
    assert fleet.packet_count(taken, Flag.RST) == 0
    fleet.data(taken, seq=400)
    fleet.run(0.2)
    assert fleet.answer_count(taken) == 2


def test_a_flow_that_another_server_took_is_not_reset_by_the_first():
    fleet = Fleet(agents=1)
    where = node("agent", 0)
    fleet.world.servers[where] = Deaf()
    opened = flow(1)
    fleet.syn(opened)
    fleet.run(0.05)
    other = node("agent", 1)
    fleet.start_server(other)
    fleet.start_agent(other)
    fleet.run(3.0)
    fleet.world.give(where, StopAsked())
    fleet.run(0.2)
    fleet.syn(opened, retransmission=1)
    fleet.run(0.05)
    assert fleet.holder(opened) == other
    fleet.start_server(where)
    fleet.run(2 * ANNOUNCE_INTERVAL_S)
    assert fleet.packet_count(opened, Flag.RST) == 0


def test_flows_that_may_be_a_successors_are_reset_by_its_bounce():
    fleet = Fleet(agents=1)
    fleet.clock_jumped = True
    fleet.run(0.2)
    lost = fleet.open(1)
    fleet.start_server(node("agent", 0))
    fleet.run(ANNOUNCE_INTERVAL_S)
    fleet.data(lost, seq=400)
    fleet.run(0.2)
    assert fleet.packet_count(lost, Flag.RST) == 1


def test_flows_of_a_server_that_was_replaced_are_reset_at_once():
    fleet = Fleet()
    opened = [fleet.open(number) for number in range(20)]
    where = fleet.holder(opened[0])
    lost = [f for f in opened if fleet.holder(f) == where]
    fleet.start_server(where)
    fleet.run(1.5)
    for flow_id in opened:
        assert fleet.packet_count(flow_id, Flag.RST) == (flow_id in lost)


def test_a_flow_that_nobody_holds_is_reset_once_all_have_denied_it():
    fleet = Fleet()
    stranger = flow(99)
    fleet.data(stranger)
    fleet.run(0.1)
    assert fleet.packet_count(stranger, Flag.RST) == 1


def test_a_flow_is_not_reset_while_a_member_is_silent():
    fleet = Fleet()
    fleet.world.away.add(node("agent", 2))
    for number in range(20):
        fleet.data(flow(number))
    fleet.run(2.0)
    assert not any(s.flags & Flag.RST for s in fleet.world.answers)


def test_a_flow_of_a_frozen_agent_goes_on_when_it_wakes():
    fleet = Fleet()
    opened = [fleet.open(number) for number in range(20)]
    where = fleet.holder(opened[0])
    fleet.world.away.add(where)
    fleet.run(3.0)
    for flow_id in opened:
        fleet.data(flow_id, by=1, seq=500)
    fleet.run(1.0)
    fleet.world.away.clear()
    fleet.run(1.0)
    for flow_id in opened:
        fleet.data(flow_id, by=2, seq=500)
    fleet.run(0.5)
    for flow_id in opened:
        assert fleet.packet_count(flow_id, Flag.RST) == 0
        assert fleet.answer_count(flow_id) >= 2


def test_a_silent_agent_gets_no_new_flow():
    fleet = Fleet()
    where = node("agent", 1)
    fleet.world.away.add(where)
    fleet.run(1.0)
    before = len(fleet.world.servers[where].taken)
    opened = [fleet.open(number) for number in range(30)]
    assert len(fleet.world.servers[where].taken) == before
    assert all(fleet.answer_count(flow_id) == 1 for flow_id in opened)


def test_a_draining_server_gets_no_new_flow_and_keeps_its_own():
    fleet = Fleet()
    opened = [fleet.open(number) for number in range(20)]
    where = fleet.holder(opened[0])
    fleet.drain(where)
    fleet.run(0.01)
    taken = len(fleet.world.servers[where].taken)
    for number in range(100, 140):
        fleet.open(number, by=number % 3)
    assert len(fleet.world.servers[where].taken) == taken
    for flow_id in opened:
        fleet.data(flow_id, by=2, seq=600)
    fleet.run(0.2)
    assert all(fleet.answer_count(flow_id) == 2 for flow_id in opened)


def test_a_flow_that_a_server_declines_goes_to_another():
    fleet = Fleet()
    for number in range(3):
        fleet.world.servers[node("agent", number)].room = 0
    opened = [fleet.open(number) for number in range(10)]
    for flow_id in opened:
        assert fleet.holder(flow_id) == node("agent", 3)
        assert fleet.packet_count(flow_id, Flag.RST) == 0


def test_a_flow_that_all_servers_decline_is_refused_at_once():
    fleet = Fleet()
    for server in fleet.world.servers.values():
        server.room = 0
    fleet.syn(flow(1))
    fleet.run(0.05)
    assert fleet.packet_count(flow(1), Flag.RST) == 1


def test_a_flow_is_not_refused_while_a_server_may_come_back():
    fleet = Fleet(agents=1)
    where = node("agent", 0)
    fleet.kill(where)
    del fleet.announcements[where]
    fleet.delete("m/agents/" + where)
    fleet.start_agent(where)
    fleet.run(1.0)
    assert fleet.agents[where].report(fleet.world.clock.now).state is (
        AgentState.STARTING
    )
    fleet.syn(flow(1))
    fleet.run(0.1)
    assert fleet.packet_count(flow(1), Flag.RST) == 0


def test_a_syn_between_busy_agents_does_not_run_in_circles():
    fleet = Fleet()
    for number in range(60):
        fleet.syn(flow(number), by=number % 3)
    fleet.run(1.0)
    before = fleet.world.passes
    for number in range(100, 160):
        fleet.syn(flow(number), by=number % 3)
        fleet.syn(flow(number), by=(number + 1) % 3, retransmission=1)
    fleet.run(1.0)
    assert fleet.world.passes - before <= 60 * 8


def test_new_flows_are_spread_evenly():
    fleet = Fleet()
    for number in range(200):
        fleet.open(number, by=number % 3)
    counts = [len(s.taken) for s in fleet.world.servers.values()]
    assert max(counts) / (sum(counts) / len(counts)) <= 1.15


def test_callers_that_still_send_do_not_make_a_server_full():
    fleet = Fleet(agents=1)
    fleet.world.servers[node("agent", 0)].mute = True
    for step in range(20):
        fleet.syn(flow(step))
        fleet.run(0.005)
        for number in range(step + 1):
            fleet.data(flow(number), seq=5_000 + 50 * step)
        fleet.run(0.005)
    assert all(
        fleet.packet_count(flow(number), Flag.SYN) for number in range(20)
    )


def test_callers_that_wait_make_a_server_full():
    fleet = Fleet(agents=1)
    fleet.world.servers[node("agent", 0)].mute = True
    for number in range(30):
        fleet.syn(flow(number))
        fleet.run(0.05)
        fleet.data(flow(number))
        fleet.run(0.05)
    opened = sum(fleet.packet_count(flow(n), Flag.SYN) for n in range(30))
    assert opened <= 7


def test_an_agent_beside_an_old_server_knows_all_its_flows_after_a_while():
    fleet = Fleet()
    where = node("agent", 0)
    opened = [fleet.open(number) for number in range(12)]
    fleet.kill(where)
    agent = fleet.start_agent(where)
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


def test_lost_tables_are_asked_for_within_a_budget():
    fleet = Fleet(agents=30)
    opened = [fleet.open(number) for number in range(120)]
    for number in range(30):
        fleet.kill(node("agent", number))
        fleet.start_agent(node("agent", number))
    fleet.run(1.0)
    before = fleet.world.passes
    for step in range(10):
        for flow_id in opened:
            fleet.data(flow_id, seq=300 + 50 * step)
        fleet.run(0.4)
    assert all(fleet.answer_count(flow_id) > 1 for flow_id in opened)
    assert all(
        fleet.packet_count(flow_id, Flag.RST) == 0 for flow_id in opened
    )
    each = QUESTIONS_AT_ONCE + 4.0 * QUESTIONS_PER_S
    assert fleet.world.passes - before <= 30 * each


def test_a_storm_of_packets_of_unknown_flows_is_bounded():
    fleet = Fleet(agents=20)
    for number in range(20):
        fleet.kill(node("agent", number))
        fleet.start_agent(node("agent", number))
    fleet.run(1.0)
    before = fleet.world.passes
    for number in range(2_000):
        fleet.data(flow(number))
    fleet.run(0.2)
    asked = fleet.world.passes - before - 2_000
    assert asked <= 20 * (QUESTIONS_AT_ONCE + 0.2 * QUESTIONS_PER_S)

from medlar_core.events import StopAsked
from medlar_core.packets import Flag
from medlar_core.relay.events import ServerLeft
from medlar_core.relay.messages import AgentState

from .kit import AGENTS
from .kit import DESK
from .kit import Fleet
from .kit import flow
from .kit import node
from .kit import OFFICE
from .kit import table


def test_agents_stay_members_while_the_store_is_away_and_leases_lapse():
    fleet = Fleet()
    fleet.world.store.down = True
    fleet.run(30.0)
    opened = [fleet.open(number, by=number % 3) for number in range(12)]
    assert all(fleet.answer_count(flow_id) == 1 for flow_id in opened)


def test_entries_are_back_two_seconds_after_the_store():
    fleet = Fleet()
    store = fleet.world.store
    store.down = True
    fleet.run(30.0)
    for number in range(4):
        store.items.pop(AGENTS + node("agent", number))
    store._leases.clear()
    store.down = False
    fleet.run(2.0)
    for number in range(4):
        assert AGENTS + node("agent", number) in store.items


def test_a_revoked_entry_is_written_again():
    fleet = Fleet()
    for number in range(4):
        fleet.delete(AGENTS + node("agent", number))
    fleet.run(2.0)
    for number in range(4):
        assert AGENTS + node("agent", number) in fleet.world.store.items


def test_a_dead_agent_is_gone_once_its_entry_is():
    fleet = Fleet()
    where = node("agent", 0)
    fleet.kill(where)
    del fleet.announcements[where]
    fleet.run(15.0)
    for balancer in fleet.balancers.values():
        assert where not in balancer.members.agents
    fleet.data(flow(7))
    fleet.run(0.2)
    assert fleet.packet_count(flow(7), Flag.RST) == 1


def test_an_agent_that_never_had_an_entry_is_gone_soon_after_its_end():
    fleet = Fleet()
    where = node("agent", 9)
    fleet.start_agent(where, seeds=(node("balancer", 0),))
    fleet.run(1.0)
    assert where in fleet.agents[node("agent", 0)].members.agents
    fleet.kill(where)
    fleet.run(8.0)
    for number in range(4):
        assert where not in fleet.agents[node("agent", number)].members.agents


def test_a_balancer_cut_from_the_store_knows_new_agents():
    fleet = Fleet()
    fleet.world.storeless.add(node("balancer", 2))
    where = node("agent", 8)
    fleet.start_server(where)
    fleet.start_agent(where)
    fleet.run(2.5)
    assert where in fleet.balancers[node("balancer", 2)].members.agents


def test_processes_that_start_without_the_store_learn_from_seeds():
    fleet = Fleet()
    fleet.world.store.down = True
    seeds = (node("balancer", 0),)
    fleet.start_balancer(node("balancer", 5), seeds)
    where = node("agent", 8)
    fleet.start_server(where)
    fleet.start_agent(where, seeds=seeds)
    fleet.run(3.0)
    late = fleet.balancers[node("balancer", 5)]
    assert late.routes.version == 1
    assert len(late.members.agents) == 5
    assert late.is_ready


def test_an_address_that_another_service_took_over_gets_no_old_flow():
    fleet = Fleet()
    where = node("agent", 0)
    stale = fleet.balancers[node("balancer", 0)]
    fleet.kill(where)
    fleet.start_server(where, OFFICE)
    fleet.start_agent(where, OFFICE)
    fleet.world.away.update(node("balancer", number) for number in range(1, 3))
    assert stale.members.agents[where].report.service == DESK
    for number in range(40):
        fleet.syn(flow(number))
    fleet.run(0.01)
    assert fleet.world.servers[where].taken == []


def test_a_late_announcement_of_an_earlier_server_is_passed_over():
    fleet = Fleet()
    where = node("agent", 0)
    old = fleet.announcements[where]
    fleet.start_server(where)
    fleet.run(1.5)
    fleet.world.give(where, old)
    server = fleet.agents[where].neighbour.server
    assert server is not None
    assert server.name == fleet.announcements[where].server


def test_a_server_that_stops_announcing_itself_is_down():
    fleet = Fleet()
    where = node("agent", 0)
    del fleet.announcements[where]
    fleet.run(4.5)
    found = fleet.balancers[node("balancer", 0)].members.agents[where]
    assert found.report.state is AgentState.DOWN


def test_an_agent_that_stood_still_does_not_hold_its_server_dead():
    fleet = Fleet()
    where = node("agent", 0)
    fleet.run(0.3)
    fleet.world.away.add(where)
    fleet.run(5.0)
    fleet.world.away.clear()
    fleet.run(0.15)
    now = fleet.world.clock.now
    assert fleet.agents[where].report(now).state is AgentState.READY


def test_a_balancer_that_hears_no_agent_is_not_ready():
    fleet = Fleet()
    balancer = fleet.balancers[node("balancer", 0)]
    assert balancer.is_ready
    fleet.world.away.update(node("agent", n) for n in range(4))
    fleet.run(1.5)
    assert not balancer.is_ready


def test_a_balancer_that_stops_is_not_ready_and_forwards_on():
    fleet = Fleet()
    where = node("balancer", 0)
    fleet.world.give(where, StopAsked())
    assert not fleet.balancers[where].is_ready
    opened = fleet.open(1, by=0)
    assert fleet.answer_count(opened) == 1


def test_a_newer_configuration_is_in_force_everywhere_in_a_second():
    fleet = Fleet()
    fleet.configure(table(2, DESK, OFFICE))
    fleet.run(1.0)
    for balancer in fleet.balancers.values():
        assert balancer.routes.version == 2


def test_a_balancer_cut_from_the_store_hears_the_configuration_of_others():
    fleet = Fleet()
    fleet.world.storeless.add(node("balancer", 1))
    fleet.run(11.0)
    fleet.configure(table(2, DESK, OFFICE))
    fleet.run(2.0)
    assert fleet.balancers[node("balancer", 1)].routes.version == 2


def test_a_watch_that_hangs_hides_no_configuration_for_long():
    fleet = Fleet()
    fleet.run(0.5)
    fleet.world.store._waiting.clear()
    fleet.configure(table(2, DESK, OFFICE))
    fleet.run(4.0)
    for balancer in fleet.balancers.values():
        assert balancer.routes.version == 2


def test_others_follow_the_store_for_balancers_cut_from_it():
    fleet = Fleet(balancers=6)
    fleet.run(5.0)
    first = sorted(fleet.balancers)[:3]
    fleet.world.storeless.update(first)
    fleet.run(7.0)
    fleet.configure(table(2, DESK, OFFICE))
    fleet.run(1.5)
    for balancer in fleet.balancers.values():
        assert balancer.routes.version == 2


def test_few_balancers_follow_the_store():
    fleet = Fleet(balancers=9)
    store = fleet.world.store
    fleet.run(5.0)
    before = sum(n for (_, kind), n in store.calls.items() if kind == "read")
    fleet.run(20.0)
    after = sum(n for (_, kind), n in store.calls.items() if kind == "read")
    assert after - before <= 20.0 / 2.0 * 3 + 6


def test_an_older_configuration_never_returns():
    fleet = Fleet()
    fleet.configure(table(5, DESK))
    fleet.run(1.0)
    fleet.configure(table(4, DESK, OFFICE))
    fleet.run(2.0)
    for balancer in fleet.balancers.values():
        assert balancer.routes.version == 5


def test_an_unreadable_configuration_leaves_the_last_in_force():
    fleet = Fleet()
    fleet.write("conf", "{")
    fleet.run(1.0)
    assert fleet.answer_count(fleet.open(1)) == 1
    assert any(e.reason == "unreadable" for e in fleet.world.events)


def test_an_unreadable_entry_names_no_agent_and_harms_no_other():
    fleet = Fleet()
    fleet.write(AGENTS + "10.9.9.9:1", "\ufffd{")
    fleet.write(AGENTS + "10.9.9.8:1", '["a",1,2]')
    fleet.run(2.0)
    fresh = fleet.start_balancer(node("balancer", 6))
    fleet.run(2.0)
    assert len(fresh.members.agents) == 4
    told = [e.text for e in fleet.world.events if e.reason == "unreadable"]
    assert any("10.9.9.9:1 is no valid agent report" in text for text in told)


def test_a_dropped_route_takes_no_new_flow_and_keeps_none_waiting():
    fleet = Fleet()
    fleet.configure(table(2))
    fleet.run(1.0)
    fleet.syn(flow(1))
    assert fleet.packet_count(flow(1), Flag.RST) == 1


def test_an_unknown_address_is_not_refused_by_a_balancer_out_of_touch():
    fleet = Fleet(balancers=1)
    fleet.world.store.down = True
    fleet.run(30.0)
    unknown = flow(1, port=9999)
    fleet.syn(unknown)
    assert fleet.packet_count(unknown, Flag.RST) == 0


def test_many_agents_are_fresh_though_each_reports_seldom():
    fleet = Fleet(agents=60, balancers=3)
    fleet.run(3.0)
    opened = [fleet.open(number, by=number % 3) for number in range(60)]
    assert all(fleet.answer_count(flow_id) == 1 for flow_id in opened)
    counts = [len(s.taken) for s in fleet.world.servers.values()]
    assert max(counts) <= 4


def test_agents_of_a_large_service_know_all_members():
    fleet = Fleet(agents=60, balancers=3)
    fleet.run(8.0)
    fleet.data(flow(7))
    fleet.run(0.2)
    assert fleet.packet_count(flow(7), Flag.RST) == 1


def test_a_new_server_beside_an_agent_whose_server_had_left_is_known():
    fleet = Fleet(agents=2)
    for number in range(2):
        where = node("agent", number)
        left = fleet.announcements.pop(where)
        fleet.world.give(where, ServerLeft(left.server, left.born_ms))
    fleet.run(3.0)
    for number in range(2):
        fleet.start_server(node("agent", number))
    fleet.run(3.0)
    for number in range(6):
        opened = fleet.open(number, by=number % 3)
        assert fleet.answer_count(opened) == 1


def test_a_balancer_that_stood_still_knows_its_agents_again():
    fleet = Fleet()
    where = node("balancer", 2)
    balancer = fleet.balancers[where]
    for member in balancer.members.agents:
        balancer.members.mark_unregistered(fleet.world.clock.now, member)
    fleet.world.away.add(where)
    fleet.run(4.0)
    fleet.world.away.discard(where)
    fleet.run(1.0)
    assert len(balancer.members.agents) == 4

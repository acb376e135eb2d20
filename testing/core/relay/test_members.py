from medlar_core.events import Received
from medlar_core.events import StopAsked
from medlar_core.packets import Flag
from medlar_core.relay.events import ServerLeft
from medlar_core.relay.messages import AgentState
from medlar_core.relay.messages import MembersAsked

from .kit import AGENTS
from .kit import CONFIGURATION
from .kit import DESK
from .kit import Fleet
from .kit import flow
from .kit import node
from .kit import OFFICE
from .kit import table


def test_agents_stay_members_in_a_store_outage_that_outlasts_the_leases():
    fleet = Fleet()
    fleet.world.store.down = True
    fleet.run(30.0)
    opened = [fleet.open(number, by=number % 3) for number in range(12)]
    assert all(fleet.answer_count(flow_id) == 1 for flow_id in opened)


def test_expired_entries_are_rewritten_two_seconds_after_a_store_outage():
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


def test_a_deleted_entry_is_written_again():
    fleet = Fleet()
    for number in range(4):
        fleet.delete(AGENTS + node("agent", number))
    fleet.run(2.0)
    for number in range(4):
        assert AGENTS + node("agent", number) in fleet.world.store.items


def test_a_balancer_that_cannot_reach_the_store_learns_of_new_agents():
    fleet = Fleet()
    fleet.world.without_store.add(node("balancer", 2))
    address = node("agent", 8)
    fleet.start_server(address)
    fleet.start_agent(address)
    fleet.run(2.5)
    assert address in fleet.balancers[node("balancer", 2)].members.agents


def test_processes_that_start_without_the_store_learn_members_from_seeds():
    fleet = Fleet()
    fleet.world.store.down = True
    seeds = (node("balancer", 0),)
    fleet.start_balancer(node("balancer", 5), seeds)
    address = node("agent", 8)
    fleet.start_server(address)
    fleet.start_agent(address, seeds=seeds)
    fleet.run(3.0)
    balancer = fleet.balancers[node("balancer", 5)]
    assert balancer.routes.version == 1
    assert len(balancer.members.agents) == 5
    assert balancer.is_ready


def test_an_address_reused_by_another_service_gets_no_flow_of_the_old_one():
    fleet = Fleet()
    address = node("agent", 0)
    stale = fleet.balancers[node("balancer", 0)]
    fleet.kill(address)
    fleet.start_server(address, OFFICE)
    fleet.start_agent(address, OFFICE)
    fleet.world.paused.update(
        node("balancer", number) for number in range(1, 3)
    )
    assert stale.members.agents[address].report.service == DESK
    for number in range(40):
        fleet.syn(flow(number))
    fleet.run(0.01)
    assert fleet.world.servers[address].accepted == []


def test_a_delayed_announcement_of_an_earlier_server_is_ignored():
    fleet = Fleet()
    address = node("agent", 0)
    old = fleet.announcements[address]
    fleet.start_server(address)
    fleet.run(1.5)
    fleet.world.dispatch(address, old)
    server = fleet.agents[address].local_server.server
    assert server is not None
    assert server.name == fleet.announcements[address].server


def test_a_server_that_stops_announcing_itself_is_reported_down():
    fleet = Fleet()
    address = node("agent", 0)
    del fleet.announcements[address]
    fleet.run(4.5)
    found = fleet.balancers[node("balancer", 0)].members.agents[address]
    assert found.report.state is AgentState.DOWN


def test_an_agent_that_was_paused_does_not_report_its_server_down():
    fleet = Fleet()
    address = node("agent", 0)
    fleet.run(0.3)
    fleet.world.paused.add(address)
    fleet.run(5.0)
    fleet.world.paused.clear()
    fleet.run(0.15)
    now = fleet.world.clock.now
    assert fleet.agents[address].report(now).state is AgentState.READY


def test_a_balancer_that_receives_no_reports_is_not_ready():
    fleet = Fleet()
    balancer = fleet.balancers[node("balancer", 0)]
    assert balancer.is_ready
    fleet.world.paused.update(node("agent", n) for n in range(4))
    fleet.run(1.5)
    assert not balancer.is_ready


def test_a_stopping_balancer_is_not_ready_but_still_forwards():
    fleet = Fleet()
    address = node("balancer", 0)
    fleet.world.dispatch(address, StopAsked())
    assert not fleet.balancers[address].is_ready
    opened = fleet.open(1, by=0)
    assert fleet.answer_count(opened) == 1


def test_a_newer_configuration_is_in_force_everywhere_within_a_second():
    fleet = Fleet()
    fleet.configure(table(2, DESK, OFFICE))
    fleet.run(1.0)
    for balancer in fleet.balancers.values():
        assert balancer.routes.version == 2


def test_a_balancer_that_cannot_reach_the_store_gets_routes_from_peers():
    fleet = Fleet()
    fleet.world.without_store.add(node("balancer", 1))
    fleet.run(11.0)
    fleet.configure(table(2, DESK, OFFICE))
    fleet.run(2.0)
    assert fleet.balancers[node("balancer", 1)].routes.version == 2


def test_a_watch_without_an_answer_delays_a_configuration_only_briefly():
    fleet = Fleet()
    fleet.run(0.5)
    # The store loses the pending watches and never answers them.
    fleet.world.store._watches.clear()
    fleet.configure(table(2, DESK, OFFICE))
    fleet.run(4.0)
    for balancer in fleet.balancers.values():
        assert balancer.routes.version == 2


def test_other_balancers_replace_watchers_that_cannot_reach_the_store():
    fleet = Fleet(balancers=6)
    fleet.run(5.0)
    watchers = sorted(fleet.balancers)[:3]
    fleet.world.without_store.update(watchers)
    fleet.run(7.0)
    fleet.configure(table(2, DESK, OFFICE))
    fleet.run(1.5)
    for balancer in fleet.balancers.values():
        assert balancer.routes.version == 2


def test_only_three_balancers_watch_the_store():
    fleet = Fleet(balancers=9)
    store = fleet.world.store
    fleet.run(5.0)
    before = sum(n for (_, kind), n in store.calls.items() if kind == "read")
    fleet.run(20.0)
    after = sum(n for (_, kind), n in store.calls.items() if kind == "read")
    # Three balancers poll every 2 s; 6 reads are left for the rest.
    assert after - before <= 20.0 / 2.0 * 3 + 6


def test_an_older_configuration_is_ignored():
    fleet = Fleet()
    fleet.configure(table(5, DESK))
    fleet.run(1.0)
    fleet.configure(table(4, DESK, OFFICE))
    fleet.run(2.0)
    for balancer in fleet.balancers.values():
        assert balancer.routes.version == 5


def test_an_invalid_configuration_leaves_the_last_one_in_force():
    fleet = Fleet()
    fleet.write(CONFIGURATION, "{")
    fleet.run(1.0)
    assert fleet.answer_count(fleet.open(1)) == 1
    assert any(e.reason == "unreadable" for e in fleet.world.events)


def test_an_invalid_entry_is_ignored_and_affects_no_other():
    fleet = Fleet()
    fleet.write(AGENTS + "10.9.9.9:1", "\ufffd{")
    fleet.write(AGENTS + "10.9.9.8:1", '["a",1,2]')
    fleet.run(2.0)
    balancer = fleet.start_balancer(node("balancer", 6))
    fleet.run(2.0)
    assert len(balancer.members.agents) == 4
    texts = [e.text for e in fleet.world.events if e.reason == "unreadable"]
    assert any("10.9.9.9:1 is no valid agent report" in text for text in texts)


def test_a_new_flow_to_a_removed_route_is_reset_at_once():
    fleet = Fleet()
    fleet.configure(table(2))
    fleet.run(1.0)
    fleet.syn(flow(1))
    assert fleet.packet_count(flow(1), Flag.RST) == 1


def test_an_unknown_address_is_not_reset_if_the_configuration_may_be_stale():
    fleet = Fleet(balancers=1)
    fleet.world.store.down = True
    fleet.run(30.0)
    unknown = flow(1, port=9999)
    fleet.syn(unknown)
    assert fleet.packet_count(unknown, Flag.RST) == 0


def test_agents_of_a_large_service_share_flows_though_each_reports_rarely():
    fleet = Fleet(agents=60, balancers=3)
    fleet.run(3.0)
    opened = [fleet.open(number, by=number % 3) for number in range(60)]
    assert all(fleet.answer_count(flow_id) == 1 for flow_id in opened)
    counts = [len(s.accepted) for s in fleet.world.servers.values()]
    assert max(counts) <= 4


def test_agents_of_a_large_service_know_all_members():
    fleet = Fleet(agents=60, balancers=3)
    fleet.run(8.0)
    # An unknown flow is reset only if the agent knows all members.
    fleet.data(flow(7))
    fleet.run(0.2)
    assert fleet.packet_count(flow(7), Flag.RST) == 1


def test_a_new_server_replaces_one_that_announced_its_end():
    fleet = Fleet(agents=2)
    for number in range(2):
        address = node("agent", number)
        left = fleet.announcements.pop(address)
        fleet.world.dispatch(address, ServerLeft(left.server, left.born_ms))
    fleet.run(3.0)
    for number in range(2):
        fleet.start_server(node("agent", number))
    fleet.run(3.0)
    for number in range(6):
        opened = fleet.open(number, by=number % 3)
        assert fleet.answer_count(opened) == 1


def test_the_reply_to_an_agent_that_asks_names_all_members():
    fleet = Fleet(agents=60)
    asker, asked = node("agent", 0), node("balancer", 0)
    effects = fleet.balancers[asked].reduce(
        fleet.world.clock.now, Received(asker, MembersAsked(DESK))
    )
    named = {report.id for effect in effects for report in effect.msg.agents}
    assert named == set(fleet.agents)

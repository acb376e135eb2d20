"""Agents removed by mistake, or while their servers still run."""

from .kit import AGENTS
from .kit import DESK
from .kit import Fleet
from .kit import flow
from .kit import FLOW_IDLE_S
from .kit import LEASE_AND_REMOVAL_S
from .kit import LONG_IDLE_S
from .kit import node


def test_flows_of_an_agent_removed_by_mistake_are_not_reset():
    fleet = Fleet()
    address = node("agent", 2)
    held = fleet.flows_at(address)
    fleet.world.paused.add(address)
    fleet.run(LEASE_AND_REMOVAL_S)
    fleet.world.paused.clear()
    fleet.run(0.5)
    fleet.add_agents(range(10, 20))
    fleet.run(1.5)
    for flow_id in held:
        fleet.data(flow_id, by=1, seq=500)
    fleet.run(0.5)
    assert held
    assert fleet.reset_count(held) == 0
    assert all(fleet.answer_count(flow_id) == 2 for flow_id in held)


def test_an_agent_removed_by_mistake_gets_new_flows_again():
    fleet = Fleet(agents=1)
    address = node("agent", 0)
    fleet.world.paused.add(address)
    fleet.run(LEASE_AND_REMOVAL_S)
    fleet.world.paused.clear()
    fleet.run(3.0)
    for balancer in fleet.balancers.values():
        assert address in balancer.members.agents


def test_a_new_agent_believes_the_reports_of_one_that_others_removed():
    fleet = Fleet()
    address = node("agent", 2)
    held = fleet.flows_at(address)
    fleet.remove_by_mistake(node("balancer", 2), address)
    fleet.add_agents(range(10, 20))
    fleet.run(5.0)
    for number in range(10, 20):
        members = fleet.agents[node("agent", number)].members
        assert address in members.agents
    for flow_id in held:
        fleet.data(flow_id, by=1, seq=500)
    fleet.run(0.5)
    assert fleet.reset_count(held) == 0


def test_flows_of_a_server_whose_agent_stopped_first_are_not_reset():
    fleet = Fleet()
    address = node("agent", 2)
    held = fleet.flows_at(address)
    fleet.drain(address)
    fleet.run(1.0)
    fleet.stop(address)
    fleet.add_agents(range(10, 20))
    fleet.run(LEASE_AND_REMOVAL_S)
    for flow_id in held:
        fleet.data(flow_id, by=1, seq=500)
    fleet.run(0.5)
    assert held
    assert fleet.reset_count(held) == 0


def test_unknown_flows_are_reset_again_after_a_lost_agents_flows_expired():
    fleet = Fleet()
    fleet.stop(node("agent", 2))
    fleet.run(LEASE_AND_REMOVAL_S + FLOW_IDLE_S)
    unknown = flow(99)
    fleet.data(unknown, by=1)
    fleet.run(0.5)
    assert fleet.reset_count([unknown]) == 1


def test_lost_agents_are_remembered_for_the_whole_idle_time():
    fleet = Fleet()
    fleet.route_to(2, {DESK: 1}, LONG_IDLE_S)
    address = node("agent", 2)
    held = fleet.flows_at(address)
    fleet.drain(address)
    fleet.stop(address)
    fleet.add_agents(range(10, 20))
    fleet.run(LONG_IDLE_S - 10.0)
    for flow_id in held:
        fleet.data(flow_id, by=1, seq=500)
    fleet.run(0.5)
    assert held
    assert fleet.reset_count(held) == 0


def test_a_lost_agent_is_known_to_agents_that_start_under_new_balancers():
    fleet = Fleet()
    fleet.route_to(2, {DESK: 1}, LONG_IDLE_S)
    address = node("agent", 2)
    held = fleet.flows_at(address)
    fleet.drain(address)
    fleet.stop(address)
    fleet.run(LEASE_AND_REMOVAL_S)
    for number in range(3):
        fleet.stop(node("balancer", number))
        fleet.start_balancer(node("balancer", 10 + number))
    fleet.run(3.0)
    fleet.add_agents(range(10, 20))
    fleet.run(4.0)
    for flow_id in held:
        fleet.data(flow_id, by=10, seq=500)
    fleet.run(0.5)
    assert held
    assert fleet.reset_count(held) == 0


def test_a_balancer_marks_no_agent_by_entries_that_it_read_long_ago():
    fleet = Fleet(balancers=4)
    fleet.run(25.0)
    address = node("agent", 10)
    fleet.add_agents([10])
    fleet.run(5.0)
    fleet.world.without_store.update(fleet.balancers)
    fleet.run(9.0)
    members = fleet.balancers[node("balancer", 3)].members
    assert AGENTS + address in fleet.world.store.items
    assert members.agents[address].unregistered_at is None


def test_a_registered_agent_stays_a_member_after_trouble_of_the_store():
    fleet = Fleet(balancers=4)
    fleet.run(25.0)
    address, deprived = node("agent", 10), node("balancer", 3)
    fleet.add_agents([10])
    fleet.run(5.0)
    fleet.world.without_store.update(fleet.balancers)
    fleet.run(9.0)
    fleet.world.without_store.intersection_update({deprived})
    fleet.run(6.0)
    fleet.world.without_store.clear()
    fleet.run(30.0)
    fleet.world.paused.add(address)
    fleet.run(4.0)
    assert AGENTS + address in fleet.world.store.items
    assert address in fleet.balancers[deprived].members.agents

"""Findings of the review of the fix of the FLOW incident."""

from .kit import AGENTS
from .kit import DESK
from .kit import Fleet
from .kit import node


def add_agents(fleet, numbers, service=DESK):
    for number in numbers:
        fleet.start_server(node("agent", number), service)
        fleet.start_agent(node("agent", number), service)


def test_a_balancer_marks_no_agent_by_entries_that_it_read_long_ago():
    fleet = Fleet(balancers=4)
    fleet.run(25.0)
    address = node("agent", 10)
    add_agents(fleet, [10])
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
    add_agents(fleet, [10])
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

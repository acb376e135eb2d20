"""Whether a balancer hears enough agents to forward packets."""

from .kit import Fleet
from .kit import node

AGENTS = 40
BALANCERS = 14
CUT_NOTICED_S = 2.0


def test_a_balancer_that_is_cut_off_from_all_agents_is_soon_not_ready():
    fleet = Fleet(agents=AGENTS, balancers=BALANCERS)
    fleet.run(10.0)
    address = node("balancer", 3)
    assert fleet.balancers[address].is_ready
    fleet.world.cut_links.update((agent, address) for agent in fleet.agents)
    fleet.run(CUT_NOTICED_S)
    assert not fleet.balancers[address].is_ready


def test_balancers_of_an_idle_fleet_stay_ready():
    fleet = Fleet(agents=AGENTS, balancers=BALANCERS)
    for _ in range(300):
        fleet.run(0.1)
        assert all(b.is_ready for b in fleet.balancers.values())

"""Control messages while all processes start at once, as after a power-off."""

from .kit import Fleet
from .wrappers import CountingReducer

START_S = 1.5
"""Time in which a fleet that starts anew is to know enough to serve."""
MAX_GROWTH = 1.2
"""Largest growth of what is sent to one process while the fleet doubles, for
each other process."""


def _restarted(agents, balancers):
    """Restart a fleet; return its agents, which counted messages."""
    fleet = Fleet(agents=agents, balancers=balancers)

    def count_new_nodes():
        nodes = fleet.world.nodes
        for address, reducer in list(nodes.items()):
            if not isinstance(reducer, CountingReducer):
                nodes[address] = CountingReducer(reducer)
        fleet.world.clock.after(0.001, count_new_nodes)

    count_new_nodes()
    fleet.restart_all()
    fleet.run(START_S)
    return [fleet.world.nodes[address] for address in fleet.agents]


def _named_reports_per_agent(agents, balancers):
    restarted = _restarted(agents, balancers)
    return max(node.named_reports for node in restarted) / agents


def _messages_per_peer(agents, balancers):
    restarted = _restarted(agents, balancers)
    peers = agents + balancers - 1
    return max(node.received for node in restarted) / peers


def test_an_agent_is_not_told_all_members_by_each_balancer():
    small = _named_reports_per_agent(24, 8)
    large = _named_reports_per_agent(48, 16)
    assert large <= MAX_GROWTH * small


def test_messages_from_one_peer_do_not_grow_with_the_fleet():
    small = _messages_per_peer(24, 8)
    large = _messages_per_peer(48, 16)
    assert large <= MAX_GROWTH * small


def test_all_agents_know_all_members_after_a_restart():
    for node in _restarted(48, 16):
        assert len(node.reducer.members.agents) == 47

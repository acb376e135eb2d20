"""When an agent counts as silent, and when it is removed."""

import pytest

from medlar_core.effects import Send
from medlar_core.ids import Seconds
from medlar_core.packets import Flag
from medlar_core.relay.events import ServerLeft
from medlar_core.relay.member import Member
from medlar_core.relay.member import SILENT_REPORTS
from medlar_core.relay.member import SILENT_S
from medlar_core.relay.messages import AgentReport
from medlar_core.relay.messages import AgentState
from medlar_core.store import Watch

from .kit import AGENTS
from .kit import DESK
from .kit import Fleet
from .kit import flow
from .kit import MEMBERS
from .kit import node
from .kit import PLACE


def test_a_dead_agent_is_removed_after_its_lease_expires():
    fleet = Fleet()
    address = node("agent", 0)
    fleet.kill(address)
    del fleet.announcements[address]
    fleet.run(15.0)
    for balancer in fleet.balancers.values():
        assert address not in balancer.members.agents
    fleet.data(flow(7))
    fleet.run(0.2)
    assert fleet.packet_count(flow(7), Flag.RST) == 1


def test_an_agent_without_an_entry_is_removed_soon_after_it_stops():
    fleet = Fleet()
    address = node("agent", 9)
    fleet.start_agent(address, seeds=(node("balancer", 0),))
    fleet.run(1.0)
    assert address in fleet.agents[node("agent", 0)].members.agents
    fleet.kill(address)
    fleet.run(8.0)
    for number in range(4):
        assert (
            address not in fleet.agents[node("agent", number)].members.agents
        )


def test_a_balancer_that_was_paused_keeps_its_agents():
    fleet = Fleet()
    address = node("balancer", 2)
    balancer = fleet.balancers[address]
    for member in balancer.members.agents:
        balancer.members.mark_unregistered(fleet.world.clock.now, member)
    fleet.world.paused.add(address)
    fleet.run(4.0)
    fleet.world.paused.discard(address)
    fleet.run(1.0)
    assert len(balancer.members.agents) == 4


@pytest.mark.parametrize(
    ("ended", "cause"),
    [(True, "its server ended"), (False, "it stopped reporting")],
)
def test_each_process_logs_why_it_removed_an_agent(ended, cause):
    fleet = Fleet(agents=3)
    address = node("agent", 2)
    if ended:
        left = fleet.announcements.pop(address)
        fleet.world.dispatch(address, ServerLeft(left.server, left.born_ms))
    else:
        fleet.kill(address)
    fleet.run(16.0)
    texts = [
        event.text
        for event in fleet.world.events
        if event.server == address and "agent removed" in event.text
    ]
    assert len(texts) == 5
    assert f"members: agent removed, {cause}" in texts


def test_a_registered_agent_that_one_balancer_does_not_hear_stays():
    fleet = Fleet(balancers=4)
    agent, last = node("agent", 0), node("balancer", 3)
    others = [address for address in fleet.balancers if address != last]
    fleet.world.without_store.update(others)
    fleet.run(12.0)  # the last balancer watches the store in their place
    fleet.world.without_store = {last}
    fleet.delete(AGENTS + agent)
    fleet.run(20.0)
    fleet.world.without_store.clear()
    fleet.run(5.0)
    assert AGENTS + agent in fleet.world.store.items
    fleet.world.cut_links.add((agent, last))
    fleet.run(4.0)
    assert agent in fleet.balancers[last].members.agents


def test_a_balancer_that_watches_again_reads_the_entries_before_it_marks():
    fleet = Fleet(balancers=4)
    fleet.run(25.0)
    address, last = node("agent", 10), node("balancer", 3)
    fleet.start_server(address)
    fleet.start_agent(address)
    fleet.run(5.0)
    marked = []
    members = fleet.balancers[last].members
    members.mark_unregistered = lambda now, agent: marked.append(agent)
    others = [node("balancer", number) for number in range(3)]
    fleet.world.without_store.update(others)
    hang_watches_of(fleet.world.store, MEMBERS)
    fleet.run(12.0)
    assert AGENTS + address in fleet.world.store.items
    assert marked == []


def hang_watches_of(store, prefix):
    """Let the store answer no further watches of a prefix."""
    call = store.call

    def hanging_call(op, answered):
        if not isinstance(op, Watch) or op.prefix != prefix:
            call(op, answered)

    store.call = hanging_call


@pytest.mark.parametrize("period_s", [0.0, 0.1, 0.2, 0.25, 0.86])
def test_a_member_is_silent_after_its_limit_or_some_periods(period_s):
    report = AgentReport(
        node("agent", 1),
        PLACE,
        DESK,
        1,
        1,
        AgentState.READY,
        period_s=period_s,
    )
    limit_s = max(SILENT_S, SILENT_REPORTS * period_s)
    member = Member(report, last_report_at=5.0)
    assert not member.is_silent(Seconds(5.0 + 0.999 * limit_s))
    assert member.is_silent(Seconds(5.0 + 1.001 * limit_s))


class BalancerBehindSlowLink:
    """A balancer whose link loses all but the start of a burst."""

    def __init__(self, balancer, burst):
        self.members = balancer.members
        self._balancer = balancer
        self._burst = burst

    def reduce(self, now, event):
        effects = self._balancer.reduce(now, event)
        sends = [e for e in effects if isinstance(e, Send)]
        others = [e for e in effects if not isinstance(e, Send)]
        return [*others, *sends[: self._burst]]


def test_a_balancer_behind_a_slow_link_hears_all_agents():
    fleet = Fleet(agents=60, balancers=4)
    address = node("balancer", 3)
    balancer = BalancerBehindSlowLink(fleet.balancers[address], 45)
    fleet.world.nodes[address] = balancer
    silent = set()
    for _ in range(450):
        fleet.run(0.1)
        silent |= {
            member.report.id
            for member in balancer.members.agents.values()
            if member.is_silent(fleet.world.clock.now, 2.5)
        }
    assert silent == set()


def test_an_agent_that_was_cut_off_is_soon_not_silent_any_more():
    fleet = Fleet(agents=40)
    fleet.run(10.0)
    first, second = node("agent", 0), node("agent", 1)
    members = fleet.agents[first].members
    fleet.world.cut_links.add((second, first))
    members.request_report(fleet.world.clock.now, second)
    fleet.run(2.0)
    assert members.agents[second].is_silent(fleet.world.clock.now)
    fleet.world.cut_links.clear()
    fleet.run(1.5)
    assert not members.agents[second].is_silent(fleet.world.clock.now)


def test_an_agent_that_others_removed_by_mistake_is_soon_back():
    fleet = Fleet(agents=40, balancers=60)
    fleet.run(10.0)
    address = node("agent", 1)
    removers = [node("balancer", number) for number in range(30, 60)]
    for remover in removers:
        fleet.remove_by_mistake(remover, address)
    fleet.run(4.0)
    for remover in removers:
        assert address in fleet.balancers[remover].members.agents

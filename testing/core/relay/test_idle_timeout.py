"""Open flows while the idle timeout is raised and lowered."""

import pytest

from medlar_core.events import Received
from medlar_core.ids import Seconds
from medlar_core.packets import Flag
from medlar_core.relay.events import ServerAnnounced
from medlar_core.relay.events import ServerPhase
from medlar_core.relay.local_server import LocalServer
from medlar_core.relay.messages import FlowAsked
from medlar_core.relay.messages import FlowPacketAsked
from medlar_core.relay.messages import FlowUnknown

from .kit import DESK
from .kit import Fleet
from .kit import flow
from .kit import FLOW_IDLE_S
from .kit import forwarded
from .kit import LONG_IDLE_S
from .kit import node
from .wrappers import CountingReducer
from .wrappers import WithoutHellos

AGENTS_TOLD_S = 4.0
"""All agents have a hello message of each balancer after this."""


def hold_back_hellos(fleet):
    """Let no further hello message reach an agent."""
    for address, agent in fleet.agents.items():
        fleet.world.nodes[address] = WithoutHellos(agent)


def raise_late(fleet, count=20):
    """Return flows that idle while agents miss a raise of the timeout.

    They idle for longer than the former timeout allows, but no longer than
    the new one.
    """
    opened = [fleet.open(number, by=number % 3) for number in range(count)]
    fleet.run(FLOW_IDLE_S - 4.0)
    hold_back_hellos(fleet)
    fleet.route_to(2, {DESK: 1}, LONG_IDLE_S)
    fleet.run(6.0)
    return opened


def test_flows_dropped_by_an_outdated_idle_timeout_are_found_at_servers():
    """Guards against resets of open flows after a raise of the timeout."""
    fleet = Fleet()
    opened = raise_late(fleet)
    fleet.assert_answered(opened, by=1, wait_s=1.0)


def test_flows_dropped_before_a_restart_of_balancers_are_found():
    fleet = Fleet()
    opened = raise_late(fleet)
    for address in list(fleet.balancers):
        fleet.kill(address)
        fleet.start_balancer(address)
    fleet.run(1.0)
    fleet.assert_answered(opened, by=1, wait_s=1.0)


def test_flows_are_found_after_a_loss_of_all_processes():
    fleet = Fleet()
    opened = raise_late(fleet)
    for address in list(fleet.balancers):
        fleet.kill(address)
        fleet.start_balancer(address)
    for address in list(fleet.agents):
        fleet.kill(address)
        fleet.start_agent(address)
    fleet.run(1.0)
    fleet.assert_answered(opened, by=1, wait_s=1.0)


def test_flows_are_kept_when_the_timeout_is_lowered_and_raised_again():
    fleet = Fleet()
    fleet.route_to(2, {DESK: 1}, LONG_IDLE_S)
    fleet.run(AGENTS_TOLD_S)
    opened = [fleet.open(number, by=number % 3) for number in range(20)]
    fleet.route_to(3, {DESK: 1}, FLOW_IDLE_S)
    fleet.run(AGENTS_TOLD_S)
    hold_back_hellos(fleet)
    fleet.route_to(4, {DESK: 1}, LONG_IDLE_S)
    fleet.run(FLOW_IDLE_S)
    fleet.assert_answered(opened, by=1, wait_s=1.0)


def test_an_unknown_flow_is_reset_though_agents_have_dropped_flows():
    fleet = Fleet()
    raise_late(fleet)
    fleet.data(flow(100), by=1)
    fleet.run(0.1)
    assert fleet.reset_count([flow(100)]) == 1


@pytest.mark.parametrize(
    ("idle_s", "expected"), [(10.0, True), (25.0, False), (19.0, True)]
)
def test_dropped_flows_are_unknown_while_another_timeout_allows_them(
    idle_s, expected
):
    local = LocalServer(1.0, started_at=0.0)
    local.handle_announcement(
        Seconds(0.1),
        ServerAnnounced("s1", 1, 1, DESK, ServerPhase.READY, 1, 0.0, 0.1),
    )
    local.apply_idle(1, 10.0)
    local.record_dropped(10.0)
    local.server.announced_at = 30.0
    assert local.knows_all_flows(Seconds(30.0), idle_s) is expected


def test_an_agent_that_may_have_dropped_a_flow_asks_for_its_packet():
    fleet = Fleet()
    raise_late(fleet)
    address = node("agent", 1)
    counter = CountingReducer(fleet.agents[address])
    now = fleet.world.clock.now
    (reply,) = counter.reduce(
        now, Received(node("agent", 2), FlowAsked(flow(100), LONG_IDLE_S))
    )
    assert reply.msg == FlowPacketAsked(flow(100))
    assert fleet.packet_count(flow(100), Flag.RST) == 0


def test_a_late_denial_for_a_shorter_timeout_proves_nothing():
    fleet = Fleet()
    address = node("agent", 1)
    flow_id = flow(500)
    fleet.world.paused.update(fleet.balancers)
    fleet.world.paused.update(a for a in fleet.agents if a != address)
    agent = fleet.agents[address]
    fleet.world.dispatch(address, forwarded(flow_id))
    view = agent.members.view(DESK)
    for idle_s, expected in ((FLOW_IDLE_S - 1.0, 0), (FLOW_IDLE_S, 1)):
        denial = FlowUnknown(flow_id, view, idle_s)
        for other in agent.members.agents:
            fleet.world.dispatch(address, Received(other, denial))
        fleet.tell_scope(address, flow_id, 0.01)
        assert fleet.reset_count([flow_id]) == expected

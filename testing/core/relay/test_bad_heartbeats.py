"""Announcements that do not come from the local server."""

import pytest

from medlar_core.events import Received
from medlar_core.ids import ServiceName
from medlar_core.relay.events import ServerAnnounced
from medlar_core.relay.events import ServerPhase
from medlar_core.relay.messages import Hello

from .kit import ANNOUNCE_INTERVAL_S
from .kit import DESK
from .kit import Fleet
from .kit import forwarded
from .kit import node
from .kit import OFFICE
from .kit import PLACE

FORGED_AT = node("agent", 1)


def announce(fleet, service, born_ms=9_000_000, server="other"):
    """Announce a server that does not run at the address of an agent."""
    event = ServerAnnounced(
        server, born_ms, 1_000, service, ServerPhase.READY, 1, 0.0, 0.0
    )
    fleet.world.dispatch(FORGED_AT, event)


def assert_kept(fleet, opened):
    for number, flow_id in enumerate(opened):
        fleet.data(flow_id, by=number % 3, seq=500)
    fleet.run(0.5)
    assert fleet.reset_count(opened) == 0
    assert all(fleet.answer_count(flow_id) == 2 for flow_id in opened)


@pytest.mark.parametrize("is_same_server", [False, True])
def test_an_announcement_of_an_unknown_service_resets_no_flow(is_same_server):
    """Guards against resets of all flows of a server that lives."""
    fleet = Fleet()
    opened = fleet.flows_at(FORGED_AT, 20)
    known = fleet.agents[FORGED_AT].local_server.server
    if is_same_server:
        announce(fleet, ServiceName("none"), known.born_ms, known.name)
    else:
        announce(fleet, ServiceName("none"))
    fleet.run(ANNOUNCE_INTERVAL_S)
    reports = {
        b.members.agents[FORGED_AT].report for b in fleet.balancers.values()
    }
    assert {report.service for report in reports} == {DESK}
    assert_kept(fleet, opened)


def test_a_server_of_a_known_service_takes_over_at_once():
    fleet = Fleet()
    fleet.add_agents([10], OFFICE)
    fleet.run(3.0)
    opened = fleet.flows_at(FORGED_AT, 20)
    fleet.start_server(FORGED_AT, OFFICE)
    fleet.run(ANNOUNCE_INTERVAL_S + 0.1)
    assert fleet.agents[FORGED_AT].report(fleet.world.clock.now).service == (
        OFFICE
    )
    assert fleet.reset_count(opened) == len(opened)


def test_a_server_of_a_new_service_takes_over_once_the_old_one_is_silent():
    fleet = Fleet()
    fleet.start_server(FORGED_AT, ServiceName("new"))
    fleet.run(6 * ANNOUNCE_INTERVAL_S)
    report = fleet.agents[FORGED_AT].report(fleet.world.clock.now)
    assert report.service == "new"


def test_the_number_of_agents_of_another_service_proves_nothing():
    fleet = Fleet()
    fleet.add_agents([20], OFFICE)
    fleet.run(3.0)
    (flow_id, *_) = fleet.flows_at(node("agent", 2))
    fleet.world.paused.update(fleet.balancers)
    newcomer = node("agent", 10)
    fleet.add_agents([10])
    balancer = node("balancer", 0)
    report = fleet.agents[node("agent", 20)].report(fleet.world.clock.now)
    hello = Hello(balancer, PLACE, 1, (report,), service_size=1)
    fleet.world.dispatch(newcomer, Received(balancer, hello))
    fleet.run(0.5)
    fleet.world.dispatch(newcomer, forwarded(flow_id))
    fleet.tell_scope(newcomer, flow_id)
    assert fleet.reset_count([flow_id]) == 0

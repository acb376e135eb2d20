"""What has to be known before a flow is reset, where a process lags behind."""

import random

import pytest

from medlar_core.events import Received
from medlar_core.relay.configuration.scope_store import READ_VALID_S
from medlar_core.relay.events import ServerLeft
from medlar_core.relay.messages import FlowHeld
from medlar_core.relay.messages import ScopeAsked
from medlar_core.relay.messages import ScopeTold
from medlar_core.relay.scope import FlowScope
from medlar_core.relay.scope import ServiceOwner

from .kit import DESK
from .kit import Fleet
from .kit import flow
from .kit import FLOW_IDLE_S
from .kit import forwarded
from .kit import node
from .kit import OFFICE
from .kit import one_route
from .kit import RECORD
from .wrappers import CountingReducer
from .wrappers import LossyReducer
from .wrappers import WithoutHellos

LAGGING = 4
"""A balancer that does not watch the store."""
STORE_LOST_S = 5.0
"""The balancers take the store for lost after this."""


def two_services():
    """Return a fleet with agents of a second service, and five balancers."""
    fleet = Fleet(balancers=5)
    fleet.add_agents(range(10, 14), OFFICE)
    fleet.run(3.0)
    return fleet


def version(fleet, number):
    return fleet.balancers[node("balancer", number)].routes.version


def configure_quickly(fleet):
    """Put two versions in force so that one balancer lags behind."""
    fleet.configure(one_route(2, {DESK: 1}))
    fleet.run(0.1)
    fleet.world.without_fetches.add(node("balancer", LAGGING))
    fleet.configure(one_route(3, {OFFICE: 1}))
    while version(fleet, 0) < 3:
        fleet.run(0.01)


def open_at_office(fleet, count=20):
    opened = [fleet.open(number, by=0) for number in range(count)]
    assert {fleet.services[fleet.holder(f)] for f in opened} == {OFFICE}
    return opened


def test_flows_of_a_newer_version_are_found_through_a_balancer_that_lags():
    """Guards against resets by a balancer that lacks the newest version."""
    fleet = two_services()
    configure_quickly(fleet)
    opened = open_at_office(fleet, 3)
    assert version(fleet, LAGGING) < 3
    fleet.assert_answered(opened, LAGGING, wait_s=0.2)


def test_flows_are_found_through_a_balancer_that_hears_nobody():
    fleet = two_services()
    address = node("balancer", LAGGING)
    fleet.world.nodes[address] = WithoutHellos(fleet.balancers[address])
    fleet.route_to(2, {OFFICE: 1})
    assert version(fleet, LAGGING) == 1
    opened = open_at_office(fleet)
    fleet.assert_answered(opened, LAGGING, wait_s=1.0)


def test_flows_are_found_through_a_lagging_balancer_without_the_store():
    fleet = two_services()
    address = node("balancer", LAGGING)
    fleet.world.without_store.add(address)
    fleet.world.nodes[address] = WithoutHellos(fleet.balancers[address])
    fleet.route_to(2, {OFFICE: 1})
    opened = open_at_office(fleet)
    fleet.assert_answered(opened, LAGGING, wait_s=2.0)


def test_flows_are_found_after_a_balancer_was_frozen_during_a_change():
    fleet = two_services()
    address = node("balancer", 0)
    fleet.world.paused.add(address)
    fleet.route_to(2, {OFFICE: 1})
    opened = [fleet.open(number, by=1) for number in range(20)]
    fleet.world.paused.discard(address)
    assert version(fleet, 0) == 1
    fleet.assert_answered(opened, by=0, wait_s=1.0)


def test_flows_are_found_when_agents_and_balancers_restart_after_a_change():
    fleet = two_services()
    configure_quickly(fleet)
    opened = open_at_office(fleet)
    for address in [*fleet.agents, *fleet.balancers]:
        fleet.kill(address)
    for address, service in list(fleet.services.items()):
        fleet.start_agent(address, service)
    for address in list(fleet.balancers):
        fleet.start_balancer(address)
    fleet.run(1.0)
    fleet.assert_answered(opened, LAGGING, wait_s=1.0)


def test_an_unknown_flow_is_reset_soon():
    fleet = two_services()
    unknown = [flow(number) for number in range(100, 120)]
    for flow_id in unknown:
        fleet.data(flow_id, by=LAGGING)
    fleet.run(0.1)
    assert fleet.reset_count(unknown) == len(unknown)


def test_each_of_many_unknown_flows_is_reset_at_once():
    """Guards against resets that wait for a read of the store each."""
    fleet = two_services()
    for number in range(100, 160):
        fleet.data(flow(number), by=0)
        fleet.run(0.05)
        assert fleet.reset_count([flow(number)]) == 1


def test_a_service_that_was_just_recorded_is_not_used_yet():
    """Balancers that have read the record just before do not know it."""
    fleet = two_services()
    fleet.configure(one_route(2, {OFFICE: 1}))
    while OFFICE not in fleet.world.store.items[RECORD].value:
        fleet.run(0.01)
    fleet.run(READ_VALID_S - 0.05)
    assert {b.routes.version for b in fleet.balancers.values()} == {1}
    newcomer = node("balancer", 9)
    fleet.start_balancer(newcomer)
    fleet.run(0.2)
    assert fleet.balancers[newcomer].routes.version == 0
    fleet.run(1.5)
    assert {b.routes.version for b in fleet.balancers.values()} == {2}


def test_an_unknown_flow_is_reset_though_its_balancer_lacks_the_store():
    fleet = two_services()
    fleet.world.without_store.add(node("balancer", 0))
    fleet.data(flow(100), by=0)
    fleet.run(1.0)
    assert fleet.reset_count([flow(100)]) == 1


def test_an_unknown_flow_is_reset_though_the_store_is_down():
    fleet = two_services()
    fleet.world.store.down = True
    fleet.run(STORE_LOST_S)
    fleet.data(flow(100), by=0)
    fleet.run(0.5)
    assert fleet.reset_count([flow(100)]) == 1


def test_a_balancer_cut_off_from_all_resets_nothing_while_the_store_is_down():
    fleet = two_services()
    fleet.world.store.down = True
    address = node("balancer", LAGGING)
    fleet.world.nodes[address] = WithoutHellos(fleet.balancers[address])
    fleet.run(STORE_LOST_S)
    fleet.world.dispatch(
        address, Received(node("agent", 0), ScopeAsked(flow(100)))
    )
    told = CountingReducer(fleet.agents[node("agent", 0)])
    fleet.world.nodes[node("agent", 0)] = told
    fleet.run(1.0)
    assert told.scopes_told == 0


def test_a_scope_is_told_only_after_the_store_was_read_since():
    fleet = two_services()
    told = CountingReducer(fleet.agents[node("agent", 0)])
    fleet.world.nodes[node("agent", 0)] = told
    fleet.world.store.slow_s = 0.3
    asked = Received(node("agent", 0), ScopeAsked(flow(100)))
    fleet.world.dispatch(node("balancer", 0), asked)
    fleet.run(0.25)
    assert told.scopes_told == 0
    fleet.run(0.2)
    assert told.scopes_told == 1


def test_idle_processes_ask_for_no_scope_and_read_no_record():
    fleet = two_services()
    fleet.run(FLOW_IDLE_S)
    counters = {}
    for address, reducer in list(fleet.world.nodes.items()):
        counters[address] = CountingReducer(reducer)
        fleet.world.nodes[address] = counters[address]
    fleet.run(FLOW_IDLE_S)
    assert sum(counter.scopes_told for counter in counters.values()) == 0


@pytest.mark.parametrize("hinted", [False, True])
def test_two_agents_that_ask_each_other_for_a_flow_do_not_wait(hinted):
    fleet = two_services()
    fleet.route_to(2, {DESK: 1, OFFICE: 1})
    unknown = [flow(number) for number in range(100, 110)]
    for flow_id in unknown:
        if hinted:
            for by, agent in ((0, 0), (1, 10)):
                held = FlowHeld(flow_id, node("agent", agent))
                fleet.world.dispatch(
                    node("balancer", by), Received(held.holder, held)
                )
        fleet.data(flow_id, by=0)
        fleet.data(flow_id, by=1)
    fleet.run(0.1)
    assert all(fleet.reset_count([flow_id]) >= 1 for flow_id in unknown)


def test_flows_at_a_draining_server_of_the_former_service_are_kept():
    fleet = two_services()
    opened = [fleet.open(number, by=0) for number in range(20)]
    fleet.route_to(2, {OFFICE: 1})
    drained = node("agent", 1)
    fleet.drain(drained)
    fleet.start_balancer(node("balancer", 9))
    fleet.run(1.0)
    assert any(fleet.holder(flow_id) == drained for flow_id in opened)
    fleet.assert_answered(opened, by=9, wait_s=1.0)


def test_flows_of_a_server_that_left_the_former_service_are_reset_at_once():
    fleet = two_services()
    opened = [fleet.open(number, by=0) for number in range(20)]
    fleet.route_to(2, {OFFICE: 1})
    left = node("agent", 1)
    held = [flow_id for flow_id in opened if fleet.holder(flow_id) == left]
    known = fleet.agents[left].local_server.server
    del fleet.announcements[left]
    fleet.world.dispatch(left, ServerLeft(known.name, known.born_ms))
    fleet.run(0.01)
    assert held
    assert fleet.reset_count(opened) == len(held)


def test_a_repeated_lookup_uses_the_scope_that_was_told_since():
    fleet = two_services()
    fleet.route_to(2, {OFFICE: 1})
    opened = open_at_office(fleet, 10)
    owner = node("agent", 0)
    agent = fleet.agents[owner]
    now = fleet.world.clock.now
    # Packets of a balancer that knows of one service only.
    for flow_id in opened:
        fleet.world.dispatch(owner, forwarded(flow_id))
    services = (
        ServiceOwner(DESK, owner),
        ServiceOwner(OFFICE, node("agent", 11)),
    )
    told = ScopeTold(flow(99), FlowScope(2, FLOW_IDLE_S, services))
    fleet.world.dispatch(owner, Received(node("balancer", 0), told))
    before = sum(map(fleet.answer_count, opened))
    fleet.run(2.0)
    assert agent.gauges(now)["flows_known"] >= len(opened)
    assert fleet.reset_count(opened) == 0
    assert sum(map(fleet.answer_count, opened)) == before + len(opened)


@pytest.mark.parametrize("lost", [0.05, 0.3])
def test_flows_of_moving_routes_are_kept_though_messages_are_lost(lost):
    """Messages between processes are lost, packets of flows are not."""
    fleet = two_services()
    rng = random.Random(7)
    for address, reducer in list(fleet.world.nodes.items()):
        fleet.world.nodes[address] = LossyReducer(reducer, rng, lost)
    opened = [fleet.open(number, by=0) for number in range(10)]
    for version in range(2, 8):
        service = OFFICE if version % 2 == 0 else DESK
        fleet.route_to(version, {service: 1})
        opened.append(fleet.open(10 * version, by=version % 5))
        for by in range(5):
            for flow_id in opened:
                fleet.data(flow_id, by, seq=100 * version + by)
            fleet.run(0.1)
    answered = list(map(fleet.answer_count, opened))
    for attempt in range(8):
        for flow_id in opened:
            fleet.data(flow_id, by=3, seq=900 + attempt)
        fleet.run(0.25)
    assert fleet.reset_count(opened) == 0
    assert all(
        fleet.answer_count(flow_id) > before
        for flow_id, before in zip(opened, answered, strict=True)
    )

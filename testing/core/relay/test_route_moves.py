"""Open flows whose route moves to other services."""

import pytest

from medlar_core.events import Received
from medlar_core.packets import Flag
from medlar_core.relay.events import ServerPacketReceived
from medlar_core.relay.messages import FlowHeld
from medlar_core.relay.segment import Segment
from medlar_core.store import Put
from medlar_fakes.relay import encode
from medlar_fakes.relay import FakeCodec
from medlar_fakes.relay import FakeServer

from .kit import caller_packet
from .kit import DESK
from .kit import Fleet
from .kit import flow
from .kit import LEASE_AND_REMOVAL_S
from .kit import LONG_IDLE_S
from .kit import node
from .kit import OFFICE
from .kit import one_route
from .kit import RECORD
from .kit import table
from .wrappers import UnresponsiveServer


def two_services():
    """Return a fleet with agents of a second service without a route."""
    fleet = Fleet()
    for number in range(10, 14):
        fleet.start_server(node("agent", number), OFFICE)
        fleet.start_agent(node("agent", number), OFFICE)
    fleet.run(3.0)
    return fleet


def test_open_flows_are_kept_when_their_route_moves_to_another_service():
    fleet = two_services()
    opened = [fleet.open(number, by=0) for number in range(20)]
    fleet.route_to(2, {OFFICE: 1})
    for flow_id in opened:
        fleet.data(flow_id, by=1, seq=500)
    fleet.run(0.5)
    assert fleet.reset_count(opened) == 0
    assert all(fleet.answer_count(flow_id) == 2 for flow_id in opened)


def test_open_flows_are_kept_when_the_weights_of_their_route_change():
    fleet = two_services()
    fleet.route_to(2, {DESK: 9, OFFICE: 1})
    opened = [fleet.open(number, by=0) for number in range(30)]
    fleet.route_to(3, {DESK: 1, OFFICE: 9})
    for flow_id in opened:
        fleet.data(flow_id, by=1, seq=500)
    fleet.run(0.5)
    assert fleet.reset_count(opened) == 0
    assert all(fleet.answer_count(flow_id) == 2 for flow_id in opened)


def test_an_unknown_flow_of_two_services_is_reset():
    fleet = two_services()
    fleet.route_to(2, {DESK: 1, OFFICE: 1})
    unknown = [flow(number) for number in range(100, 110)]
    for flow_id in unknown:
        fleet.data(flow_id, by=1)
    fleet.run(0.5)
    assert all(fleet.packet_count(f, Flag.RST) == 1 for f in unknown)


def test_a_flow_is_not_reset_while_an_agent_of_its_other_service_is_silent():
    fleet = two_services()
    opened = [fleet.open(number, by=0) for number in range(20)]
    fleet.world.paused.add(node("agent", 1))
    fleet.route_to(2, {OFFICE: 1})
    for flow_id in opened:
        fleet.data(flow_id, by=1, seq=500)
    fleet.run(1.0)
    assert fleet.reset_count(opened) == 0


@pytest.mark.parametrize("running_s", [0.3, 3.0])
def test_a_balancer_started_since_a_route_moved_keeps_its_flows(running_s):
    fleet = two_services()
    opened = [fleet.open(number, by=0) for number in range(20)]
    fleet.route_to(2, {OFFICE: 1}, LONG_IDLE_S)
    fleet.start_balancer(node("balancer", 9))
    fleet.run(running_s)
    for flow_id in opened:
        fleet.data(flow_id, by=9, seq=500)
    fleet.run(0.5)
    assert fleet.reset_count(opened) == 0


def test_a_route_that_moved_back_names_each_service_once():
    fleet = two_services()
    fleet.route_to(2, {OFFICE: 1})
    fleet.route_to(3, {DESK: 1})
    fleet.start_balancer(node("balancer", 9))
    fleet.run(1.0)
    (scope,) = {
        effect.packet.scope
        for effect in fleet.balancers[node("balancer", 9)].reduce(
            fleet.world.clock.now, caller_packet(flow(1))
        )
    }
    assert [found.service for found in scope.services] == [DESK, OFFICE]


def test_a_service_whose_agents_were_removed_may_hold_flows():
    fleet = two_services()
    fleet.route_to(2, {DESK: 1}, LONG_IDLE_S)
    opened = [fleet.open(number, by=0) for number in range(20)]
    desk = [node("agent", number) for number in range(4)]
    fleet.world.paused.update(desk)
    fleet.run(LEASE_AND_REMOVAL_S)
    fleet.route_to(3, {OFFICE: 1}, LONG_IDLE_S)
    for flow_id in opened:
        fleet.data(flow_id, by=1, seq=500)
    fleet.run(0.5)
    assert fleet.reset_count(opened) == 0


def test_a_late_bounce_does_not_start_a_lookup_in_one_service_only():
    fleet = two_services()
    opened = [fleet.open(number, by=0) for number in range(5)]
    fleet.route_to(2, {OFFICE: 1}, LONG_IDLE_S)
    late = FakeCodec().decode(
        encode(Segment(b"", Flag.ACK | Flag.BOUNCED, *opened[0], 50, 500, 501))
    )
    fleet.world.dispatch(node("agent", 10), ServerPacketReceived(late))
    fleet.run(0.5)
    assert fleet.reset_count(opened) == 0


def test_a_stale_hint_to_an_agent_of_another_service_does_not_hide_a_flow():
    fleet = two_services()
    flow_id = fleet.open(1, by=0)
    held = FlowHeld(flow_id, node("agent", 10))
    fleet.world.dispatch(node("balancer", 1), Received(held.holder, held))
    for _ in range(10):
        fleet.data(flow_id, by=1, seq=500)
        fleet.run(0.5)
    assert fleet.answer_count(flow_id) > 1


def test_an_outdated_entry_does_not_hide_the_other_services_of_a_flow():
    """Guards against resets by agents that forget the route's services."""
    fleet = two_services()
    fleet.route_to(2, {DESK: 9, OFFICE: 1})
    desk = [node("agent", number) for number in range(4)]
    for address in desk:
        fleet.world.servers[address] = UnresponsiveServer()
    flows = [flow(number) for number in range(30)]
    for flow_id in flows:
        fleet.syn(flow_id, by=0)
    fleet.run(0.05)
    fleet.route_to(3, {DESK: 1, OFFICE: 9})
    for flow_id in flows:
        fleet.syn(flow_id, by=0, retransmission=1)
    fleet.run(0.05)
    for address in desk:
        fleet.world.servers[address] = FakeServer()
    opened = [
        flow_id
        for number in range(10, 14)
        for flow_id in fleet.world.servers[node("agent", number)].flows
    ]
    fleet.route_to(4, {DESK: 9, OFFICE: 1})
    fleet.start_balancer(node("balancer", 9))
    fleet.run(3.0)
    for flow_id in opened:
        fleet.data(flow_id, by=9, seq=500)
    fleet.run(1.0)
    assert len(opened) > 10
    assert fleet.reset_count(opened) == 0
    assert all(fleet.answer_count(flow_id) == 1 for flow_id in opened)


def test_a_packet_hinted_to_another_service_is_found_in_that_of_its_route():
    fleet = two_services()
    opened = [fleet.open(number, by=0) for number in range(10)]
    fleet.route_to(2, {OFFICE: 1})
    fleet.route_to(3, {DESK: 1})
    for flow_id in opened:
        held = FlowHeld(flow_id, node("agent", 10))
        fleet.world.dispatch(node("balancer", 1), Received(held.holder, held))
        fleet.data(flow_id, by=1, seq=500)
    fleet.run(0.2)
    assert fleet.reset_count(opened) == 0
    assert all(fleet.answer_count(flow_id) == 2 for flow_id in opened)


def test_a_bounced_packet_whose_services_nobody_told_resets_no_flow():
    fleet = two_services()
    (flow_id, *_) = fleet.flows_at(node("agent", 2))
    fleet.kill(node("agent", 2))
    fleet.start_agent(node("agent", 2))
    fleet.run(1.0)
    before = fleet.answer_count(flow_id)
    answer = Segment(b"", Flag.ACK, *flow_id[::-1], 50, 500, 501)
    bounced = Segment(b"", Flag.ACK | Flag.BOUNCED, *flow_id, 50, 500, 501)
    for segment in (answer, bounced):
        event = ServerPacketReceived(FakeCodec().decode(encode(segment)))
        fleet.world.dispatch(node("agent", 2), event)
    fleet.run(1.0)
    assert fleet.reset_count([flow_id]) == 0
    assert fleet.answer_count(flow_id) == before + 2


def move_route_with_open_flows(fleet, version=2, count=20):
    """Open flows of a route that moves to another service then."""
    opened = [fleet.open(number, by=number % 3) for number in range(count)]
    fleet.route_to(version, {OFFICE: 1}, LONG_IDLE_S)
    return opened


def run_until_ready(fleet, balancer, limit_s=1.5):
    """Run until a balancer may get packets, and no longer."""
    until = fleet.world.clock.now + limit_s
    while not balancer.is_ready and fleet.world.clock.now < until:
        fleet.run(0.01)
    assert balancer.is_ready


def kill_balancers(fleet):
    for address in fleet.balancers:
        fleet.kill(address)
    fleet.run(0.5)


def start_balancers(fleet):
    for address in list(fleet.balancers):
        fleet.start_balancer(address)
    fleet.run(1.0)


def replace_balancers(fleet):
    """Kill all balancers at once and start them again."""
    kill_balancers(fleet)
    start_balancers(fleet)


def test_flows_of_a_moved_route_outlive_all_balancers():
    """Guards against resets after all balancers were killed at once."""
    fleet = two_services()
    opened = move_route_with_open_flows(fleet)
    replace_balancers(fleet)
    fleet.assert_answered(opened, by=1)


def test_flows_of_a_route_that_moves_while_no_balancer_runs_are_kept():
    fleet = two_services()
    opened = [fleet.open(number, by=0) for number in range(20)]
    kill_balancers(fleet)
    fleet.route_to(2, {OFFICE: 1}, LONG_IDLE_S)
    start_balancers(fleet)
    fleet.assert_answered(opened, by=1)


def test_flows_of_a_route_that_moved_twice_and_back_outlive_all_balancers():
    fleet = two_services()
    first = move_route_with_open_flows(fleet)
    second = [fleet.open(number, by=0) for number in range(30, 45)]
    assert {fleet.services[fleet.holder(f)] for f in second} == {OFFICE}
    fleet.route_to(3, {DESK: 1}, LONG_IDLE_S)
    replace_balancers(fleet)
    fleet.assert_answered([*first, *second], by=1)
    fleet.route_to(4, {OFFICE: 1}, LONG_IDLE_S)
    replace_balancers(fleet)
    fleet.assert_answered([*first, *second], by=2)


def lose_writes_of(fleet, key):
    """Let the store do no write of a key, and answer none."""
    call = fleet.world.store.call

    def call_unless_written(op, answered):
        if not (isinstance(op, Put) and op.key == key):
            call(op, answered)

    fleet.world.store.call = call_unless_written


def test_the_record_is_written_on_a_change_only():
    fleet = two_services()
    fleet.run(2.0)
    revision = fleet.world.store.items[RECORD].revision
    fleet.configure(one_route(2, {DESK: 1}))
    fleet.run(20.0)
    assert fleet.world.store.items[RECORD].revision == revision
    fleet.route_to(3, {DESK: 1, OFFICE: 1})
    fleet.run(20.0)
    moved = fleet.world.store.items[RECORD].revision
    assert moved > revision
    fleet.route_to(4, {DESK: 1, OFFICE: 9})
    replace_balancers(fleet)
    fleet.run(20.0)
    assert fleet.world.store.items[RECORD].revision == moved


def test_a_configuration_is_in_force_though_its_services_are_not_recorded():
    fleet = two_services()
    lose_writes_of(fleet, RECORD)
    fleet.configure(one_route(2, {OFFICE: 1}))
    fleet.run(0.5)
    assert fleet.balancers[node("balancer", 0)].routes.version == 1
    fleet.run(1.0)
    versions = {b.routes.version for b in fleet.balancers.values()}
    assert versions == {2}


@pytest.mark.parametrize("text", ["", "{", '{"services": 3}'])
def test_an_unreadable_record_is_logged_and_written_anew(text):
    fleet = two_services()
    fleet.write(RECORD, text)
    fleet.run(2.0)
    assert any("record ignored" in event.text for event in fleet.world.events)
    fleet.route_to(2, {OFFICE: 1})
    fleet.run(2.0)
    assert DESK in fleet.world.store.items[RECORD].value
    assert OFFICE in fleet.world.store.items[RECORD].value


def test_flows_of_many_moved_routes_are_kept_by_a_balancer_just_started():
    """Guards against resets by a balancer that learns the moves in parts."""
    fleet = two_services()
    count = 60
    fleet.configure(table(2, *[DESK] * count))
    fleet.run(1.0)
    opened = [flow(number, 8000 + number) for number in range(count)]
    for flow_id in opened:
        fleet.syn(flow_id)
        fleet.run(0.01)
        fleet.data(flow_id)
    fleet.configure(table(3, *[OFFICE] * count))
    fleet.run(3.0)
    run_until_ready(fleet, fleet.start_balancer(node("balancer", 9)))
    fleet.assert_answered(opened, by=9)


def test_a_balancer_started_without_the_store_keeps_flows_of_moved_routes():
    fleet = two_services()
    opened = move_route_with_open_flows(fleet)
    newcomer = node("balancer", 9)
    fleet.world.without_store.add(newcomer)
    fleet.start_balancer(newcomer, seeds=(node("balancer", 0),))
    fleet.run(2.0)
    fleet.assert_answered(opened, by=9)


def test_flows_are_kept_while_a_route_moves_and_a_balancer_restarts_by_turns():
    fleet = two_services()
    opened = [fleet.open(number, by=0) for number in range(10)]
    for version in range(2, 10):
        services = {OFFICE: 1} if version % 2 else {DESK: 1, OFFICE: 1}
        fleet.route_to(version, services, LONG_IDLE_S)
        restarted = node("balancer", version % 3)
        fleet.stop(restarted)
        run_until_ready(fleet, fleet.start_balancer(restarted))
        opened.append(fleet.open(10 * version, by=version % 3))
        fleet.assert_answered(opened, by=(version + 1) % 3)

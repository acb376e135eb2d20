"""Findings of the review of the fix of the FLOW incident."""

import asyncio

from medlar_core.events import Received
from medlar_core.events import ServerProbed
from medlar_core.packets import Flag
from medlar_core.relay.events import PacketForwarded
from medlar_core.relay.events import ServerPacketReceived
from medlar_core.relay.forwarded import ForwardedPacket
from medlar_core.relay.forwarded import ForwardReason
from medlar_core.relay.messages import FlowHeld
from medlar_core.relay.messages import Hello
from medlar_core.relay.routes import Route
from medlar_core.relay.routes import RouteTable
from medlar_core.relay.routes import Share
from medlar_core.relay.segment import Segment
from medlar_fakes.relay import encode
from medlar_fakes.relay import FakeCodec
from medlar_node.relay import agent as agent_process

from .kit import AGENTS
from .kit import ANNOUNCE_INTERVAL_S
from .kit import DESK
from .kit import Fleet
from .kit import flow
from .kit import node
from .kit import OFFICE
from .kit import PLACE

LEASE_AND_REMOVAL_S = 12.0
"""An agent that stopped is removed by all balancers after this."""
LONG_IDLE_S = 60.0
"""Idle timeout of flows in configurations of these tests."""


def add_agents(fleet, numbers, service=DESK):
    for number in numbers:
        fleet.start_server(node("agent", number), service)
        fleet.start_agent(node("agent", number), service)


def flows_at(fleet, address, count=20):
    """Open flows; return those that the server of an agent holds."""
    opened = [fleet.open(number) for number in range(count)]
    return [flow_id for flow_id in opened if fleet.holder(flow_id) == address]


def resets(fleet, flows):
    return sum(fleet.packet_count(flow_id, Flag.RST) for flow_id in flows)


def route_to(fleet, version, *services, idle_s=LONG_IDLE_S):
    shares = tuple(Share(service, 1) for service in services)
    route = Route("192.0.2.1", 8000, shares)
    fleet.configure(RouteTable(version, (route,), idle_s))
    fleet.run(1.0)


def two_services():
    """Return a fleet with agents of a second service without a route."""
    fleet = Fleet()
    add_agents(fleet, range(10, 14), OFFICE)
    fleet.run(3.0)
    return fleet


def forwarded(flow_id):
    """Return the event that a balancer forwarded data of a flow."""
    data = encode(Segment(b"", Flag.ACK, *flow_id, 50, 500, 501))
    packet = ForwardedPacket(int(ForwardReason.ROUTED), DESK, data)
    src = node("balancer", 0)
    return PacketForwarded(src, packet, FakeCodec().decode(data))


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


def test_a_member_that_becomes_known_during_a_lookup_is_asked_as_well():
    fleet = Fleet()
    address = node("agent", 2)
    (flow_id, *_) = flows_at(fleet, address)
    fleet.world.paused.update(fleet.balancers)
    newcomer = node("agent", 10)
    add_agents(fleet, [10])
    now = fleet.world.clock.now
    known = tuple(
        fleet.agents[node("agent", number)].report(now) for number in (0, 1, 3)
    )
    balancer = node("balancer", 0)
    hello = Hello(balancer, PLACE, 1, known, idle_s=15.0, service_size=4)
    fleet.world.dispatch(newcomer, Received(balancer, hello))
    fleet.run(0.5)
    fleet.world.dispatch(newcomer, forwarded(flow_id))
    report = fleet.agents[address].report(fleet.world.clock.now)
    fleet.world.dispatch(newcomer, Received(address, report))
    for number in (0, 1, 3):
        members = fleet.agents[node("agent", number)].members
        assert address in members.agents
    fleet.run(0.5)
    assert resets(fleet, [flow_id]) == 0


def test_a_lost_agent_is_known_to_agents_that_start_under_new_balancers():
    fleet = Fleet()
    route_to(fleet, 2, DESK)
    address = node("agent", 2)
    held = flows_at(fleet, address)
    fleet.drain(address)
    fleet.stop(address)
    fleet.run(LEASE_AND_REMOVAL_S)
    for number in range(3):
        fleet.stop(node("balancer", number))
        fleet.start_balancer(node("balancer", 10 + number))
    fleet.run(3.0)
    add_agents(fleet, range(10, 20))
    fleet.run(4.0)
    for flow_id in held:
        fleet.data(flow_id, by=10, seq=500)
    fleet.run(0.5)
    assert held
    assert resets(fleet, held) == 0


def test_lost_agents_are_remembered_for_the_whole_idle_time():
    fleet = Fleet()
    route_to(fleet, 2, DESK)
    address = node("agent", 2)
    held = flows_at(fleet, address)
    fleet.drain(address)
    fleet.stop(address)
    add_agents(fleet, range(10, 20))
    fleet.run(LONG_IDLE_S - 10.0)
    for flow_id in held:
        fleet.data(flow_id, by=1, seq=500)
    fleet.run(0.5)
    assert held
    assert resets(fleet, held) == 0


def test_an_agent_that_was_paused_does_not_skip_a_server_started_since():
    fleet = Fleet()
    address, asker = node("agent", 8), node("agent", 0)
    fleet.start_agent(address, seeds=(node("balancer", 0),))
    fleet.world.dispatch(address, ServerProbed(alive=False, ready=False))
    fleet.run(3.0)
    fleet.world.paused.add(asker)
    fleet.start_server(address)
    fleet.run(3.0)
    (flow_id, *_) = flows_at(fleet, address)
    fleet.world.paused.clear()
    fleet.world.dispatch(asker, forwarded(flow_id))
    fleet.run(0.05)
    assert resets(fleet, [flow_id]) == 0


def test_the_only_agent_was_paused_while_another_joined():
    fleet = Fleet(agents=1)
    asker, address = node("agent", 0), node("agent", 1)
    fleet.world.paused.add(asker)
    add_agents(fleet, [1])
    fleet.run(3.0)
    (flow_id, *_) = flows_at(fleet, address)
    fleet.world.paused.clear()
    fleet.world.dispatch(asker, forwarded(flow_id))
    fleet.run(0.05)
    assert resets(fleet, [flow_id]) == 0


def test_a_balancer_with_an_older_configuration_does_not_shorten_idle_time():
    fleet = Fleet()
    route_to(fleet, 2, DESK)
    address = node("agent", 2)
    (flow_id, *_) = flows_at(fleet, address)
    hello = Hello(node("balancer", 9), PLACE, 1, idle_s=1.0)
    for _ in range(6):
        fleet.world.dispatch(address, Received(hello.id, hello))
        fleet.run(0.5)
    fleet.data(flow_id, by=1, seq=500)
    fleet.run(0.5)
    assert resets(fleet, [flow_id]) == 0


def test_an_unknown_flow_in_doubt_is_not_looked_up_for_each_packet():
    fleet = Fleet(agents=20)
    route_to(fleet, 2, DESK)
    fleet.kill(node("agent", 2))
    fleet.run(13.0)
    asker = fleet.agents[node("agent", 0)]
    now = fleet.world.clock.now
    assert asker.members.lost_agents(now, DESK, LONG_IDLE_S)
    unknown = flow(99)
    for _ in range(16):
        fleet.world.dispatch(node("agent", 0), forwarded(unknown))
        fleet.run(0.015)
    lookups = [e for e in fleet.world.events if "unknown flow" in e.text]
    assert len(lookups) == 1


class StoppingReducer:
    """A server that leaves 2 s after SIGTERM; its entry goes 0.3 s later."""

    waited = 0.0

    @property
    def has_draining_flows(self):
        return self.waited < 2.0

    @property
    def is_deregistering(self):
        return 2.0 <= self.waited < 2.3


def test_a_stopped_agent_removes_the_entry_of_a_server_that_left(monkeypatch):
    reducer = StoppingReducer()

    async def sleep(seconds):
        reducer.waited += seconds

    monkeypatch.setattr(agent_process.asyncio, "sleep", sleep)
    asyncio.run(agent_process._wait_until_done(reducer, 6.0))
    assert not reducer.is_deregistering


def test_unknown_flows_are_reset_after_a_server_of_another_service_took_over():
    fleet = Fleet()
    add_agents(fleet, range(10, 14), OFFICE)
    fleet.run(3.0)
    fleet.start_server(node("agent", 2), OFFICE)
    fleet.run(3.0)
    unknown = flow(99)
    for _ in range(20):
        fleet.data(unknown, by=1)
        fleet.run(0.5)
    assert resets(fleet, [unknown]) >= 1


def test_unknown_flows_are_reset_after_a_server_beside_a_new_agent_crashed():
    fleet = Fleet()
    route_to(fleet, 2, DESK)
    address = node("agent", 2)
    fleet.kill(address)
    fleet.start_agent(address)
    fleet.run(2 * ANNOUNCE_INTERVAL_S)
    fleet.announcements.pop(address)
    fleet.world.servers.pop(address)
    fleet.run(5 * ANNOUNCE_INTERVAL_S)
    unknown = flow(99)
    for _ in range(20):
        fleet.data(unknown, by=1)
        fleet.run(0.5)
    assert resets(fleet, [unknown]) >= 1


def test_a_balancer_started_since_a_route_moved_keeps_its_flows():
    fleet = two_services()
    opened = [fleet.open(number, by=0) for number in range(20)]
    route_to(fleet, 2, OFFICE)
    fleet.start_balancer(node("balancer", 9))
    fleet.run(3.0)
    for flow_id in opened:
        fleet.data(flow_id, by=9, seq=500)
    fleet.run(0.5)
    assert resets(fleet, opened) == 0


def test_a_service_whose_agents_were_removed_may_hold_flows():
    fleet = two_services()
    route_to(fleet, 2, DESK)
    opened = [fleet.open(number, by=0) for number in range(20)]
    desk = [node("agent", number) for number in range(4)]
    fleet.world.paused.update(desk)
    fleet.run(LEASE_AND_REMOVAL_S)
    route_to(fleet, 3, OFFICE)
    for flow_id in opened:
        fleet.data(flow_id, by=1, seq=500)
    fleet.run(0.5)
    assert resets(fleet, opened) == 0


def test_a_late_bounce_does_not_start_a_lookup_in_one_service_only():
    fleet = two_services()
    opened = [fleet.open(number, by=0) for number in range(5)]
    route_to(fleet, 2, OFFICE)
    late = FakeCodec().decode(
        encode(Segment(b"", Flag.ACK | Flag.BOUNCED, *opened[0], 50, 500, 501))
    )
    fleet.world.dispatch(node("agent", 10), ServerPacketReceived(late))
    fleet.run(0.5)
    assert resets(fleet, opened) == 0


def test_a_stale_hint_to_an_agent_of_another_service_does_not_hide_a_flow():
    fleet = two_services()
    flow_id = fleet.open(1, by=0)
    held = FlowHeld(flow_id, node("agent", 10))
    fleet.world.dispatch(node("balancer", 1), Received(held.holder, held))
    for _ in range(10):
        fleet.data(flow_id, by=1, seq=500)
        fleet.run(0.5)
    assert fleet.answer_count(flow_id) > 1


def test_a_half_closed_flow_is_kept():
    fleet = Fleet()
    route_to(fleet, 2, DESK)
    address = node("agent", 2)
    (flow_id, *_) = flows_at(fleet, address)
    fin = encode(Segment(b"", Flag.FIN | Flag.ACK, *flow_id[::-1], 0, 501, 7))
    fleet.world.dispatch(
        address, ServerPacketReceived(FakeCodec().decode(fin))
    )
    fleet.run(8.0)
    fleet.data(flow_id, by=1, seq=500)
    fleet.run(0.5)
    assert resets(fleet, [flow_id]) == 0

"""Proof that no server holds a flow: an open flow must not be reset."""

from medlar_core.events import Received
from medlar_core.events import ServerProbed
from medlar_core.packets import Flag
from medlar_core.relay.events import ServerPacketReceived
from medlar_core.relay.messages import Hello
from medlar_core.relay.segment import Segment
from medlar_fakes.relay import encode
from medlar_fakes.relay import FakeCodec

from .kit import ANNOUNCE_INTERVAL_S
from .kit import DESK
from .kit import Fleet
from .kit import flow
from .kit import forwarded
from .kit import LONG_IDLE_S
from .kit import node
from .kit import OFFICE
from .kit import PLACE


def test_an_agent_that_lacks_a_member_does_not_prove_absence():
    fleet = Fleet()
    address = node("agent", 2)
    (flow_id, *_) = fleet.flows_at(address)
    fleet.world.paused.update(fleet.balancers)
    newcomer = node("agent", 10)
    fleet.start_server(newcomer)
    fleet.start_agent(newcomer)
    known = tuple(
        fleet.agents[node("agent", number)].report(fleet.world.clock.now)
        for number in (0, 1, 3)
    )
    balancer = node("balancer", 0)
    hello = Hello(balancer, PLACE, 1, known, idle_s=15.0, service_size=4)
    fleet.world.dispatch(newcomer, Received(balancer, hello))
    fleet.run(0.5)
    fleet.world.dispatch(newcomer, forwarded(flow_id))
    fleet.tell_scope(newcomer, flow_id)
    assert fleet.reset_count([flow_id]) == 0


def test_a_member_that_becomes_known_during_a_lookup_is_asked_as_well():
    fleet = Fleet()
    address = node("agent", 2)
    (flow_id, *_) = fleet.flows_at(address)
    fleet.world.paused.update(fleet.balancers)
    newcomer = node("agent", 10)
    fleet.add_agents([10])
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
    fleet.tell_scope(newcomer, flow_id)
    assert fleet.reset_count([flow_id]) == 0


def test_unknown_flows_are_reset_soon_though_agents_join_each_second():
    fleet = Fleet(agents=20)
    for number in range(30, 35):
        fleet.add_agents([number])
        unknown = flow(number)
        for _ in range(5):
            fleet.data(unknown, by=1)
            fleet.run(0.2)
        assert fleet.reset_count([unknown]) >= 1


def test_an_unknown_flow_in_doubt_is_not_looked_up_for_each_packet():
    fleet = Fleet(agents=20)
    fleet.route_to(2, {DESK: 1}, LONG_IDLE_S)
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


def test_flows_are_tried_at_a_server_that_no_longer_announces_itself():
    fleet = Fleet()
    address = node("agent", 2)
    held = fleet.flows_at(address)
    fleet.kill(address)
    fleet.announcements.pop(address)
    fleet.start_agent(address)
    fleet.world.dispatch(address, ServerProbed(alive=True, ready=False))
    fleet.run(5 * ANNOUNCE_INTERVAL_S)
    for flow_id in held:
        fleet.data(flow_id, by=1, seq=500)
    fleet.run(0.5)
    assert held
    assert fleet.reset_count(held) == 0
    assert all(fleet.answer_count(flow_id) == 2 for flow_id in held)


def test_unknown_flows_are_reset_after_a_server_beside_a_new_agent_crashed():
    fleet = Fleet()
    fleet.route_to(2, {DESK: 1}, LONG_IDLE_S)
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
    assert fleet.reset_count([unknown]) >= 1


def test_unknown_flows_are_reset_after_a_server_of_another_service_took_over():
    fleet = Fleet()
    fleet.add_agents(range(10, 14), OFFICE)
    fleet.run(3.0)
    fleet.start_server(node("agent", 2), OFFICE)
    fleet.run(3.0)
    unknown = flow(99)
    for _ in range(20):
        fleet.data(unknown, by=1)
        fleet.run(0.5)
    assert fleet.reset_count([unknown]) >= 1


def test_an_agent_that_was_paused_does_not_skip_a_server_started_since():
    fleet = Fleet()
    address, asker = node("agent", 8), node("agent", 0)
    fleet.start_agent(address, seeds=(node("balancer", 0),))
    fleet.world.dispatch(address, ServerProbed(alive=False, ready=False))
    fleet.run(3.0)
    fleet.world.paused.add(asker)
    fleet.start_server(address)
    fleet.run(3.0)
    (flow_id, *_) = fleet.flows_at(address)
    fleet.world.paused.clear()
    fleet.world.dispatch(asker, forwarded(flow_id))
    fleet.run(0.05)
    assert fleet.reset_count([flow_id]) == 0


def test_the_only_agent_was_paused_while_another_joined():
    fleet = Fleet(agents=1)
    asker, address = node("agent", 0), node("agent", 1)
    fleet.world.paused.add(asker)
    fleet.add_agents([1])
    fleet.run(3.0)
    (flow_id, *_) = fleet.flows_at(address)
    fleet.world.paused.clear()
    fleet.world.dispatch(asker, forwarded(flow_id))
    fleet.run(0.05)
    assert fleet.reset_count([flow_id]) == 0


def test_a_balancer_with_an_older_configuration_does_not_shorten_idle_time():
    fleet = Fleet()
    fleet.route_to(2, {DESK: 1}, LONG_IDLE_S)
    address = node("agent", 2)
    (flow_id, *_) = fleet.flows_at(address)
    hello = Hello(node("balancer", 9), PLACE, 1, idle_s=1.0)
    for _ in range(6):
        fleet.world.dispatch(address, Received(hello.id, hello))
        fleet.run(0.5)
    fleet.data(flow_id, by=1, seq=500)
    fleet.run(0.5)
    assert fleet.reset_count([flow_id]) == 0


def test_a_half_closed_flow_is_kept():
    fleet = Fleet()
    fleet.route_to(2, {DESK: 1}, LONG_IDLE_S)
    address = node("agent", 2)
    (flow_id, *_) = fleet.flows_at(address)
    fin = encode(Segment(b"", Flag.FIN | Flag.ACK, *flow_id[::-1], 0, 501, 7))
    fleet.world.dispatch(
        address, ServerPacketReceived(FakeCodec().decode(fin))
    )
    fleet.run(8.0)
    fleet.data(flow_id, by=1, seq=500)
    fleet.run(0.5)
    assert fleet.reset_count([flow_id]) == 0

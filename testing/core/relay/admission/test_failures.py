"""Held flows while processes or servers fail."""

from medlar_core.packets import Flag

from ..kit import node
from .kit import BULK
from .kit import IMPATIENT
from .kit import Room
from .kit import SERVICE_S
from .kit import URGENT

LAST = 60
"""Calls that wait at two servers at once for most of a second."""


def flood(room: Room, count: int = LAST, port: int = BULK) -> None:
    for number in range(count):
        room.call(number, port)


def held_count(room: Room) -> int:
    fleet = room.fleet
    return sum(
        int(agent.gauges(fleet.world.clock.now)["flows_held"])
        for address, agent in fleet.agents.items()
        if address in fleet.world.nodes
    )


def warm_up(room: Room) -> None:
    """Let each agent measure its server."""
    for number in range(900, 920):
        room.call(number, at=0.05 * (number - 900))
    room.fleet.run(1.5)


def test_flows_held_by_an_agent_that_dies_are_opened_at_others():
    room = Room(2)
    warm_up(room)
    flood(room, 20)
    room.fleet.run(0.1)
    assert held_count(room) >= 5
    dead = node("agent", 0)
    room.fleet.kill(dead)
    room.fleet.world.servers.pop(dead)
    room.fleet.run(3.0)
    # A caller whose owner died reaches another one by its next attempt.
    owners = {
        event.flow: event.server
        for event in room.fleet.world.events
        if event.text.startswith("flows: new")
    }
    lost = {
        owners[str(call.flow_id)]
        for call in room.calls.values()
        if not call.opened_at
    }
    assert lost <= {dead}


def test_flows_held_for_a_server_that_drains_go_elsewhere():
    room = Room(2)
    warm_up(room)
    flood(room, 30)
    room.fleet.run(0.1)
    leaving = node("agent", 0)
    room.fleet.drain(leaving)
    drained_at = room.clock.now
    room.fleet.run(3.0)
    server = room.fleet.world.servers[leaving]
    assert all(at <= drained_at for at in server.delivered_at.values())
    assert all(call.answered_at for call in room.calls.values())


def test_flows_held_for_a_server_that_ends_go_to_its_successor_or_others():
    room = Room(2)
    warm_up(room)
    flood(room, 30)
    room.fleet.run(0.1)
    room.start(node("agent", 0), SERVICE_S)
    room.fleet.run(4.0)
    lost = [c for c in room.calls.values() if c.answered_at is None]
    assert len(lost) <= 4


def test_a_pause_of_two_seconds_refuses_nobody_falsely():
    room = Room(2)
    warm_up(room)
    flood(room)
    room.fleet.run(0.1)
    agents = [node("agent", number) for number in range(2)]
    room.fleet.world.paused.update(agents)
    room.fleet.run(2.0)
    room.fleet.world.paused.clear()
    room.fleet.run(0.3)
    assert held_count(room) == 0
    late = room.call(500)
    room.fleet.run(0.5)
    assert late.answered_at is not None


def test_with_unknown_service_times_flows_wait_for_their_retransmission():
    room = Room(1)
    flood(room, 30)
    room.fleet.run(0.01)
    assert held_count(room) <= 8
    room.fleet.run(3.0)
    assert not any(call.refused_at for call in room.calls.values())
    assert all(call.answered_at for call in room.calls.values())


def test_a_held_flow_that_opened_elsewhere_is_not_opened_again():
    room = Room(1)
    warm_up(room)
    flood(room, 20, URGENT)
    waiting = room.call(100)
    room.fleet.run(0.05)
    before = held_count(room)
    room.fleet.data(waiting.flow_id)
    room.fleet.run(0.002)
    assert held_count(room) < before
    room.fleet.run(0.1)
    assert waiting.flow_id not in room.servers[0].delivered_at


def test_callers_that_vanish_after_their_syn_do_not_block_the_server():
    room = Room(1)
    warm_up(room)
    for number in range(1_000, 1_004):
        vanished = room.call(number)
        vanished.opened_at = room.clock.now  # sends nothing any more
    room.fleet.run(0.01)
    for call in list(room.calls.values())[-4:]:
        room.fleet.syn(call.flow_id)
    calls = [room.call(number, at=0.01) for number in range(10)]
    room.fleet.run(1.0)
    assert all(call.answered_at for call in calls)
    assert room.fleet.packet_count(calls[0].flow_id, Flag.RST) == 0


def test_a_server_that_was_slow_for_seconds_gets_flows_again():
    room = Room(1)
    server = room.servers[0]
    server.service_s = 2.0
    for number in range(5):
        room.call(number, IMPATIENT, at=0.5 * number)
    room.fleet.run(10.0)
    server.service_s = SERVICE_S
    calls = [
        room.call(number, IMPATIENT, at=0.1 * (number - 100))
        for number in range(100, 140)
    ]
    room.fleet.run(6.0)
    answered = [call for call in calls if call.answered_at is not None]
    assert len(answered) >= 0.97 * len(calls)


def test_handshakes_that_took_seconds_leave_the_server_in_use():
    room = Room(1)
    for number in range(30):
        call = room.call(number, IMPATIENT, at=0.5 * number)
        call.opened_at = 0.0
        flow_id = call.flow_id
        room.clock.after(0.5 * number, lambda f=flow_id: room.fleet.syn(f))
        room.clock.after(
            0.5 * number + 3.0, lambda f=flow_id: room.fleet.data(f)
        )
    room.fleet.run(20.0)
    calls = [
        room.call(number, IMPATIENT, at=0.1 * (number - 100))
        for number in range(100, 140)
    ]
    room.fleet.run(6.0)
    answered = [call for call in calls if call.answered_at is not None]
    assert len(answered) >= 0.97 * len(calls)

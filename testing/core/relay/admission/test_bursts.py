"""Bursts of more callers than slots."""

import pytest

from medlar_core.packets import Flag

from ..kit import node
from .kit import BULK
from .kit import Call
from .kit import IMPATIENT
from .kit import Room
from .kit import SERVICE_S
from .kit import TARGETS_MS
from .kit import URGENT

AGENTS = 3
CAPACITY_PER_S = AGENTS / SERVICE_S


def offer(
    room: Room, port: int, per_s: float, for_s: float, first: int
) -> list[Call]:
    """Offer calls at an even rate; return them."""
    count = int(per_s * for_s)
    return [
        room.call(first + number, port, number / per_s, by=(number % 2,) * 3)
        for number in range(count)
    ]


def in_target(calls: list[Call]) -> list[Call]:
    return [
        c
        for c in calls
        if c.took_s <= TARGETS_MS[c.flow_id.address & 0xFFFF] / 1_000
    ]


def test_a_burst_leaves_few_requests_in_the_queues_of_servers():
    room = Room(AGENTS)
    offer(room, BULK, 2.6 * CAPACITY_PER_S, 2.0, 0)
    room.fleet.run(4.0)
    assert max(server.most_queued for server in room.servers) <= 2


def test_no_slot_idles_while_callers_wait():
    room = Room(AGENTS)
    offer(room, BULK, 1.5 * CAPACITY_PER_S, 3.0, 0)
    room.fleet.run(1.0)
    before = [server.busy_s for server in room.servers]
    room.fleet.run(2.0)
    worked_s = [
        server.busy_s - busy_s
        for server, busy_s in zip(room.servers, before, strict=True)
    ]
    assert sum(worked_s) >= 0.97 * 2.0 * AGENTS


def test_most_work_of_a_burst_is_done_within_its_target():
    room = Room(AGENTS)
    calls = offer(room, BULK, 1.5 * CAPACITY_PER_S, 3.0, 0)
    room.fleet.run(5.0)
    assert len(in_target(calls)) >= 0.85 * CAPACITY_PER_S * 3.0


@pytest.mark.parametrize("flooding", [URGENT, BULK])
def test_a_burst_of_one_priority_leaves_the_other_its_share(flooding):
    room = Room(AGENTS)
    other = BULK if flooding == URGENT else URGENT
    offer(room, flooding, 2.6 * CAPACITY_PER_S, 3.0, 0)
    steady = offer(room, other, 0.1 * CAPACITY_PER_S, 3.0, 5_000)
    room.fleet.run(5.0)
    answered = [call for call in steady if call.answered_at is not None]
    least = 0.97 if other == URGENT else 0.6
    assert len(answered) >= least * len(steady)


def test_urgent_callers_wait_less_than_others():
    room = Room(AGENTS)
    bulk = offer(room, BULK, 2.0 * CAPACITY_PER_S, 2.0, 0)
    urgent = offer(room, URGENT, 0.3 * CAPACITY_PER_S, 2.0, 5_000)
    room.fleet.run(4.0)
    assert len(in_target(urgent)) >= 0.97 * len(urgent)
    assert len(in_target(bulk)) < 0.7 * len(bulk)


def test_one_caller_with_many_connections_leaves_others_their_share():
    room = Room(1)
    greedy = [
        room.call(number, at=0.1 * (number // 20), caller="100.65.0.1")
        for number in range(400)
    ]
    others = [
        room.call(500 + number, at=0.05 * (number % 40))
        for number in range(40)
    ]
    room.fleet.run(4.0)
    answered = [call for call in others if call.answered_at is not None]
    assert len(answered) >= 0.95 * len(others)
    assert any(call.answered_at for call in greedy)


def test_callers_without_a_chance_are_refused_at_once():
    room = Room(AGENTS)
    calls = offer(room, IMPATIENT, 8.0 * CAPACITY_PER_S, 1.0, 0)
    room.fleet.run(3.0)
    refused = [call for call in calls if call.refused_at is not None]
    took_s = sorted(call.refused_at - call.at for call in refused)
    assert len(refused) >= 0.5 * len(calls)
    assert took_s[len(took_s) // 2] <= 0.02
    assert took_s[-1] <= 0.5


def test_a_refused_flow_was_delivered_to_no_server():
    room = Room(AGENTS)
    calls = offer(room, IMPATIENT, 8.0 * CAPACITY_PER_S, 1.0, 0)
    room.fleet.run(3.0)
    refused = {c.flow_id for c in calls if c.refused_at is not None}
    for server in room.servers:
        assert refused.isdisjoint(server.delivered_at)


def test_servers_that_are_all_cold_serve_all_who_can_still_be_served():
    room = Room(AGENTS, service_s=3 * SERVICE_S)
    capacity_per_s = CAPACITY_PER_S / 3
    waiting = [room.call(number) for number in range(int(capacity_per_s))]
    room.fleet.run(3.0)
    answered = [call for call in waiting if call.answered_at is not None]
    assert len(answered) >= 0.97 * len(waiting)


def test_a_retransmission_through_another_balancer_keeps_its_place():
    room = Room(1)
    for number in range(8):
        room.call(number, URGENT)
    first = room.call(100, URGENT, at=0.001, by=(0, 1, 1))
    later = [room.call(number, URGENT, 0.1) for number in range(110, 114)]
    room.fleet.run(3.0)
    server = room.servers[0]
    assert first.opened_at >= first.at + 0.2
    assert server.accepted.count(first.flow_id) == 1
    started = server.started.index
    assert all(
        started(first.flow_id) < started(call.flow_id) for call in later
    )
    assert room.fleet.packet_count(first.flow_id, Flag.SYN) == 1


def test_a_server_with_room_elsewhere_gets_the_flow():
    room = Room(2)
    for number in range(60):
        room.call(number, at=0.02 * number)
    room.fleet.run(3.0)
    assert all(call.took_s <= 0.2 for call in room.calls.values())
    assert all(len(server.started) >= 20 for server in room.servers)
    assert node("agent", 0) in room.fleet.agents


def test_a_flow_that_can_wait_is_not_refused_as_many_servers_are_busy():
    room = Room(12)
    for number in range(300):
        room.call(number, at=0.0005 * number, by=(number % 2,) * 3)
    room.fleet.run(0.3)
    assert not any(call.refused_at for call in room.calls.values())
    room.fleet.run(3.0)
    answered = [c for c in room.calls.values() if c.answered_at is not None]
    assert len(answered) >= 0.97 * len(room.calls)

"""Cold servers: new flows in any second, over all senders."""

import msgspec
import pytest

from medlar_core.events import Received
from medlar_core.relay.configuration.routes import ServiceLimits
from medlar_core.relay.events import ServerLeft
from medlar_core.relay.events import ServerPhase
from medlar_core.relay.local_server import ServerIncarnation
from medlar_core.relay.members import Members
from medlar_core.relay.messages import AgentReport
from medlar_core.relay.messages import AgentState
from medlar_core.relay.messages import Hello
from medlar_core.relay.messages import UNLIMITED_ROOM
from medlar_core.relay.zones.cold_limit import ColdLimit
from medlar_core.relay.zones.cold_limit import WINDOW_S
from medlar_core.relay.zones.evacuation import EvacuatedPlaces
from medlar_core.relay.zones.own_place import OwnPlace
from medlar_core.relay.zones.own_place import PlaceNews
from medlar_core.relay.zones.settings import ZoneSettings

from ..kit import DESK
from ..kit import node
from ..kit import OFFICE
from ..kit import table
from .kit import A
from .kit import IN_FORCE_S
from .kit import ZoneFleet

PER_S = 2.0
LIMIT = 8
"""Of 2 a second, times 1.5, and 5 more."""
SETTINGS = ZoneSettings(True, 1.5, 5.0)


@pytest.fixture
def limit():
    limit = ColdLimit(SETTINGS)
    limit.configure(1, PER_S)
    limit.room(0.0, None)
    return limit


def server(cold_until, announced_at=0.0):
    return ServerIncarnation(
        "s",
        1,
        1,
        DESK,
        ServerPhase.READY,
        1,
        cold_until,
        announced_at,
        all_flows_known=True,
        observed_since=0.0,
    )


def test_the_window_slides(limit):
    cold = server(cold_until=100.0)
    for number in range(LIMIT):
        assert limit.room(10.0 + 0.1 * number, cold) == LIMIT - number
        limit.record_opened(10.0 + 0.1 * number)
    assert limit.room(10.0 + WINDOW_S - 0.01, cold) == 0
    assert limit.room(10.0 + WINDOW_S, cold) == 1
    assert limit.room(10.1 + WINDOW_S, cold) == 2
    limit.record_opened(10.1 + WINDOW_S)
    assert limit.room(10.1 + WINDOW_S, cold) == 1


def test_flows_that_came_before_it_turned_cold_count(limit):
    for number in range(30):
        limit.record_opened(10.0 + 0.01 * number)
    assert limit.room(10.3, server(cold_until=0.0)) == UNLIMITED_ROOM
    assert limit.room(10.3, server(cold_until=20.0)) == 0


def test_a_process_that_has_just_started_counts_the_window_as_used_up():
    limit = ColdLimit(SETTINGS)
    limit.configure(1, PER_S)
    cold = server(cold_until=100.0)
    assert limit.room(50.0, cold) == 0
    assert limit.room(50.0 + WINDOW_S, cold) == LIMIT


def test_a_server_is_taken_as_cold_until_it_tells_after_a_take_back(limit):
    limit.handle_taken_back(10.0)
    told_before = server(cold_until=0.0, announced_at=9.9)
    assert limit.room(10.5, told_before) == LIMIT
    told_since = server(cold_until=0.0, announced_at=10.1)
    assert limit.room(10.5, told_since) == UNLIMITED_ROOM


@pytest.mark.parametrize("settings", [SETTINGS, ZoneSettings(True)])
def test_there_is_no_limit_where_none_is_configured(settings):
    limit = ColdLimit(settings)
    limit.configure(1, 0.0 if settings is SETTINGS else PER_S)
    assert limit.room(5.0, server(cold_until=100.0)) == UNLIMITED_ROOM


def test_an_earlier_configuration_does_not_replace_a_later_one(limit):
    limit.configure(5, 0.0)
    limit.configure(4, PER_S)
    assert limit.room(5.0, server(cold_until=100.0)) == UNLIMITED_ROOM


@pytest.fixture
def fleet():
    fleet = ZoneFleet()
    limits = (ServiceLimits(DESK, PER_S),)
    cfg = msgspec.structs.replace(table(2, DESK), services=limits)
    fleet.configure(cfg)
    fleet.run(IN_FORCE_S)
    return fleet


def turn_cold(fleet, addresses, cold_s):
    for address in addresses:
        told = fleet.announcements[address]
        cold = msgspec.structs.replace(told, cold_s=cold_s)
        fleet.announcements[address] = cold


def accepted_at(fleet, address, seconds, count=100):
    """Open flows for a time; return when a server accepted its own."""
    times = []
    server = fleet.world.servers[address]
    for _ in range(count):
        before = len(server.accepted)
        fleet.load(1, seconds / count, balancers=[len(times) % 6])
        times += [fleet.world.clock.now] * (len(server.accepted) - before)
    return times


def most_in_a_second(times):
    return max(
        (sum(t <= u < t + 1.0 for u in times) for t in times), default=0
    )


def test_cold_servers_get_no_more_than_they_bear(fleet):
    turn_cold(fleet, fleet.agents, 100.0)
    fleet.run(2.0)
    address = node("agent", 1)
    times = accepted_at(fleet, address, 0.5, count=400)
    assert 0 < most_in_a_second(times) <= LIMIT


def test_an_agent_restarts_while_its_server_is_cold(fleet):
    turn_cold(fleet, fleet.agents, 100.0)
    fleet.run(2.0)
    address = node("agent", 1)
    times = accepted_at(fleet, address, 0.1, count=60)
    fleet.kill(address)
    fleet.start_agent(address)
    times += accepted_at(fleet, address, 0.1, count=60)
    assert 0 < most_in_a_second(times) <= LIMIT


def test_a_server_that_restarts_with_its_clock_set_back_is_cold_at_once(fleet):
    """Guards against more than it bears until it replaces the known one."""
    address = node("agent", 1)
    told = fleet.announcements[address]
    fleet.start_server(address)
    restarted = msgspec.structs.replace(told, born_ms=1, cold_s=50.0)
    fleet.world.dispatch(address, restarted)
    now = fleet.world.clock.now
    assert fleet.agents[address].report(now).cold


def test_a_place_that_is_taken_back_cold_gets_what_it_bears(fleet):
    fleet.evacuate(A)
    fleet.run(IN_FORCE_S)
    cold = [a for a in fleet.agents if fleet.place(a) == A]
    fleet.take_back(A)
    fleet.run(0.01)
    turn_cold(fleet, cold, 100.0)
    times = accepted_at(fleet, cold[0], 1.0, count=200)
    assert 0 < most_in_a_second(times) <= LIMIT


def test_flows_go_to_warm_servers_while_the_cold_ones_have_no_room(fleet):
    turn_cold(fleet, [a for a in fleet.agents if fleet.place(a) == A], 100.0)
    fleet.run(2.0)
    got, answered = fleet.share_after(A, count=300)
    assert answered == 300
    assert 0 < got <= 4 * 3 * LIMIT


def test_a_balancer_without_a_configuration_told_of_no_limit():
    """Guards against a cold server without a limit (soak, seed 914)."""
    place = OwnPlace(A, SETTINGS)
    place.apply(1.0, PlaceNews(0, EvacuatedPlaces(7), 0.0))
    assert place.is_closed(1.1)
    place.apply(1.2, PlaceNews(3, EvacuatedPlaces(7), PER_S))
    assert not place.is_closed(1.2)
    cold = server(cold_until=100.0)
    assert place.cold.room(1.3, cold) != UNLIMITED_ROOM


def test_an_evacuation_counts_before_any_limit_is_known():
    place = OwnPlace(A, SETTINGS)
    place.apply(1.0, PlaceNews(0, EvacuatedPlaces(7, (A,)), 0.0))
    assert place.is_closed(100.0)


def start_for_office(fleet, address):
    """Replace a server by a cold one of another service, which it limits."""
    limits = (ServiceLimits(OFFICE, PER_S),)
    cfg = table(3, DESK, OFFICE)
    fleet.configure(msgspec.structs.replace(cfg, services=limits))
    fleet.run(IN_FORCE_S)
    ended = ServerLeft(fleet.announcements[address].server, 0)
    fleet.world.dispatch(address, ended)
    fleet.run(0.2)
    fleet.start_server(address, OFFICE)
    turn_cold(fleet, [address], 100.0)
    started = fleet.announcements[address]
    fleet.world.dispatch(address, msgspec.structs.replace(started, sequence=1))


def test_a_server_of_another_service_waits_for_the_limit_of_that_one(fleet):
    address = node("agent", 1)
    start_for_office(fleet, address)
    agent = fleet.agents[address]
    assert not agent.report(fleet.world.clock.now).accepts_flows
    fleet.run(0.5)
    assert agent.report(fleet.world.clock.now).room == LIMIT


def test_the_limit_of_another_service_is_not_taken_for_the_own(fleet):
    address = node("agent", 1)
    start_for_office(fleet, address)
    fleet.run(0.5)
    others = fleet.balancers[node("balancer", 0)].members.of(DESK)
    late = Hello(
        node("balancer", 0),
        A,
        3,
        agents=(others[0].report,),
        evacuated=EvacuatedPlaces(1),
    )
    fleet.world.dispatch(address, Received(node("balancer", 0), late))
    now = fleet.world.clock.now
    assert fleet.agents[address].report(now).room == LIMIT


def test_agents_that_left_without_room_are_forgotten():
    members = Members(node("balancer", 0))
    for number in range(1, 200):
        report = AgentReport(
            node("agent", number), A, DESK, 1, 1, AgentState.READY, room=0
        )
        members.apply_report(1.0, report, direct=True)
        gone = msgspec.structs.replace(report, count=2, state=AgentState.GONE)
        members.apply_report(1.1, gone, direct=True)
    assert not members.agents
    assert not members._without_room

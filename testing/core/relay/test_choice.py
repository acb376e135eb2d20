"""Which of several servers gets a new flow."""

import random
from typing import Any

import pytest

from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.relay.choice import Choice
from medlar_core.relay.choice import FULL_WAITING
from medlar_core.relay.choice import FULL_YIELDING
from medlar_core.relay.choice import Pick
from medlar_core.relay.members import Member
from medlar_core.relay.members import Members
from medlar_core.relay.messages import AgentReport
from medlar_core.relay.messages import AgentState
from medlar_core.relay.routes import Route
from medlar_core.relay.routes import Routes
from medlar_core.relay.routes import RouteTable
from medlar_core.relay.routes import Share

from .kit import DESK
from .kit import Fleet
from .kit import flow
from .kit import node

SLOTS = 2
FULL = int(FULL_WAITING * SLOTS)


def report(name: str, **figures: Any) -> AgentReport:
    return AgentReport(
        NodeId(name),
        PlaceName("a"),
        ServiceName("desk"),
        1,
        state=AgentState.READY,
        slots=SLOTS,
        **{"count": 1, **figures},
    )


def pick(*members: Member) -> Pick | None:
    choice = Choice(NodeId("own"), random.Random(1))
    return choice.pick(Seconds(0.1), None, list(members), (), None)


def test_a_full_server_is_passed_over_though_it_is_less_busy():
    full = Member(report("full", busy=FULL, waiting=FULL), last_report_at=0.0)
    feeding = Member(report("feeding", busy=FULL + 2), last_report_at=0.0)
    assert pick(full, feeding) == Pick(NodeId("feeding"), full=False)


def test_flows_given_since_a_report_fill_a_server():
    waiting = FULL - 2
    assigned = Member(
        report("a", busy=waiting, waiting=waiting), last_report_at=0.0
    )
    assigned.assigned = 2
    assert pick(assigned) == Pick(NodeId("a"), full=True)


def test_a_report_ends_the_count_of_flows_given_before():
    members = Members(NodeId("own"))
    members.apply_report(Seconds(0.0), report("a"), direct=True)
    members.agents[NodeId("a")].assigned = 3
    later = report("a", count=2)
    members.apply_report(Seconds(0.1), later, direct=True)
    assert members.agents[NodeId("a")].assigned == 0


def test_syns_left_to_be_repeated_count_for_no_server():
    fleet = Fleet(agents=2)
    for server in fleet.world.servers.values():
        server.mute = True
    for number in range(60):
        fleet.syn(flow(number))
        fleet.run(0.01)
        fleet.data(flow(number))
    taken = sum(len(s.taken) for s in fleet.world.servers.values())
    asker = fleet.agents[node("agent", 0)]
    (peer,) = asker.members.agents.values()
    assert taken <= 2 * (FULL + 1)
    assert peer.assigned <= FULL


def test_a_caller_that_yields_leaves_the_last_room_to_urgent_ones():
    waiting = int(FULL_YIELDING * SLOTS)
    server = Member(
        report("a", busy=waiting, waiting=waiting), last_report_at=0.0
    )
    choice = Choice(NodeId("own"), random.Random(1))
    for limit, full in ((FULL_WAITING, False), (FULL_YIELDING, True)):
        picked = choice.pick(Seconds(0.1), None, [server], (), None, limit)
        assert picked == Pick(NodeId("a"), full)


@pytest.mark.parametrize(
    ("ranks", "low_priority"),
    [((1, 2), (False, True)), ((2, 2), (False, False))],
)
def test_the_least_urgent_route_to_a_service_yields(ranks, low_priority):
    routes = Routes()
    shares = (Share(DESK, 1),)
    routes.apply(
        RouteTable(
            1,
            tuple(
                Route("192.0.2.1", 8_000 + number, shares, rank)
                for number, rank in enumerate(ranks)
            ),
            15.0,
        )
    )
    found = tuple(
        routes.low_priority(flow(1, 8_000 + number), DESK)
        for number in range(2)
    )
    assert found == low_priority


def test_urgent_callers_are_served_while_others_are_left():
    fleet = Fleet(agents=1)
    shares = (Share(DESK, 1),)
    calm, urgent = 8_000, 8_001
    routes = (
        Route("192.0.2.1", calm, shares, 2),
        Route("192.0.2.1", urgent, shares, 1),
    )
    fleet.configure(RouteTable(2, routes, 15.0))
    fleet.run(3.0)
    server = fleet.world.servers[node("agent", 0)]
    server.mute = True
    for number in range(20):
        for port in (calm, urgent):
            fleet.syn(flow(number, port))
            fleet.run(0.02)
            fleet.data(flow(number, port))
            fleet.run(0.02)
    taken = [flow_id.address & 0xFFFF for flow_id in server.taken]
    assert taken.count(urgent) > taken.count(calm)
    assert len(taken) <= FULL + 1

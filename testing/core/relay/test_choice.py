"""Choice of the server that gets a new flow."""

import random
from typing import Any

import pytest

from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.relay.balance.choice import Choice
from medlar_core.relay.balance.choice import MAX_WAITING_PER_SLOT
from medlar_core.relay.balance.choice import MAX_WAITING_PER_SLOT_LOW_PRIORITY
from medlar_core.relay.balance.choice import Selection
from medlar_core.relay.configuration.routes import Route
from medlar_core.relay.configuration.routes import Routes
from medlar_core.relay.configuration.routes import RouteTable
from medlar_core.relay.configuration.routes import Share
from medlar_core.relay.member import Member
from medlar_core.relay.members import Members
from medlar_core.relay.messages import AgentReport
from medlar_core.relay.messages import AgentState

from .kit import DESK
from .kit import Fleet
from .kit import flow
from .kit import node

SLOTS = 2
FULL = int(MAX_WAITING_PER_SLOT * SLOTS)


def report(name: str, **fields: Any) -> AgentReport:
    return AgentReport(
        NodeId(name),
        PlaceName("a"),
        ServiceName("desk"),
        1,
        state=AgentState.READY,
        slots=SLOTS,
        **{"count": 1, **fields},
    )


def select(*members: Member) -> Selection | None:
    choice = Choice(NodeId("own"), random.Random(1))
    return choice.select(Seconds(0.1), None, list(members), (), None)


def test_a_full_server_is_not_chosen_although_it_is_less_busy():
    full = Member(report("full", busy=FULL, waiting=FULL), last_report_at=0.0)
    sending = Member(report("sending", busy=FULL + 2), last_report_at=0.0)
    assert select(full, sending) == Selection(NodeId("sending"), full=False)


def test_flows_forwarded_since_the_last_report_count_as_waiting():
    waiting = FULL - 2
    assigned = Member(
        report("a", busy=waiting, waiting=waiting), last_report_at=0.0
    )
    assigned.assigned = 2
    assert select(assigned) == Selection(NodeId("a"), full=True)


def test_a_report_resets_the_count_of_forwarded_flows():
    members = Members(NodeId("own"))
    members.apply_report(Seconds(0.0), report("a"), direct=True)
    members.agents[NodeId("a")].assigned = 3
    later = report("a", count=2)
    members.apply_report(Seconds(0.1), later, direct=True)
    assert members.agents[NodeId("a")].assigned == 0


def test_dropped_syns_count_for_no_server():
    fleet = Fleet(agents=2)
    for server in fleet.world.servers.values():
        server.ignores_data = True
    for number in range(60):
        fleet.syn(flow(number))
        fleet.run(0.01)
        fleet.data(flow(number))
    accepted = sum(len(s.accepted) for s in fleet.world.servers.values())
    agent = fleet.agents[node("agent", 0)]
    (peer,) = agent.members.agents.values()
    assert accepted <= 2 * (FULL + 1)
    assert peer.assigned <= FULL


def test_a_low_priority_flow_leaves_the_last_room_to_others():
    waiting = int(MAX_WAITING_PER_SLOT_LOW_PRIORITY * SLOTS)
    server = Member(
        report("a", busy=waiting, waiting=waiting), last_report_at=0.0
    )
    choice = Choice(NodeId("own"), random.Random(1))
    for limit, full in (
        (MAX_WAITING_PER_SLOT, False),
        (MAX_WAITING_PER_SLOT_LOW_PRIORITY, True),
    ):
        selection = choice.select(
            Seconds(0.1), None, [server], (), None, limit
        )
        assert selection == Selection(NodeId("a"), full)


@pytest.mark.parametrize(
    ("ranks", "low_priority"),
    [((1, 2), (False, True)), ((2, 2), (False, False))],
)
def test_only_the_last_of_several_ranks_has_low_priority(ranks, low_priority):
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
        routes.has_low_priority(flow(1, 8_000 + number), DESK)
        for number in range(2)
    )
    assert found == low_priority


def test_high_priority_flows_are_opened_while_others_are_dropped():
    fleet = Fleet(agents=1)
    shares = (Share(DESK, 1),)
    low_port, high_port = 8_000, 8_001
    routes = (
        Route("192.0.2.1", low_port, shares, 2),
        Route("192.0.2.1", high_port, shares, 1),
    )
    fleet.configure(RouteTable(2, routes, 15.0))
    fleet.run(3.0)
    server = fleet.world.servers[node("agent", 0)]
    server.ignores_data = True
    for number in range(20):
        for port in (low_port, high_port):
            fleet.syn(flow(number, port))
            fleet.run(0.02)
            fleet.data(flow(number, port))
            fleet.run(0.02)
    accepted = [flow_id.address & 0xFFFF for flow_id in server.accepted]
    assert accepted.count(high_port) > accepted.count(low_port)
    assert len(accepted) <= FULL + 1

"""Which servers get few new flows, by the reports of their agents."""

import msgspec
import pytest

from medlar_core.ids import NodeId
from medlar_core.ids import Seconds
from medlar_core.packets import Flag
from medlar_core.relay.health.ejection import Ejection
from medlar_core.relay.health.ejection import left_out
from medlar_core.relay.health.state import HealthState
from medlar_core.relay.member import Member
from medlar_core.relay.messages import AgentState
from medlar_core.relay.new_flow import NewFlow
from medlar_core.relay.scope import UNKNOWN_SCOPE
from medlar_core.relay.segment import Segment
from medlar_core.relay.terms import FlowTerms

from ..kit import Fleet
from ..kit import flow
from .grey_servers import report

SUSPECT = HealthState.SUSPECT
PROBATION = HealthState.PROBATION
FLOWS = 2_000
SAFE = FlowTerms(is_idempotent=True)
UNSAFE = FlowTerms(is_idempotent=False)


def reports(size, suspects, health=SUSPECT):
    return [
        report(n, health if n < suspects else HealthState.HEALTHY)
        for n in range(size)
    ]


def share(found, node, terms):
    admitted = sum(found.admits(node, flow(n), terms) for n in range(FLOWS))
    return admitted / FLOWS


def new_flow(number, *regions):
    flow_id = flow(number)
    syn = Segment(b"", int(Flag.SYN), *flow_id, 0, 100, 0)
    via = NodeId("")
    return NewFlow(
        flow_id, syn, (), via, 0, False, UNKNOWN_SCOPE, UNSAFE, regions
    )


@pytest.mark.parametrize(
    "size,suspects,expected",
    [
        (1, 1, 0),
        (2, 1, 0),
        (3, 1, 1),
        (3, 2, 0),
        (12, 3, 3),
        (12, 5, 4),
        (12, 6, 4),
        (12, 7, 0),
        (12, 12, 0),
    ],
)
def test_at_most_a_third_is_left_out_and_nobody_if_most_look_bad(
    size, suspects, expected
):
    assert len(left_out(reports(size, suspects)).states) == expected


def test_a_suspect_is_left_out_before_a_server_on_probation():
    found = left_out(
        [report(0, PROBATION), report(1, SUSPECT), report(2), report(3)]
    )
    assert list(found.states.values()) == [SUSPECT]


def test_servers_that_get_no_flows_anyway_are_no_capacity():
    down = [report(n, state=AgentState.DOWN) for n in range(3, 9)]
    assert not left_out([report(0, SUSPECT), report(1), *down]).states


def test_a_large_server_is_not_left_out_if_it_is_over_a_third():
    large = report(0, SUSPECT, slots=8)
    assert not left_out([large, *reports(6, 0)[1:]]).states


def test_few_flows_go_to_a_suspect_and_idempotent_ones_first():
    found = left_out(reports(6, 1))
    suspect = report(0).id
    assert 0.07 < share(found, suspect, SAFE) < 0.13
    assert 0.0 < share(found, suspect, UNSAFE) < 0.04
    assert share(found, report(3).id, UNSAFE) == 1.0


def test_a_server_on_probation_gets_more_flows_than_a_suspect():
    found = left_out(reports(6, 1, PROBATION))
    assert 0.35 < share(found, report(0).id, UNSAFE) < 0.45


def test_the_share_left_out_is_that_of_the_places_a_flow_may_go_to():
    """A flow of all regions, then some of one that has bad servers only."""
    now = Seconds(10.0)
    members = [Member(r, now) for r in reports(12, 2)]
    own = members.pop().report
    ejection = Ejection()
    assert len(ejection.usable(now, own, members, new_flow(0))) < 11
    region = members[:2]
    for number in range(20):
        confined = new_flow(number, "north")
        assert ejection.usable(now, own, region, confined) == region


def test_a_suspect_is_used_by_a_flow_that_the_others_have_declined():
    own, *peers = reports(6, 0)
    peers[0] = report(1, SUSPECT)
    members = [Member(r, 1.0) for r in peers]
    declined = tuple(r.id for r in peers[1:])
    ejection = Ejection()
    offered = new_flow(1)
    usable = ejection.usable(Seconds(1.0), own, members, offered)
    assert usable == members[1:]
    offered = msgspec.structs.replace(offered, declined=declined)
    usable = ejection.usable(Seconds(1.0), own, members, offered)
    assert members[0] in usable


def test_an_agent_opens_a_flow_at_its_suspect_server_if_no_other_may():
    fleet = Fleet(agents=4)
    address, *peers = fleet.agents
    fleet.agents[address]._ctx.server_watch.health.state = SUSPECT
    fleet.run(0.3)
    for peer in peers:
        fleet.world.servers[peer].capacity = 0
    opened = [fleet.open(number, by=number % 3) for number in range(20)]
    assert fleet.reset_count(opened) == 0
    assert all(fleet.packet_count(f, Flag.SYN) for f in opened)

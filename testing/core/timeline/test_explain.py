from medlar_core.ids import NodeId
from medlar_core.packets import flow_key
from medlar_core.timeline.events import TimelineEvent
from medlar_core.timeline.events import Topic
from medlar_core.timeline.explain import Confidence
from medlar_core.timeline.explain import explain
from medlar_core.timeline.explain import FlowQuestion
from medlar_core.timeline.explain import RequestQuestion
from medlar_core.timeline.explain import ServerQuestion
from medlar_core.timeline.explain import VersionQuestion
from medlar_core.timeline.hlc import Stamp
from medlar_core.timeline.hlc import StampedEvent
from medlar_core.timeline.query import MergedTimeline
from medlar_core.timeline.query import NoResponse

A = NodeId("10.0.0.1:7000")
B = NodeId("10.0.0.2:7000")
CALLER = "10.9.0.1:4000"
ADDRESS = "10.1.0.1:80"


def timeline_of(*events: TimelineEvent, node: NodeId = A) -> MergedTimeline:
    stamped = [StampedEvent(node, Stamp(n), e) for n, e in enumerate(events)]
    return MergedTimeline(tuple(stamped))


def test_flow_answer_includes_earlier_placement() -> None:
    key = str(flow_key(CALLER, ADDRESS))
    placed = TimelineEvent(Topic.PLACEMENT, "bucket moved", service="s")
    other = TimelineEvent(Topic.PLACEMENT, "bucket moved", service="t")
    forwarded = TimelineEvent(
        Topic.HANDOVER, "forwarded", service="s", flow=key
    )
    answer = explain(
        FlowQuestion(CALLER, ADDRESS), timeline_of(placed, other, forwarded)
    )
    assert [item.event for item in answer.events] == [placed, forwarded]
    assert answer.sure is Confidence.FOUND


def test_answer_for_refused_request_has_its_reason() -> None:
    refused = TimelineEvent(
        Topic.VERDICT, "not run", request="r1", reason="over-share"
    )
    other = TimelineEvent(Topic.VERDICT, "not run", request="r2")
    answer = explain(RequestQuestion("r1"), timeline_of(refused, other))
    assert answer.sentence == f"not run (reported by {A}), reason over-share"


def test_answer_for_dead_server_names_the_reporter() -> None:
    lapsed = TimelineEvent(Topic.MEMBERSHIP, "lease lapsed", server=B)
    answer = explain(ServerQuestion(B), timeline_of(lapsed))
    assert answer.sentence == f"lease lapsed (reported by {A})"


def test_answer_names_processes_behind_the_newest_version() -> None:
    old = TimelineEvent(Topic.CONFIGURATION, "in force", version=3)
    new = TimelineEvent(Topic.CONFIGURATION, "in force", version=4)
    both = (*timeline_of(old, new).events, StampedEvent(B, Stamp(9), old))
    answer = explain(
        VersionQuestion(), MergedTimeline(both, (NoResponse(A, "late"),))
    )
    assert answer.sentence == (
        f"version 4 is in force on 1 of 2 processes; {B} still has 3"
    )
    assert answer.sure is Confidence.PARTIAL


def test_question_without_matching_events_finds_none() -> None:
    assert (
        explain(RequestQuestion("r1"), MergedTimeline(())).sure
        is Confidence.NO_EVENTS
    )

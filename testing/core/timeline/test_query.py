import pytest

from medlar_core.ids import NodeId
from medlar_core.timeline.events import TimelineEvent
from medlar_core.timeline.events import Topic
from medlar_core.timeline.hlc import Stamp
from medlar_core.timeline.hlc import StampedEvent
from medlar_core.timeline.query import Filter
from medlar_core.timeline.query import merge
from medlar_core.timeline.query import select
from medlar_core.timeline.wire import decode_lines
from medlar_core.timeline.wire import decode_list
from medlar_core.timeline.wire import encode_lines
from medlar_core.timeline.wire import encode_list

A = NodeId("10.0.0.1:7000")
B = NodeId("10.0.0.2:7000")
SERVER = "10.0.1.1:7000"


def stamped(
    node: NodeId, ms: int, text: str = "text", **fields: str
) -> StampedEvent:
    event = TimelineEvent(Topic.MEMBERSHIP, text, **fields)  # type: ignore
    return StampedEvent(node, Stamp(ms), event)


def test_merge_orders_by_stamp_and_removes_duplicates() -> None:
    a = [stamped(A, 1), stamped(A, 5)]
    b = [stamped(B, 1), stamped(B, 3)]
    merged = merge([b, a, a])
    assert merged == (a[0], b[0], b[1], a[1])


@pytest.mark.parametrize(
    ("wanted", "expected"),
    [
        (Filter(), [0, 1, 2, 3]),
        (Filter(service="berth-desk"), [1]),
        (Filter(server=SERVER), [2, 3]),
        (Filter(since_ms=3), [2, 3]),
        (Filter(node=B), [3]),
        (Filter(topic=Topic.STORE), []),
        (Filter(flow="f", request="r"), []),
    ],
)
def test_filter_selects_matching_events(
    wanted: Filter, expected: list[int]
) -> None:
    events = [
        stamped(A, 1, flow="f"),
        stamped(A, 2, service="berth-desk", request="r"),
        stamped(A, 3, text=f"lease of {SERVER} lapsed."),
        stamped(B, 4, server=SERVER),
    ]
    assert select(events, wanted) == tuple(events[n] for n in expected)


def test_encoded_events_decode_to_the_same() -> None:
    events = [stamped(A, 1, kind="order"), stamped(B, 2, reason="shed")]
    assert decode_list(encode_list(events)) == events
    assert decode_lines(encode_lines(events)) == events

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


def at(
    node: NodeId, ms: int, text: str = "text", **fields: str
) -> StampedEvent:
    event = TimelineEvent(Topic.MEMBERSHIP, text, **fields)  # type: ignore
    return StampedEvent(node, Stamp(ms), event)


def test_merge_orders_by_stamp_and_keeps_doubles_once() -> None:
    a = [at(A, 1), at(A, 5)]
    b = [at(B, 1), at(B, 3)]
    merged = merge([b, a, a])
    assert merged == (a[0], b[0], b[1], a[1])


@pytest.mark.parametrize(
    ("wanted", "found"),
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
def test_filter_selects(wanted: Filter, found: list[int]) -> None:
    events = [
        at(A, 1, flow="f"),
        at(A, 2, service="berth-desk", request="r"),
        at(A, 3, text=f"lease of {SERVER} lapsed."),
        at(B, 4, server=SERVER),
    ]
    assert select(events, wanted) == tuple(events[n] for n in found)


def test_wire_forms_keep_every_event() -> None:
    events = [at(A, 1, kind="order"), at(B, 2, reason="shed")]
    assert decode_list(encode_list(events)) == events
    assert decode_lines(encode_lines(events)) == events

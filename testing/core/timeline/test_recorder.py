from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from medlar_core.ids import NodeId
from medlar_core.timeline.events import TimelineEvent
from medlar_core.timeline.events import Topic
from medlar_core.timeline.recorder import BURST
from medlar_core.timeline.recorder import MAX_FIELD_CHARS
from medlar_core.timeline.recorder import MAX_LIMITS
from medlar_core.timeline.recorder import Recorder

NODE = NodeId("10.0.0.1:7000")


def verdict(
    text: str = "refused", reason: str = "over-share"
) -> TimelineEvent:
    return TimelineEvent(Topic.VERDICT, text, reason=reason)


def test_flood_of_one_topic_keeps_events_of_others() -> None:
    recorder = Recorder(NODE, capacity=240)
    rare = TimelineEvent(Topic.MEMBERSHIP, "server 10.0.0.9:1 is dead")
    recorder.record(0, rare)
    for n in range(100_000):
        recorder.record(n, verdict(reason=str(n % 7)))
    assert rare in [item.event for item in recorder]
    assert len(recorder) <= 240


def test_rare_reason_is_recorded_during_a_flood_of_its_topic() -> None:
    recorder = Recorder(NODE)
    for n in range(1_000):
        recorder.record(n, verdict())
    assert recorder.record(1_000, verdict(reason="server-died"))


def test_suppressed_events_are_reported() -> None:
    recorder = Recorder(NODE)
    for _ in range(int(BURST) + 7):
        recorder.record(0, verdict())
    assert recorder.suppressed == 7
    recorder.record(1_000, verdict("after"))
    texts = [item.event.text for item in recorder]
    assert texts[-2:] == ["7 events like the next left out", "after"]


def test_reasons_beyond_the_limit_share_one_rate_limit() -> None:
    recorder = Recorder(NODE)
    for n in range(10 * MAX_LIMITS):
        recorder.record(0, verdict(reason=str(n)))
    assert recorder.recorded == MAX_LIMITS + BURST


def test_long_texts_are_truncated() -> None:
    recorder = Recorder(NODE)
    recorder.record(0, verdict("x" * 10_000))
    assert len(recorder.since()[0].event.text) == MAX_FIELD_CHARS


@settings(derandomize=True)
@given(st.lists(st.integers(-50, 500), max_size=80), st.integers(1, 20))
def test_reading_from_the_last_stamp_returns_each_event_once(
    steps_ms: list[int], limit: int
) -> None:
    recorder = Recorder(NODE)
    now_ms = 10_000
    for n, step_ms in enumerate(steps_ms):
        now_ms += step_ms
        topic = list(Topic)[n % len(Topic)]
        recorder.record(now_ms, TimelineEvent(topic, str(n)))
    read = recorder.since(limit=0)
    while part := recorder.since(read[-1].stamp if read else None, limit):
        if not read:
            part = list(recorder)[:limit]
        read.extend(part)
    assert read == list(recorder)
    assert [item.event.text for item in read] == [
        str(n) for n in range(len(steps_ms))
    ]

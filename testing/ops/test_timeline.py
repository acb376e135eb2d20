import asyncio

from aiohttp import web
import pytest

from medlar_core.ids import NodeId
from medlar_core.timeline.events import TimelineEvent
from medlar_core.timeline.events import Topic
from medlar_core.timeline.hlc import Stamp
from medlar_core.timeline.query import MergedTimeline
from medlar_core.timeline.recorder import Recorder
from medlar_core.timeline.wire import encode_list
from medlar_ops.timeline import gatherer
from medlar_ops.timeline import PATH
from medlar_ops.timeline import STATUS_PATH
from medlar_ops.timeline_cli import About
from medlar_ops.timeline_cli import question
from medlar_ops.timeline_html import page
from medlar_ops.timeline_text import lines

DEAD = NodeId("127.0.0.1:1")
KNOWN = NodeId("127.0.0.1:2")


def make_app(recorder: Recorder) -> web.Application:
    async def answer(req: web.Request) -> web.Response:
        after = None
        if "since" in req.query:
            ms, counter = req.query["since"].split(".")
            after = Stamp(int(ms), int(counter))
        return web.Response(body=encode_list(recorder.since(after)))

    async def status(req: web.Request) -> web.Response:
        return web.json_response({"balancers": [{"id": KNOWN}]})

    app = web.Application()
    app.router.add_get(PATH, answer)
    app.router.add_get(STATUS_PATH, status)
    return app


async def gather_twice() -> tuple[MergedTimeline, MergedTimeline]:
    """Read a process that reports a dead one, then read its new events."""
    recorder = Recorder(NodeId("x"))
    runner = web.AppRunner(make_app(recorder))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    recorder.node = NodeId(f"{host}:{port}")
    dead = TimelineEvent(Topic.MEMBERSHIP, "<lease> lapsed", server=DEAD)
    recorder.record(1_000, dead)
    try:
        async with gatherer(2.0) as client:
            first = await client.gather([recorder.node])
            recorder.record(2_000, TimelineEvent(Topic.STORE, "store back"))
            return first, await client.gather([])
    finally:
        await runner.cleanup()


def test_gather_discovers_processes_and_reports_unresponsive_ones() -> None:
    first, second = asyncio.run(gather_twice())
    assert [item.event.text for item in first.events] == ["<lease> lapsed"]
    assert {entry.node for entry in first.silent} == {DEAD, KNOWN}
    assert [item.event.text for item in second.events] == ["store back"]


def test_page_has_a_column_for_a_dead_process_and_escapes_text() -> None:
    first, _ = asyncio.run(gather_twice())
    text = page(first)
    assert f'<th class="silent">{DEAD}' in text
    assert f"reported by {first.events[0].node}" in text
    assert "&lt;lease&gt; lapsed" in text
    assert "http://" not in text


def test_table_shows_time_process_and_fields() -> None:
    recorder = Recorder(NodeId("10.0.0.1:7000"))
    event = TimelineEvent(Topic.VERDICT, "not run", reason="shed", version=3)
    recorder.record(3_723_004, event)
    line = lines(recorder)
    assert line.startswith("01:02:03.004  10.0.0.1:7000")
    assert line.endswith("not run  reason=shed version=3")


def test_incomplete_question_is_rejected() -> None:
    with pytest.raises(ValueError, match="expected flow CALLER ADDRESS"):
        question(About.FLOW, ["10.0.0.1:1"])

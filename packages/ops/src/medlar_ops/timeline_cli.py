"""The ``timeline`` and ``explain`` commands of medlarctl."""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import enum
import pathlib
import sys
import time

from medlar_core.ids import NodeId
from medlar_core.timeline.events import Topic
from medlar_core.timeline.explain import Confidence
from medlar_core.timeline.explain import explain as answer_to
from medlar_core.timeline.explain import FlowQuestion
from medlar_core.timeline.explain import Question
from medlar_core.timeline.explain import RequestQuestion
from medlar_core.timeline.explain import ServerQuestion
from medlar_core.timeline.explain import VersionQuestion
from medlar_core.timeline.query import Filter
from medlar_core.timeline.query import MergedTimeline
from medlar_core.timeline.query import select
from medlar_core.timeline.wire import encode_lines

from . import explain_flow
from . import log_story
from . import timeline as gathering
from . import timeline_html
from . import timeline_text
from .settings import some_nodes

MS_PER_S = 1_000


class About(enum.Enum):
    """What the explain command can be asked about."""

    FLOW = "flow"
    REQUEST = "request"
    SERVER = "server"
    VERSION = "version"


def timeline(
    *,
    nodes: str = "",
    topic: Topic | None = None,
    service: str = "",
    server: str = "",
    flow: str = "",
    request: str = "",
    kind: str = "",
    since: float = 0.0,
    json: bool = False,
    html: pathlib.Path | None = None,
    follow: bool = False,
) -> None:
    """Show what happened in the fleet, in order of cause and effect.

    :param nodes: ip:port of processes to ask, with commas, or
        MEDLARSTAGE_NODES; others are found there.
    :param topic: only events of this topic, such as drain or verdict.
    :param service: only events of this service.
    :param server: only events by or about this server.
    :param flow: only events of this flow, as its 64-bit key.
    :param request: only events of this request.
    :param kind: only events of this kind of work.
    :param since: only the last so many seconds; 0 for all.
    :param json: print JSON lines.
    :param html: write one page with a lane per process to this file.
    :param follow: go on with new events until interrupted.
    """
    since_ms = int((time.time() - since) * MS_PER_S) if since else 0
    wanted = Filter(
        topic=topic,
        service=service,
        server=server,
        flow=flow,
        request=request,
        kind=kind,
        since_ms=since_ms,
    )
    asked = some_nodes(nodes)
    if follow:
        asyncio.run(_follow(asked, wanted, json))
        return
    found = _selected(asyncio.run(gathering.gather_once(asked)), wanted)
    if html is not None:
        html.write_text(timeline_html.page(found))
        _show_silent(found)
        return
    _show_events(found, json)
    _show_silent(found)


def explain(
    about: About,
    *what: str,
    nodes: str = "",
    from_logs: Sequence[pathlib.Path] = (),
) -> None:
    """Tell why a flow, request or server is where it is.

    :param about: flow, request, server, or version for the versions of
        the configuration in force.
    :param what: the flow's caller and address as ip:port, the request's
        id, or the server's ip:port; nothing for version.
    :param nodes: ip:port of processes to ask, with commas, or
        MEDLARSTAGE_NODES; others are found there.
    :param from_logs: files of logs of processes; a flow is explained from
        these alone and no process is asked.
    """
    asked = question(about, what)
    if from_logs:
        _explain_from_logs(asked, from_logs)
        return
    gathered = asyncio.run(gathering.gather_once(some_nodes(nodes)))
    answer = answer_to(asked, gathered)
    routed = _routed(asked, gathered)
    print(answer.sentence)
    if answer.events:
        print(timeline_text.lines(answer.events))
    if routed:
        print(routed)
    _show_silent(gathered)
    nothing = answer.sure is Confidence.NO_EVENTS and not routed
    sys.exit(1 if nothing else 0)


def _explain_from_logs(asked: Question, paths: Sequence[pathlib.Path]) -> None:
    """Tell the story of a flow from log files.

    :raises ValueError: if a file cannot be read or no flow is asked for.
    """
    if not isinstance(asked, FlowQuestion):
        raise ValueError("expected flow CALLER ADDRESS with --from-logs")
    flow = f"{asked.caller}>{asked.address}"
    try:
        story = log_story.tell(flow, log_story.read(paths))
    except OSError as exc:
        raise ValueError(str(exc)) from exc
    print(log_story.text(story))
    if story.unreadable:
        print(f"{story.unreadable} lines passed over", file=sys.stderr)
    sys.exit(0 if story.lines else 1)


def question(about: About, what: Sequence[str]) -> Question:
    """Return the question that the command's words ask.

    :raises ValueError: if the words do not fit what is asked about.
    """
    match about, what:
        case About.FLOW, [caller, address]:
            return FlowQuestion(caller, address)
        case About.REQUEST, [request]:
            return RequestQuestion(request)
        case About.SERVER, [server]:
            return ServerQuestion(server)
        case About.VERSION, []:
            return VersionQuestion()
    raise ValueError(
        "expected flow CALLER ADDRESS, request ID, server IP:PORT or "
        f"version, got {about.value} {' '.join(what)}"
    )


def _routed(asked: Question, gathered: MergedTimeline) -> str:
    """Return how processes route a flow now; empty for other questions."""
    match asked:
        case FlowQuestion(caller=caller, address=address):
            nodes = gathered.answered
            return explain_flow.lines(
                asyncio.run(explain_flow.ask_all(nodes, caller, address))
            )
    return ""


async def _follow(nodes: Iterable[NodeId], wanted: Filter, json: bool) -> None:
    """Show what is new, and who is silent each time that changes."""
    silent: set[NodeId] = set()
    async for gathered in gathering.follow(nodes):
        found = _selected(gathered, wanted)
        _show_events(found, json)
        now_silent = {entry.node for entry in found.silent}
        if now_silent != silent:
            _show_silent(found)
        silent = now_silent


def _selected(gathered: MergedTimeline, wanted: Filter) -> MergedTimeline:
    return MergedTimeline(select(gathered.events, wanted), gathered.silent)


def _show_events(found: MergedTimeline, json: bool) -> None:
    if json:
        sys.stdout.write(encode_lines(found.events).decode())
    elif found.events:
        print(timeline_text.lines(found.events))
    sys.stdout.flush()


def _show_silent(found: MergedTimeline) -> None:
    """Name the processes that did not answer, beside the output."""
    if found.silent:
        print(timeline_text.silent_lines(found.silent), file=sys.stderr)

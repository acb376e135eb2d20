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
from . import explain_logs
from . import timeline as timelines
from . import timeline_html
from . import timeline_text
from .settings import require_nodes

MS_PER_S = 1_000


class About(enum.Enum):
    """Subjects of the explain command."""

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
    """Show the events of the fleet in causal order.

    :param nodes: ip:port of processes to query, separated by commas, or
        MEDLARSTAGE_NODES; the processes that they know are queried too.
    :param topic: only events of this topic, such as drain or verdict.
    :param service: only events of this service.
    :param server: only events by or about this server.
    :param flow: only events of this flow, as its 64-bit key.
    :param request: only events of this request.
    :param kind: only events of this kind of work.
    :param since: only events of the last so many seconds; 0 for all.
    :param json: print JSON lines.
    :param html: write an HTML page with a column per process to this file.
    :param follow: show new events until interrupted.
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
    start_nodes = require_nodes(nodes)
    if follow:
        asyncio.run(_follow(start_nodes, wanted, json))
        return
    found = _select(asyncio.run(timelines.gather_once(start_nodes)), wanted)
    if html is not None:
        html.write_text(timeline_html.page(found))
        _show_not_responding(found)
        return
    _show_events(found, json)
    _show_not_responding(found)


def explain(
    about: About,
    *what: str,
    nodes: str = "",
    from_logs: Sequence[pathlib.Path] = (),
) -> None:
    """Explain the route of a flow, the end of a request, or a server's state.

    :param about: flow, request, server, or version for the versions of
        the configuration in force.
    :param what: the flow's caller and address as ip:port, the request's
        id, or the server's ip:port; nothing for version.
    :param nodes: ip:port of processes to query, separated by commas, or
        MEDLARSTAGE_NODES; the processes that they know are queried too.
    :param from_logs: log files of processes; a flow is explained from
        these files only and no process is queried.
    """
    query = question(about, what)
    if from_logs:
        _explain_from_logs(query, from_logs)
        return
    gathered = asyncio.run(timelines.gather_once(require_nodes(nodes)))
    answer = answer_to(query, gathered)
    routing = _current_routing(query, gathered)
    print(answer.sentence)
    if answer.events:
        print(timeline_text.lines(answer.events))
    if routing:
        print(routing)
    _show_not_responding(gathered)
    is_unanswered = answer.sure is Confidence.NO_EVENTS and not routing
    sys.exit(1 if is_unanswered else 0)


def _explain_from_logs(query: Question, paths: Sequence[pathlib.Path]) -> None:
    """Explain a flow from log files.

    :raises ValueError: if a file cannot be read or the question is not
        about a flow.
    """
    if not isinstance(query, FlowQuestion):
        raise ValueError(
            "--from-logs explains flows only: expected flow CALLER ADDRESS"
        )
    flow = f"{query.caller}>{query.address}"
    try:
        trace = explain_logs.trace(flow, explain_logs.read(paths))
    except OSError as exc:
        raise ValueError(str(exc)) from exc
    print(explain_logs.text(trace))
    if trace.unreadable:
        print(
            f"ignored {trace.unreadable} lines of other programs",
            file=sys.stderr,
        )
    sys.exit(0 if trace.lines else 1)


def question(about: About, what: Sequence[str]) -> Question:
    """Return the question that the command's arguments ask.

    :raises ValueError: if the arguments do not fit the subject.
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


def _current_routing(query: Question, gathered: MergedTimeline) -> str:
    """Return how processes now route a flow; empty for other questions."""
    match query:
        case FlowQuestion(caller=caller, address=address):
            nodes = gathered.answered
            return explain_flow.lines(
                asyncio.run(explain_flow.query_all(nodes, caller, address))
            )
    return ""


async def _follow(nodes: Iterable[NodeId], wanted: Filter, json: bool) -> None:
    """Show new events, and the processes not responding when they change."""
    not_responding: set[NodeId] = set()
    async for gathered in timelines.follow(nodes):
        found = _select(gathered, wanted)
        _show_events(found, json)
        now_not_responding = {entry.node for entry in found.silent}
        if now_not_responding != not_responding:
            _show_not_responding(found)
        not_responding = now_not_responding


def _select(gathered: MergedTimeline, wanted: Filter) -> MergedTimeline:
    return MergedTimeline(select(gathered.events, wanted), gathered.silent)


def _show_events(found: MergedTimeline, json: bool) -> None:
    if json:
        sys.stdout.write(encode_lines(found.events).decode())
    elif found.events:
        print(timeline_text.lines(found.events))
    sys.stdout.flush()


def _show_not_responding(found: MergedTimeline) -> None:
    """Print the processes that did not respond to standard error."""
    if found.silent:
        print(timeline_text.silent_lines(found.silent), file=sys.stderr)

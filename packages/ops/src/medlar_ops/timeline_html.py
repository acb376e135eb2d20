"""Formats the time line as an HTML page with a column per process.

The page needs no other file and no network. An event is shown in the
column of the process that recorded it. The column of the server that it
is about shows a reference, so that the column of a dead process shows
what other processes reported about it.
"""

from collections.abc import Sequence
import html

from medlar_core.ids import NodeId
from medlar_core.timeline.events import Topic
from medlar_core.timeline.hlc import StampedEvent
from medlar_core.timeline.query import MergedTimeline

from .timeline_text import clock_text
from .timeline_text import details

_STYLE = """
body { font: 14px sans-serif; margin: 1rem; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #eee; }
th, td { border-left: 1px solid #ccc; padding: 2px 6px; text-align: left; }
tr:hover { background: #f6f6f6; }
.silent { color: #a00; }
.time, .about { color: #777; white-space: nowrap; }
.topic { border-radius: 3px; padding: 0 4px; }
small { color: #555; display: block; }
"""
_SCRIPT = """
const box = document.getElementById("find");
box.addEventListener("input", () => {
  const want = box.value.toLowerCase();
  for (const row of document.querySelectorAll("tbody tr")) {
    row.hidden = !row.textContent.toLowerCase().includes(want);
  }
});
"""
_HUE_STEP = 47
"""Degrees between the hues of successive topics, to tell them apart."""


def page(gathered: MergedTimeline) -> str:
    """Return the HTML page of a merged time line."""
    columns = _columns(gathered)
    silent = {entry.node: entry.why for entry in gathered.silent}
    headers = "".join(_header(node, silent.get(node)) for node in columns)
    rows = "\n".join(_row(item, columns) for item in gathered.events)
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f"<title>Time line</title><style>{_STYLE}{_topic_styles()}</style>"
        "<h1>Time line</h1>"
        f"<p>{len(gathered.events)} events of {len(columns)} processes; "
        f"{len(silent)} did not respond. Times are UTC.</p>"
        '<p><label>Show rows with <input id="find"></label></p>'
        f"<table><thead><tr><th>time</th>{headers}</tr></thead>"
        f"<tbody>\n{rows}\n</tbody></table>"
        f"<script>{_SCRIPT}</script></html>\n"
    )


def _columns(gathered: MergedTimeline) -> Sequence[NodeId]:
    """Return the processes that have a column.

    These recorded events, are the server of an event, or did not respond.
    """
    nodes = {item.node for item in gathered.events}
    about = {item.event.server for item in gathered.events}
    nodes |= {NodeId(server) for server in about if server}
    nodes |= {entry.node for entry in gathered.silent}
    return sorted(nodes)


def _header(node: NodeId, why: str | None) -> str:
    if why is None:
        return f"<th>{html.escape(node)}</th>"
    text = f"{html.escape(node)}<small>no answer: {html.escape(why)}</small>"
    return f'<th class="silent">{text}</th>'


def _row(item: StampedEvent, columns: Sequence[NodeId]) -> str:
    cells = "".join(f"<td>{_cell(item, node)}</td>" for node in columns)
    time = f'<td class="time">{clock_text(item.stamp)}</td>'
    return f"<tr>{time}{cells}</tr>"


def _cell(item: StampedEvent, column: NodeId) -> str:
    """Return the content of the cell of an event in a column."""
    event = item.event
    if column == item.node:
        topic = event.topic.value
        mark = f'<span class="topic {topic}">{topic}</span>'
        fields = html.escape(details(item))
        return f"{mark} {html.escape(event.text)}<small>{fields}</small>"
    if column == event.server:
        return (
            f'<span class="about">reported by {html.escape(item.node)}</span>'
        )
    return ""


def _topic_styles() -> str:
    """Return the style rules with the colour of each topic."""
    return "".join(
        f".{topic.value} {{ background: hsl({n * _HUE_STEP % 360} 70% 85%) }}"
        for n, topic in enumerate(Topic)
    )

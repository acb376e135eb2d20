"""The time line as one page of HTML with a lane per process.

The page needs no other file and no network. An event stands in the lane
of the process that recorded it; in the lane of the process that it is
about stands a mark, so that the lane of a dead process shows what those
who saw it told.
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
"""Degrees between the hues of two topics, so that neighbours differ."""


def page(gathered: MergedTimeline) -> str:
    """Return the page of a gathered time line."""
    lanes = _lanes(gathered)
    silent = {entry.node: entry.why for entry in gathered.silent}
    heads = "".join(_head(node, silent.get(node)) for node in lanes)
    rows = "\n".join(_row(item, lanes) for item in gathered.events)
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f"<title>Time line</title><style>{_STYLE}{_topics()}</style>"
        "<h1>Time line</h1>"
        f"<p>{len(gathered.events)} events of {len(lanes)} processes; "
        f"{len(silent)} did not answer. Times are UTC.</p>"
        '<p><label>Show rows with <input id="find"></label></p>'
        f"<table><thead><tr><th>time</th>{heads}</tr></thead>"
        f"<tbody>\n{rows}\n</tbody></table>"
        f"<script>{_SCRIPT}</script></html>\n"
    )


def _lanes(gathered: MergedTimeline) -> Sequence[NodeId]:
    """Return who has a lane: who told, who was told of, who is silent."""
    nodes = {item.node for item in gathered.events}
    about = {item.event.server for item in gathered.events}
    nodes |= {NodeId(server) for server in about if server}
    nodes |= {entry.node for entry in gathered.silent}
    return sorted(nodes)


def _head(node: NodeId, why: str | None) -> str:
    if why is None:
        return f"<th>{html.escape(node)}</th>"
    text = f"{html.escape(node)}<small>no answer: {html.escape(why)}</small>"
    return f'<th class="silent">{text}</th>'


def _row(item: StampedEvent, lanes: Sequence[NodeId]) -> str:
    cells = "".join(f"<td>{_cell(item, node)}</td>" for node in lanes)
    time = f'<td class="time">{clock_text(item.stamp)}</td>'
    return f"<tr>{time}{cells}</tr>"


def _cell(item: StampedEvent, lane: NodeId) -> str:
    """Return what stands in one lane for an event."""
    event = item.event
    if lane == item.node:
        topic = event.topic.value
        mark = f'<span class="topic {topic}">{topic}</span>'
        fields = html.escape(details(item))
        return f"{mark} {html.escape(event.text)}<small>{fields}</small>"
    if lane == event.server:
        return f'<span class="about">told by {html.escape(item.node)}</span>'
    return ""


def _topics() -> str:
    """Return a colour for each topic."""
    return "".join(
        f".{topic.value} {{ background: hsl({n * _HUE_STEP % 360} 70% 85%) }}"
        for n, topic in enumerate(Topic)
    )

"""Formats the time line as plain text."""

from collections.abc import Iterable
import datetime

from medlar_core.timeline.hlc import Stamp
from medlar_core.timeline.hlc import StampedEvent
from medlar_core.timeline.query import NoResponse

MS_PER_S = 1_000


def clock_text(stamp: Stamp) -> str:
    """Return a stamp as ``HH:MM:SS.mmm`` in UTC."""
    at = datetime.datetime.fromtimestamp(stamp.ms / MS_PER_S, tz=datetime.UTC)
    return at.strftime("%H:%M:%S.%f")[:-3]


def details(item: StampedEvent) -> str:
    """Return the non-empty fields of an event as ``name=value``."""
    event = item.event
    fields = {
        "service": event.service,
        "server": event.server,
        "flow": event.flow,
        "request": event.request,
        "kind": event.kind,
        "reason": event.reason,
        "version": str(event.version or ""),
    }
    return " ".join(f"{name}={v}" for name, v in fields.items() if v)


def lines(events: Iterable[StampedEvent]) -> str:
    """Return one line per event: time, process, topic, text, fields."""
    rows = [
        f"{clock_text(item.stamp)}  {item.node:<21}  "
        f"{item.event.topic.value:<13}  {item.event.text}  {details(item)}"
        for item in events
    ]
    return "\n".join(row.rstrip() for row in rows)


def silent_lines(silent: Iterable[NoResponse]) -> str:
    """Return one line per process that did not respond."""
    return "\n".join(f"no answer: {s.node}: {s.why}" for s in silent)

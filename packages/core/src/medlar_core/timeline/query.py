"""Merges and filters the time lines of processes."""

from collections.abc import Iterable
import heapq
from typing import NamedTuple

import msgspec

from ..ids import NodeId
from .events import Topic
from .hlc import StampedEvent

_PUNCTUATION = ",.;:()'\""
"""Punctuation that is stripped from the words of an event's text."""


class Filter(msgspec.Struct, frozen=True):
    """Selects events; an empty field matches all.

    ``server`` also matches events whose text contains the server.
    ``since_ms`` is wall clock milliseconds; ``node`` is the process that
    recorded the event.
    """

    topic: Topic | None = None
    service: str = ""
    server: str = ""
    flow: str = ""
    request: str = ""
    kind: str = ""
    node: str = ""
    since_ms: int = 0

    def matches(self, item: StampedEvent) -> bool:
        """Return whether an event matches the filter."""
        event = item.event
        if self.topic is not None and event.topic is not self.topic:
            return False
        if item.stamp.ms < self.since_ms:
            return False
        if self.server and not involves(item, self.server):
            return False
        wanted = (self.service, self.flow, self.request, self.kind, self.node)
        actual = (
            event.service,
            event.flow,
            event.request,
            event.kind,
            item.node,
        )
        pairs = zip(wanted, actual, strict=True)
        return all(not want or want == value for want, value in pairs)


class NoResponse(msgspec.Struct, frozen=True):
    """A process that did not answer, and why."""

    node: NodeId
    why: str


class MergedTimeline(msgspec.Struct, frozen=True):
    """The merged time line, and which processes answered or not."""

    events: tuple[StampedEvent, ...]
    silent: tuple[NoResponse, ...] = ()
    answered: tuple[NodeId, ...] = ()


def involves(item: StampedEvent, node: str) -> bool:
    """Return whether a process recorded an event or the event is about it."""
    event = item.event
    if node in (item.node, event.server):
        return True
    return node in [word.strip(_PUNCTUATION) for word in event.text.split()]


def merge(lists: Iterable[Iterable[StampedEvent]]) -> tuple[StampedEvent, ...]:
    """Return all events ordered by stamp, then by process.

    Each list must be ordered by stamp, as a Recorder returns it.
    Duplicate events are removed.
    """
    merged: list[StampedEvent] = []
    for item in heapq.merge(*lists, key=_order):
        if not merged or _order(merged[-1]) != _order(item):
            merged.append(item)
    return tuple(merged)


def select(
    events: Iterable[StampedEvent], wanted: Filter
) -> tuple[StampedEvent, ...]:
    """Return the events that match a filter, in their order."""
    return tuple(item for item in events if wanted.matches(item))


class _Order(NamedTuple):
    ms: int
    counter: int
    node: NodeId


def _order(item: StampedEvent) -> _Order:
    return _Order(item.stamp.ms, item.stamp.counter, item.node)

"""Merging the time lines of many processes, and filters over them."""

from collections.abc import Iterable
import heapq
from typing import NamedTuple

import msgspec

from ..ids import NodeId
from .events import Topic
from .hlc import StampedEvent

_MARKS = ",.;:()'\""
"""Marks around a word of a sentence."""


class Filter(msgspec.Struct, frozen=True):
    """Which events are wanted; an empty field wants all.

    ``server`` also finds what any process said of it in its text.
    ``since_ms`` is wall milliseconds; ``node`` is who recorded.
    """

    topic: Topic | None = None
    service: str = ""
    server: str = ""
    flow: str = ""
    request: str = ""
    kind: str = ""
    node: str = ""
    since_ms: int = 0

    def wants(self, item: StampedEvent) -> bool:
        """Return whether an event passes the filter."""
        event = item.event
        if self.topic is not None and event.topic is not self.topic:
            return False
        if item.stamp.ms < self.since_ms:
            return False
        if self.server and not tells_of(item, self.server):
            return False
        wanted = (self.service, self.flow, self.request, self.kind, self.node)
        has = (
            event.service,
            event.flow,
            event.request,
            event.kind,
            item.node,
        )
        pairs = zip(wanted, has, strict=True)
        return all(not want or want == value for want, value in pairs)


class Silent(msgspec.Struct, frozen=True):
    """A process that did not answer, and why."""

    node: NodeId
    why: str


class MergedTimeline(msgspec.Struct, frozen=True):
    """The merged time line, who answered and who did not."""

    events: tuple[StampedEvent, ...]
    silent: tuple[Silent, ...] = ()
    answered: tuple[NodeId, ...] = ()


def tells_of(item: StampedEvent, node: str) -> bool:
    """Return whether an event is by a process or about it."""
    event = item.event
    if node in (item.node, event.server):
        return True
    return node in [word.strip(_MARKS) for word in event.text.split()]


def merge(lists: Iterable[Iterable[StampedEvent]]) -> tuple[StampedEvent, ...]:
    """Return all events in one order: by stamp, then by process.

    Each list must be in order of its stamps, as a Recorder gives it.
    An event that came twice is kept once.
    """
    merged: list[StampedEvent] = []
    for item in heapq.merge(*lists, key=_order):
        if not merged or _order(merged[-1]) != _order(item):
            merged.append(item)
    return tuple(merged)


def select(
    events: Iterable[StampedEvent], wanted: Filter
) -> tuple[StampedEvent, ...]:
    """Return the events that pass a filter, in their order."""
    return tuple(item for item in events if wanted.wants(item))


class _Order(NamedTuple):
    ms: int
    counter: int
    node: NodeId


def _order(item: StampedEvent) -> _Order:
    return _Order(item.stamp.ms, item.stamp.counter, item.node)

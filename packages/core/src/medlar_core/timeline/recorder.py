"""The bounded time line of one process.

Each topic has a ring and a rate limit of its own, so that a flood of
one kind of event pushes out neither the rare ones of other topics nor
the first ones of its own.
"""

import collections
from collections.abc import Iterator
import heapq
from typing import NamedTuple

import msgspec

from ..ids import NodeId
from .events import TimelineEvent
from .events import Topic
from .hlc import Hlc
from .hlc import Stamp
from .hlc import StampedEvent

CAPACITY = 6_000
"""Events that a process keeps, all topics together."""
RATE_PER_S = 5.0
"""Events of one topic and reason that are recorded each second."""
BURST = 50.0
"""Events of one topic and reason that may come at once."""
MAX_LIMITS = 256
"""Pairs of topic and reason with a limit of their own."""
MAX_FIELD_CHARS = 200
ANSWER_LIMIT = 4_000
"""Events in one answer; who asks goes on from the last stamp."""


class LimitKey(NamedTuple):
    """What a rate limit is for."""

    topic: Topic
    reason: str


class _Limit:
    """A token bucket that counts what it held back."""

    def __init__(self, wall_ms: int, rate_per_s: float) -> None:
        self.tokens = BURST
        self.held_back = 0
        self._rate_per_s = rate_per_s
        self._last_ms = wall_ms

    def take(self, wall_ms: int) -> bool:
        elapsed_ms = max(0, wall_ms - self._last_ms)
        self._last_ms = wall_ms
        refill = elapsed_ms / 1_000 * self._rate_per_s
        self.tokens = min(BURST, self.tokens + refill)
        if self.tokens < 1.0:
            self.held_back += 1
            return False
        self.tokens -= 1.0
        return True


class Recorder:
    """Keeps the latest events of a process, each with a stamp.

    ``recorded`` and ``held_back`` count events since the start. Times
    are wall milliseconds given by the caller.
    """

    def __init__(
        self,
        node: NodeId,
        capacity: int = CAPACITY,
        rate_per_s: float = RATE_PER_S,
    ) -> None:
        self.node = node
        self._rate_per_s = rate_per_s
        self.clock = Hlc()
        self.recorded = 0
        self.held_back = 0
        each = max(1, capacity // len(Topic))
        self._rings: dict[Topic, collections.deque[StampedEvent]] = {
            topic: collections.deque(maxlen=each) for topic in Topic
        }
        self._limits: dict[LimitKey, _Limit] = {}

    def record(self, wall_ms: int, event: TimelineEvent) -> bool:
        """Put an event on the time line.

        Returns False if the rate limit of its topic held it back.
        """
        limit = self._limit(wall_ms, event)
        if not limit.take(wall_ms):
            self.held_back += 1
            return False
        if limit.held_back:
            self._append(wall_ms, _left_out(event, limit.held_back))
            limit.held_back = 0
        self._append(wall_ms, _cut(event))
        return True

    def since(
        self, after: Stamp | None = None, limit: int = ANSWER_LIMIT
    ) -> list[StampedEvent]:
        """Return events after a stamp in order, at most ``limit``.

        Without a stamp the latest events are returned.
        """
        if after is None:
            return self._merged()[-limit:]
        later = [item for item in self._merged() if item.stamp > after]
        return later[:limit]

    def __len__(self) -> int:
        return sum(len(ring) for ring in self._rings.values())

    def __iter__(self) -> Iterator[StampedEvent]:
        return iter(self._merged())

    def _merged(self) -> list[StampedEvent]:
        rings = self._rings.values()
        return list(heapq.merge(*rings, key=lambda item: item.stamp))

    def _append(self, wall_ms: int, event: TimelineEvent) -> None:
        stamped = StampedEvent(self.node, self.clock.tick(wall_ms), event)
        self._rings[event.topic].append(stamped)
        self.recorded += 1

    def _limit(self, wall_ms: int, event: TimelineEvent) -> _Limit:
        key = LimitKey(event.topic, event.reason)
        if key not in self._limits and len(self._limits) >= MAX_LIMITS:
            key = LimitKey(event.topic, "")
        return self._limits.setdefault(key, _Limit(wall_ms, self._rate_per_s))


def _left_out(event: TimelineEvent, count: int) -> TimelineEvent:
    """Return the event that tells how many like this were held back."""
    return TimelineEvent(
        event.topic,
        f"{count} events like the next left out",
        reason=event.reason,
    )


def _cut(event: TimelineEvent) -> TimelineEvent:
    """Return the event with each text at most MAX_FIELD_CHARS long."""
    long = {
        name: value[:MAX_FIELD_CHARS]
        for name in event.__struct_fields__
        if isinstance(value := getattr(event, name), str)
        and len(value) > MAX_FIELD_CHARS
    }
    return msgspec.structs.replace(event, **long) if long else event

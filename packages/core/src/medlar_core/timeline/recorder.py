"""The bounded time line of one process.

Each topic has its own ring buffer and each topic and reason its own rate
limit. A flood of one kind of event therefore evicts neither the rare
events of other topics nor the first events of its own.
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
"""Events that a process keeps, over all topics."""
RATE_PER_S = 5.0
"""Events of one topic and reason that are recorded each second."""
BURST = 50.0
"""Events of one topic and reason that are recorded at once."""
MAX_LIMITS = 256
"""Rate limits kept; further reasons share one limit per topic."""
MAX_FIELD_CHARS = 200
ANSWER_LIMIT = 4_000
"""Events per response; the client continues from the last stamp."""


class LimitKey(NamedTuple):
    """The events that a rate limit applies to."""

    topic: Topic
    reason: str


class _Limit:
    """A token bucket that counts the events it suppressed."""

    def __init__(self, wall_ms: int, rate_per_s: float) -> None:
        self.tokens = BURST
        self.suppressed = 0
        self._rate_per_s = rate_per_s
        self._last_ms = wall_ms

    def take(self, wall_ms: int) -> bool:
        elapsed_ms = max(0, wall_ms - self._last_ms)
        self._last_ms = wall_ms
        refill = elapsed_ms / 1_000 * self._rate_per_s
        self.tokens = min(BURST, self.tokens + refill)
        if self.tokens < 1.0:
            self.suppressed += 1
            return False
        self.tokens -= 1.0
        return True


class Recorder:
    """Keeps the latest events of a process, each with a stamp.

    ``recorded`` and ``suppressed`` count recorded and suppressed events
    since the start. Times are wall clock milliseconds.
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
        self.suppressed = 0
        per_topic = max(1, capacity // len(Topic))
        self._rings: dict[Topic, collections.deque[StampedEvent]] = {
            topic: collections.deque(maxlen=per_topic) for topic in Topic
        }
        self._limits: dict[LimitKey, _Limit] = {}

    def record(self, wall_ms: int, event: TimelineEvent) -> bool:
        """Record an event on the time line.

        Returns False if a rate limit suppressed the event.
        """
        limit = self._limit(wall_ms, event)
        if not limit.take(wall_ms):
            self.suppressed += 1
            return False
        if limit.suppressed:
            self._append(wall_ms, _suppression_event(event, limit.suppressed))
            limit.suppressed = 0
        self._append(wall_ms, _truncate(event))
        return True

    def since(
        self, after: Stamp | None = None, limit: int = ANSWER_LIMIT
    ) -> list[StampedEvent]:
        """Return events after a stamp in order, at most ``limit``.

        Without a stamp, the latest events are returned.
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


def _suppression_event(event: TimelineEvent, count: int) -> TimelineEvent:
    """Return the event that reports how many similar ones were suppressed."""
    return TimelineEvent(
        event.topic,
        f"{count} events like the next left out",
        reason=event.reason,
    )


def _truncate(event: TimelineEvent) -> TimelineEvent:
    """Return the event with each field truncated to MAX_FIELD_CHARS."""
    truncated = {
        name: value[:MAX_FIELD_CHARS]
        for name in event.__struct_fields__
        if isinstance(value := getattr(event, name), str)
        and len(value) > MAX_FIELD_CHARS
    }
    return msgspec.structs.replace(event, **truncated) if truncated else event

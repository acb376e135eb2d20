"""Queues of work that waits for a slot."""

import collections
from collections.abc import Iterator

import msgspec

from ..config.model import Kind
from ..ids import AttemptId
from ..ids import IdempotencyKey
from ..ids import KindName


class Work(msgspec.Struct):
    """Work that waits or runs; ``due`` is its deadline on the local clock.

    ``waiting`` lists the attempts that wait for its answer. ``id`` is the
    one whose body is used.
    """

    id: AttemptId
    kind: Kind
    key: IdempotencyKey | None
    due: float
    waiting: list[AttemptId]

    @property
    def keyed(self) -> bool:
        """Whether the key determines if this work may start."""
        return self.key is not None and not self.kind.idempotent


class Queues:
    """Queued work, first in first out within each kind."""

    def __init__(self) -> None:
        self._queues: dict[KindName, collections.deque[Work]] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self) -> Iterator[Work]:
        for queue in self._queues.values():
            yield from queue

    def kinds(self) -> list[KindName]:
        """Return the kinds that have queued work."""
        return [kind for kind, queue in self._queues.items() if queue]

    def length(self, kind: KindName) -> int:
        """Return the queue length of a kind."""
        return len(self._queues.get(kind, ()))

    def put(self, work: Work, first: bool = False) -> None:
        """Add work at the end of its kind's queue, or first in it."""
        queue = self._queues.setdefault(work.kind.name, collections.deque())
        if first:
            queue.appendleft(work)
        else:
            queue.append(work)

    def take(self, kind: KindName) -> Work:
        """Remove and return the first work of a kind."""
        return self._queues[kind].popleft()

    def drop(self, work: Work) -> None:
        """Remove work from its queue."""
        self._queues[work.kind.name].remove(work)

    def late(self, now: float, means: float) -> list[Work]:
        """Remove and return work with too little time left to run."""
        found = [w for w in self if w.due - means * w.kind.mean_s < now]
        for work in found:
            self.drop(work)
        return found

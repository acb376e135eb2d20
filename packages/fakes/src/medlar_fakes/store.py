"""In-memory key-value store with leases, watches and injected faults."""

import collections
from collections.abc import Callable
import random

from medlar_core import store as ops

from .clock import Clock

Answered = Callable[[ops.StoreAnswer], None]
TIMEOUT_S = 2.0


class Store:
    """The platform's key-value store in virtual time.

    While ``down``, calls fail after a time-out. ``slow_s`` delays answers,
    and ``lose_answers`` is the share of writes whose answer is lost after
    the write took effect. ``calls`` counts calls by (second, kind).
    """

    def __init__(self, clock: Clock, seed: int = 0) -> None:
        self.clock = clock
        self.rng = random.Random(seed)
        self.down = False
        self.slow_s = 0.002
        self.lose_answers = 0.0
        self.revision: ops.Revision = 0
        self.calls: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self.items: dict[str, ops.Item] = {}
        self._deleted: dict[str, ops.Revision] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._granted = 0
        self._compacted: ops.Revision = 0
        self._watches: list[tuple[ops.Watch, Answered, float]] = []

    def call(self, op: ops.StoreOp, answered: Answered) -> None:
        """Execute a call; ``answered`` receives the answer later."""
        kind = "write" if _writes(op) else "read"
        self.calls[(int(self.clock.now), kind)] += 1
        if self.down:
            unavailable = ops.Unavailable("store is down")
            self.clock.after(TIMEOUT_S, lambda: answered(unavailable))
            return
        self._expire()
        if isinstance(op, ops.Watch):
            self._add_watch(op, answered)
            return
        answer = self._apply(op)
        if _writes(op) and self.rng.random() < self.lose_answers:
            answer = ops.Unavailable("no answer in time")
        self.clock.after(self.slow_s, lambda: answered(answer))
        self._answer_watches()

    def compact(self) -> None:
        """Drop the history, and cut the watches that wait."""
        self._compacted = self.revision
        cut, self._watches = self._watches, []
        for _, answered, _ in cut:
            self._later(answered, ops.Unavailable("watch was cut"))

    def rate(self, kind: str) -> int:
        """Return the peak calls per second of a kind, read or write."""
        found = [n for (_, k), n in self.calls.items() if k == kind]
        return max(found, default=0)

    def _apply(self, op: ops.StoreOp) -> ops.StoreAnswer:
        match op:
            case ops.Get(key=key):
                item = self.items.get(key)
                return ops.Found((item,) if item else (), self.revision)
            case ops.List(prefix=prefix):
                return ops.Found(self._list(prefix, 0), self.revision)
            case ops.Compare(key=key, revision=revision):
                item = self.items.get(key)
                if item is not None and item.revision == revision:
                    return ops.Changed((), (), self.revision)
                return ops.Found((item,) if item else (), self.revision)
            case ops.Put():
                return self._put(op)
            case ops.Delete(key=key, expected=expected):
                return self._delete(key, expected)
            case ops.LeaseGrant(ttl_s=ttl_s):
                return self._grant(ttl_s)
            case ops.LeaseKeep(lease=lease):
                return self._keep(lease)
            case ops.Watch():
                raise AssertionError("expected no watch: watches wait")

    def _put(self, op: ops.Put) -> ops.StoreAnswer:
        current = self.items.get(op.key)
        actual = current.revision if current else 0
        if actual != op.expected:
            return ops.Conflict(actual)
        if op.lease and op.lease not in self._leases:
            return ops.LeaseLapsed(op.lease)
        self.revision += 1
        item = ops.Item(op.key, op.value, self.revision, op.lease)
        self.items[op.key] = item
        self._deleted.pop(op.key, None)
        return ops.Written(self.revision)

    def _delete(self, key: str, expected: ops.Revision) -> ops.StoreAnswer:
        current = self.items.get(key)
        actual = current.revision if current else 0
        if actual != expected or not current:
            return ops.Conflict(actual)
        self.revision += 1
        del self.items[key]
        self._deleted[key] = self.revision
        return ops.Written(self.revision)

    def _grant(self, ttl_s: float) -> ops.StoreAnswer:
        self._granted += 1
        self._leases[self._granted] = (self.clock.now + ttl_s, ttl_s)
        return ops.Leased(self._granted, ttl_s)

    def _keep(self, lease: int) -> ops.StoreAnswer:
        if lease not in self._leases:
            return ops.LeaseLapsed(lease)
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (self.clock.now + ttl_s, ttl_s)
        return ops.Leased(lease, ttl_s)

    def _expire(self) -> None:
        now = self.clock.now
        ended = {i for i, (end, _) in self._leases.items() if end <= now}
        if not ended:
            return
        for lease in ended:
            self._leases[lease] = (float("inf"), 0.0)
        for item in [i for i in self.items.values() if i.lease in ended]:
            self._delete(item.key, item.revision)
        self._leases = {
            i: v for i, v in self._leases.items() if i not in ended
        }
        self._answer_watches()

    def _list(self, prefix: str, after: ops.Revision) -> tuple[ops.Item, ...]:
        found = [
            item
            for key, item in self.items.items()
            if key.startswith(prefix) and item.revision > after
        ]
        return tuple(sorted(found, key=lambda item: item.revision))

    def _add_watch(self, op: ops.Watch, answered: Answered) -> None:
        if op.after < self._compacted:
            self._later(answered, ops.HistoryGone())
            return
        ends = self.clock.now + op.wait_s
        self._watches.append((op, answered, ends))
        self.clock.at(ends, self._answer_watches)
        self._answer_watches()

    def _answer_watches(self) -> None:
        pending = []
        for op, answered, ends in self._watches:
            answer = self._changed(op)
            if answer.items or answer.deleted or ends <= self.clock.now:
                self._later(answered, answer)
            else:
                pending.append((op, answered, ends))
        self._watches = pending

    def _later(self, answered: Answered, answer: ops.StoreAnswer) -> None:
        unavailable = ops.Unavailable("store went down")
        found = unavailable if self.down else answer
        self.clock.after(self.slow_s, lambda: answered(found))

    def _changed(self, op: ops.Watch) -> ops.Changed:
        deleted = [
            key
            for key, at in self._deleted.items()
            if key.startswith(op.prefix) and at > op.after
        ]
        items = self._list(op.prefix, op.after)
        return ops.Changed(items, tuple(deleted), self.revision)


def _writes(op: ops.StoreOp) -> bool:
    """Return whether a call can modify the store."""
    return not isinstance(op, ops.Get | ops.List | ops.Compare | ops.Watch)

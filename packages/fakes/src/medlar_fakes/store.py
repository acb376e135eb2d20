"""A key-value store with leases, watches, outages and lost answers."""

import collections
from collections.abc import Callable
import random

from medlar_core import store as ops

from .clock import Clock

Answered = Callable[[ops.StoreAnswer], None]
TIMEOUT_S = 2.0


class Store:
    """The platform's store in virtual time.

    ``down`` refuses all calls, ``slow_s`` delays answers and
    ``lose_answers`` is the share of writes whose answer is lost after
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
        self._waiting: list[tuple[ops.Watch, Answered, float]] = []

    def call(self, op: ops.StoreOp, answered: Answered) -> None:
        """Carry out a call; the answer comes later in virtual time."""
        kind = "write" if _writes(op) else "read"
        self.calls[(int(self.clock.now), kind)] += 1
        if self.down:
            lost = ops.Unavailable("store is down")
            self.clock.after(TIMEOUT_S, lambda: answered(lost))
            return
        self._expire()
        if isinstance(op, ops.Watch):
            self._wait(op, answered)
            return
        answer = self._apply(op)
        if _writes(op) and self.rng.random() < self.lose_answers:
            answer = ops.Unavailable("no answer in time")
        self.clock.after(self.slow_s, lambda: answered(answer))
        self._wake()

    def rate(self, kind: str) -> int:
        """Return the most calls of a kind, read or write, in a second."""
        found = [n for (_, k), n in self.calls.items() if k == kind]
        return max(found, default=0)

    def _apply(self, op: ops.StoreOp) -> ops.StoreAnswer:
        match op:
            case ops.Get(key=key):
                item = self.items.get(key)
                return ops.Found((item,) if item else (), self.revision)
            case ops.List(prefix=prefix):
                return ops.Found(self._under(prefix, 0), self.revision)
            case ops.Put():
                return self._put(op)
            case ops.Delete(key=key, expected=expected):
                return self._delete(key, expected)
            case ops.LeaseGrant(ttl_s=ttl_s):
                return self._grant(ttl_s)
            case ops.LeaseKeep(lease=lease):
                return self._keep(lease)
            case ops.Watch():
                raise AssertionError("watches wait; they are not applied")

    def _put(self, op: ops.Put) -> ops.StoreAnswer:
        held = self.items.get(op.key)
        actual = held.revision if held else 0
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
        held = self.items.get(key)
        actual = held.revision if held else 0
        if actual != expected or not held:
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
        self._wake()

    def _under(self, prefix: str, after: ops.Revision) -> tuple[ops.Item, ...]:
        found = [
            item
            for key, item in self.items.items()
            if key.startswith(prefix) and item.revision > after
        ]
        return tuple(sorted(found, key=lambda item: item.revision))

    def _wait(self, op: ops.Watch, answered: Answered) -> None:
        ends = self.clock.now + op.wait_s
        self._waiting.append((op, answered, ends))
        self.clock.at(ends, self._wake)
        self._wake()

    def _wake(self) -> None:
        left = []
        for op, answered, ends in self._waiting:
            answer = self._changed(op)
            if answer.items or answer.deleted or ends <= self.clock.now:
                self._later(answered, answer)
            else:
                left.append((op, answered, ends))
        self._waiting = left

    def _later(self, answered: Answered, answer: ops.StoreAnswer) -> None:
        lost = ops.Unavailable("store went down")
        found = lost if self.down else answer
        self.clock.after(self.slow_s, lambda: answered(found))

    def _changed(self, op: ops.Watch) -> ops.Changed:
        gone = [
            key
            for key, at in self._deleted.items()
            if key.startswith(op.prefix) and at > op.after
        ]
        items = self._under(op.prefix, op.after)
        return ops.Changed(items, tuple(gone), self.revision)


def _writes(op: ops.StoreOp) -> bool:
    """Return whether a call may change the store."""
    return not isinstance(op, ops.Get | ops.List | ops.Watch)

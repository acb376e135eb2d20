"""Reads and watches the store for accepted configurations."""

import enum
import random
from typing import TypeAlias

import msgspec

from .. import store as ops
from ..effects import CallStore
from ..ids import ChangeId
from ..ids import Seconds
from ..ids import StoreCallId
from .in_force import Candidate
from .in_force import ConfigInForce
from .problem import Problem
from .records import Head
from .records import HEAD_KEY
from .records import load_tree
from .records import read_head
from .records import StoreRoutine
from .records import StoreUnavailable
from .shards import Tree

WATCH_WAIT_S = 30.0
CALL_TIMEOUT_S = 45.0
"""A call without an answer for this time is abandoned.

It exceeds ``WATCH_WAIT_S``, the time that a watch may wait at the store.
"""
BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
CALL_ID_BITS = 48


class WatchMode(enum.Enum):
    """How a process uses the store: not, for one read, or to watch."""

    NONE = "none"
    READ = "read"
    WATCH = "watch"


class RefusedDocument(msgspec.Struct, frozen=True):
    """A document in the store that must not be put in force."""

    why: Problem


class StoreOutage(msgspec.Struct, frozen=True):
    """The store is unavailable; the version in force stays."""

    why: str


StoreUpdate: TypeAlias = Candidate | RefusedDocument | StoreOutage


class StoreWatch:
    """Reads or watches the head and loads versions newer than in force.

    Calls back off exponentially, with jitter, while the store is
    unavailable.
    """

    def __init__(self, rng: random.Random, current: ConfigInForce) -> None:
        self._rng = rng
        self._current = current
        self._mode = WatchMode.NONE
        self._routine: StoreRoutine[None] | None = None
        self._call: StoreCallId | None = None
        self._called_at = 0.0
        self._retry_at = 0.0
        self._backoff_s = BACKOFF_S
        self._updates: list[StoreUpdate] = []

    def tick(self, now: Seconds, mode: WatchMode) -> list[CallStore]:
        """Switch to a mode; start a routine if one is due."""
        timed_out = (
            self._call is not None and now > self._called_at + CALL_TIMEOUT_S
        )
        if mode is not self._mode or timed_out:
            self._stop()
            self._mode = mode
        if mode is WatchMode.NONE or self._routine or now < self._retry_at:
            return []
        self._routine = self._run(mode)
        return self._resume(now, None)

    def answered(
        self, now: Seconds, call: StoreCallId, answer: ops.StoreAnswer
    ) -> list[CallStore]:
        """Process the answer to the current call; ignore other answers."""
        if call != self._call or self._routine is None:
            return []
        return self._resume(now, answer)

    def take_updates(self) -> list[StoreUpdate]:
        """Return and clear the updates since the last call."""
        updates = self._updates
        self._updates = []
        return updates

    def _stop(self) -> None:
        if self._routine is not None:
            self._routine.close()
        self._routine = None
        self._call = None

    def _resume(
        self, now: Seconds, answer: ops.StoreAnswer | None
    ) -> list[CallStore]:
        assert self._routine is not None
        try:
            # None starts the routine; later calls send an answer.
            op = self._routine.send(answer)  # type: ignore[arg-type]
        except StopIteration:
            self._stop()
            self._retry_at = now + self._backoff_s * self._rng.uniform(0.5, 1)
            self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
            return []
        self._call = StoreCallId(self._rng.getrandbits(CALL_ID_BITS))
        self._called_at = now
        return [CallStore(self._call, op)]

    def _run(self, mode: WatchMode) -> StoreRoutine[None]:
        """Read the head once, or watch it until the store is unavailable."""
        after = 0
        while True:
            if mode is WatchMode.WATCH:
                answer = yield ops.Watch(HEAD_KEY, after, WATCH_WAIT_S)
            else:
                answer = yield ops.Get(HEAD_KEY)
            match answer:
                case ops.Changed() | ops.Found():
                    failure = yield from self._process_items(answer.items)
                    after = answer.revision
                case ops.Unavailable(why=why):
                    failure = StoreUnavailable(why)
                case _:
                    failure = StoreUnavailable(
                        f"unexpected {type(answer).__name__}"
                    )
            if failure is not None:
                self._updates.append(StoreOutage(failure.why))
                return
            if mode is WatchMode.READ:
                return
            self._backoff_s = BACKOFF_S

    def _process_items(
        self, items: tuple[ops.Item, ...]
    ) -> StoreRoutine[StoreUnavailable | None]:
        for item in items:
            if item.key != HEAD_KEY:
                continue
            head = read_head(item.value)
            if isinstance(head, Problem):
                self._updates.append(RefusedDocument(head))
                continue
            failure = yield from self._process_head(head)
            if failure is not None:
                return failure
        return None

    def _process_head(
        self, head: Head
    ) -> StoreRoutine[StoreUnavailable | None]:
        known = self._current.tree
        if head.version <= self._current.version:
            if head.root != self._current.root.hex():
                rollback = Problem(
                    HEAD_KEY,
                    f"version {head.version} with root {head.root}",
                    f"version {self._current.version} or a newer one",
                    "the store lost versions; apply the document again",
                )
                self._updates.append(RefusedDocument(rollback))
            return None
        result = yield from load_tree(head.root, known)
        match result:
            case Tree() as tree:
                change = head.recent[-1].change if head.recent else ""
                candidate = Candidate(tree, head.version, ChangeId(change))
                self._updates.append(candidate)
            case Problem() as problem:
                self._updates.append(RefusedDocument(problem))
            case StoreUnavailable() as failure:
                return failure
        return None

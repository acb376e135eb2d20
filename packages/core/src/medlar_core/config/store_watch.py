"""How the few watchers learn of accepted changes from the store."""

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
"""A call without an answer for so long is given up."""
BACK_OFF_S = 0.5
MAX_BACK_OFF_S = 30.0
CALL_ID_BITS = 48


class WatchMode(enum.Enum):
    """What a process does at the store."""

    NONE = "none"
    READ = "read"
    WATCH = "watch"


class RefusedDocument(msgspec.Struct, frozen=True):
    """A document in the store that is not taken in force."""

    why: Problem


class StoreOutage(msgspec.Struct, frozen=True):
    """The store did not answer; the last good version stays."""

    why: str


StoreUpdate: TypeAlias = Candidate | RefusedDocument | StoreOutage


class StoreWatch:
    """Reads or watches the head and loads what is newer than held.

    Calls back off with jitter while the store does not answer.
    """

    def __init__(self, rng: random.Random, held: ConfigInForce) -> None:
        self._rng = rng
        self._held = held
        self._duty = WatchMode.NONE
        self._task: StoreRoutine[None] | None = None
        self._call: StoreCallId | None = None
        self._called_at = 0.0
        self._again_at = 0.0
        self._back_off = BACK_OFF_S
        self._learned: list[StoreUpdate] = []

    def tick(self, now: Seconds, duty: WatchMode) -> list[CallStore]:
        """Start, go on with or leave the duty."""
        late = (
            self._call is not None and now > self._called_at + CALL_TIMEOUT_S
        )
        if duty is not self._duty or late:
            self._stop()
            self._duty = duty
        if duty is WatchMode.NONE or self._task or now < self._again_at:
            return []
        self._task = self._follow(duty)
        return self._resume(now, None)

    def answered(
        self, now: Seconds, call: StoreCallId, answer: ops.StoreAnswer
    ) -> list[CallStore]:
        """Take the answer to a call; others are left alone."""
        if call != self._call or self._task is None:
            return []
        return self._resume(now, answer)

    def learned(self) -> list[StoreUpdate]:
        """Return and forget what was learned since the last call."""
        found = self._learned
        self._learned = []
        return found

    def _stop(self) -> None:
        if self._task is not None:
            self._task.close()
        self._task = None
        self._call = None

    def _resume(
        self, now: Seconds, answer: ops.StoreAnswer | None
    ) -> list[CallStore]:
        assert self._task is not None
        try:
            # None starts a task; the first answer comes later.
            op = self._task.send(answer)  # type: ignore[arg-type]
        except StopIteration:
            self._stop()
            self._again_at = now + self._back_off * self._rng.uniform(0.5, 1)
            self._back_off = min(self._back_off * 2, MAX_BACK_OFF_S)
            return []
        self._call = StoreCallId(self._rng.getrandbits(CALL_ID_BITS))
        self._called_at = now
        return [CallStore(self._call, op)]

    def _follow(self, duty: WatchMode) -> StoreRoutine[None]:
        """Follow the head until the store does not answer."""
        after = 0
        while True:
            if duty is WatchMode.WATCH:
                answer = yield ops.Watch(HEAD_KEY, after, WATCH_WAIT_S)
            else:
                answer = yield ops.Get(HEAD_KEY)
            match answer:
                case ops.Changed() | ops.Found():
                    down = yield from self._look(answer.items)
                    after = answer.revision
                case ops.Unavailable(why=why):
                    down = StoreUnavailable(why)
                case _:
                    down = StoreUnavailable(
                        f"unexpected {type(answer).__name__}"
                    )
            if down is not None:
                self._learned.append(StoreOutage(down.why))
                return
            if duty is WatchMode.READ:
                return
            self._back_off = BACK_OFF_S

    def _look(
        self, items: tuple[ops.Item, ...]
    ) -> StoreRoutine[StoreUnavailable | None]:
        for item in items:
            if item.key != HEAD_KEY:
                continue
            head = read_head(item.value)
            if isinstance(head, Problem):
                self._learned.append(RefusedDocument(head))
                continue
            down = yield from self._take(head)
            if down is not None:
                return down
        return None

    def _take(self, head: Head) -> StoreRoutine[StoreUnavailable | None]:
        known = self._held.tree
        if head.version <= self._held.version:
            if head.root != self._held.root.hex():
                said = Problem(
                    HEAD_KEY,
                    f"version {head.version} of root {head.root}",
                    f"version {self._held.version} or a newer one",
                    "the store went back; apply the document again",
                )
                self._learned.append(RefusedDocument(said))
            return None
        read = yield from load_tree(head.root, known)
        match read:
            case Tree() as tree:
                change = head.recent[-1].change if head.recent else ""
                new = Candidate(tree, head.version, ChangeId(change))
                self._learned.append(new)
            case Problem() as problem:
                self._learned.append(RefusedDocument(problem))
            case StoreUnavailable() as down:
                return down
        return None

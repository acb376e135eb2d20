"""How a checked document becomes the accepted configuration."""

from collections.abc import Generator
from collections.abc import Iterator
import random
from typing import Any
from typing import TypeAlias

import msgspec

from .. import store as ops
from ..effects import CallStore
from ..effects import Send
from ..events import StoreAnswered
from ..events import Tick
from ..ids import NodeId
from ..ids import Seconds
from ..ids import StoreCallId
from ..ids import Version
from .history import History
from .history import move_to_page
from .history import PLACES_ENTRY
from .history import read_history
from .history import with_authors
from .merge import merge
from .messages import Delta
from .model import Configuration
from .outcome import Accepted
from .outcome import Change
from .outcome import Outcome
from .outcome import Rejected
from .outcome import Unknown
from .problem import Problem
from .records import ChangeRecord
from .records import Head
from .records import HEAD_KEY
from .records import load_tree
from .records import MAX_TOUCHED
from .records import put_immutable
from .records import root_key
from .records import RootRecord
from .records import shard_key
from .records import StoreUnavailable
from .shards import build_tree
from .shards import check_tree
from .shards import compress_json
from .shards import EMPTY_TREE
from .shards import encode_shard
from .shards import patch_between
from .shards import SHARDS
from .shards import Tree

LIMIT_S = 30.0
PAUSE_S = 0.3
MAX_PAUSE_S = 3.0
CALL_TIMEOUT_S = 5.0
CALL_ID_BITS = 48
HANDOVER_NODES = 8
MAX_HANDOVER_BYTES = 16_000


class Finished(msgspec.Struct, frozen=True):
    """The outcome is known; the writer does nothing more."""

    outcome: Outcome


class _Pause(msgspec.Struct, frozen=True):
    """Ask for nothing for a while."""


Step: TypeAlias = ops.StoreOp | _Pause
Writing = Generator[Step, Any, Outcome]
Effect: TypeAlias = CallStore | Send | Finished


class ConfigWriter:
    """Applies one change; ``reduce`` it with Tick and StoreAnswered.

    The only write that accepts it is the conditional write of the head.
    ``nodes`` are told of the accepted version, so that it spreads also
    if the store goes down before a watcher has read it.
    """

    def __init__(
        self,
        change: Change,
        cfg: Configuration,
        rng: random.Random,
        nodes: tuple[NodeId, ...] = (),
        limit_s: float = LIMIT_S,
    ) -> None:
        self._change = change
        self._mine = build_tree(cfg)
        self._rng = rng
        self._nodes = nodes
        self._limit_s = limit_s
        self._ends: float | None = None
        self._steps = self._write()
        self._call: StoreCallId | None = None
        self._due = 0.0
        self._pause = PAUSE_S
        self._written = False
        self._delta: Delta | None = None
        self.outcome: Outcome | None = None

    def reduce(self, now: Seconds, event: Any) -> list[Effect]:
        """Take one event and return the effects to carry out."""
        if self.outcome is not None:
            return []
        if self._ends is None:
            self._ends = now + self._limit_s
            return self._go_on(now, None)
        match event:
            case StoreAnswered(call=call, answer=answer) if call == self._call:
                return self._go_on(now, answer)
            case Tick() if now > self._ends:
                return self._finish(self._unknown())
            case Tick() if now >= self._due:
                late = ops.Unavailable("no answer in time")
                return self._go_on(now, late if self._call else None)
        return []

    def _go_on(self, now: Seconds, answer: Any) -> list[Effect]:
        self._call = None
        try:
            step = self._steps.send(answer)
        except StopIteration as end:
            return self._finish(end.value)
        if isinstance(step, _Pause):
            self._due = now + self._pause * self._rng.uniform(0.5, 1)
            self._pause = min(self._pause * 2, MAX_PAUSE_S)
            return []
        self._call = StoreCallId(1 + self._rng.getrandbits(CALL_ID_BITS))
        self._due = now + CALL_TIMEOUT_S
        return [CallStore(self._call, step)]

    def _finish(self, outcome: Outcome) -> list[Effect]:
        self.outcome = outcome
        effects: list[Effect] = []
        delta = self._delta
        if (
            delta is not None
            and isinstance(outcome, Accepted)
            and delta.version == outcome.version
        ):
            count = min(HANDOVER_NODES, len(self._nodes))
            chosen = self._rng.sample(self._nodes, count)
            effects += [Send(node, delta) for node in chosen]
        return [*effects, Finished(outcome)]

    def _unknown(self) -> Unknown:
        change = self._change
        how = (
            "apply the same document again with"
            f" --change {change.id} --base {change.base}"
        )
        return Unknown(self._change.id, self._written, how)

    # The steps, in order

    def _write(self) -> Writing:
        problems = check_tree(self._mine)
        if problems:
            return Rejected(
                self._change.id, "the document has faults", (), problems
            )
        while True:
            done = yield from self._attempt()
            if not isinstance(done, StoreUnavailable):
                return done
            yield _Pause()

    def _attempt(self) -> Generator[Step, Any, Outcome | StoreUnavailable]:
        """Read what is accepted, merge and write; StoreUnavailable asks for another."""
        history = yield from read_history()
        if isinstance(history, StoreUnavailable):
            return history
        if isinstance(history, Problem):
            return self._reject(f"the store: {history.text}")
        done = self._done_before(history)
        if done is not None:
            return done
        trees = yield from self._load(history)
        if not isinstance(trees, _Sides):
            return trees
        return (yield from self._merge_and_put(history, trees))

    def _done_before(self, history: History) -> Outcome | None:
        record = history.find_change(self._change.id)
        if record is None:
            return None
        if record.proposal != self._mine.root.hex():
            return self._reject(
                f"change id {self._change.id} is that of another document,"
                f" accepted as version {record.version} by {record.by}"
            )
        merged = record.root != record.proposal
        again = not self._written
        return Accepted(self._change.id, record.version, again, merged)

    def _load(
        self, history: History
    ) -> Generator[Step, Any, "_Sides | Outcome | StoreUnavailable"]:
        current = EMPTY_TREE
        if history.head.version:
            read = yield from load_tree(history.head.root, self._mine)
            if not isinstance(read, Tree):
                return self._bad(read)
            current = read
        base_root = history.root_at(self._change.base)
        if base_root is None:
            return self._reject(
                f"base version {self._change.base} is not known;"
                f" allowed: {history.versions}"
            )
        base = EMPTY_TREE
        if base_root:
            read = yield from load_tree(base_root, current)
            if not isinstance(read, Tree):
                return self._bad(read)
            base = read
        return _Sides(base, current)

    def _merge_and_put(
        self, history: History, sides: "_Sides"
    ) -> Generator[Step, Any, Outcome | StoreUnavailable]:
        merged = merge(sides.base, self._mine, sides.current)
        if merged.conflicts:
            found = with_authors(merged.conflicts, history, self._change.base)
            return Rejected(
                self._change.id, "another change set the same fields", found
            )
        problems = check_tree(merged.tree)
        if problems:
            why = "with the changes accepted since the base it has faults"
            return Rejected(self._change.id, why, (), problems)
        version = history.head.version
        same = merged.tree.root == sides.current.root
        if same and version >= self._change.at_least:
            return Accepted(self._change.id, version, unchanged=True)
        down = yield from self._put_parts(merged.tree, sides.current)
        if down is not None:
            return down
        return (yield from self._commit(history, sides, merged.tree))

    def _put_parts(
        self, tree: Tree, current: Tree
    ) -> Generator[Step, Any, StoreUnavailable | Outcome | None]:
        for key, value in _new_parts(tree, current):
            found = yield from put_immutable(key, value)
            if isinstance(found, Problem):
                return self._reject(f"the store: {found.text}")
            if found is not None:
                return found
        return None

    def _commit(
        self, history: History, sides: "_Sides", tree: Tree
    ) -> Generator[Step, Any, Outcome | StoreUnavailable]:
        newest = max(history.head.version, self._change.at_least)
        record = self._record(
            Version(newest + 1), history.revision, sides.current, tree
        )
        recent = yield from move_to_page((*history.head.recent, record))
        if not isinstance(recent, tuple):
            return self._bad(recent)
        head = Head(record.version, record.root, recent)
        text = msgspec.json.encode(head).decode()
        self._hand_over(history.head.version, record, sides, tree)
        self._written = True
        answer = yield ops.Put(HEAD_KEY, text, history.revision)
        match answer:
            case ops.Written():
                merged = record.root != record.proposal
                return Accepted(self._change.id, record.version, merged=merged)
            case ops.Conflict():
                # Another change came between, or an earlier try of this
                # one took effect after all: the next reading tells.
                return StoreUnavailable("the head has changed")
        return StoreUnavailable("no answer to the write of the head")

    def _record(
        self,
        version: Version,
        after: ops.Revision,
        current: Tree,
        tree: Tree,
    ) -> ChangeRecord:
        patch = patch_between(current, tree)
        names: list[str] = [] if patch.places is None else [PLACES_ENTRY]
        names += [svc.name for svc in patch.services]
        names += patch.removed
        return ChangeRecord(
            self._change.id,
            version,
            tree.root.hex(),
            self._mine.root.hex(),
            self._change.by,
            tuple(names[:MAX_TOUCHED]),
            after,
        )

    def _hand_over(
        self,
        base: Version,
        record: ChangeRecord,
        sides: "_Sides",
        tree: Tree,
    ) -> None:
        body = compress_json(patch_between(sides.current, tree))
        self._delta = None
        if len(body) <= MAX_HANDOVER_BYTES:
            self._delta = Delta(
                base, record.version, tree.root, record.change, body
            )

    def _reject(self, why: str) -> Rejected:
        return Rejected(self._change.id, why)

    def _bad(
        self, read: Problem | StoreUnavailable
    ) -> Outcome | StoreUnavailable:
        if isinstance(read, StoreUnavailable):
            return read
        return self._reject(f"the store: {read.text}")


class _Sides(msgspec.Struct, frozen=True):
    """The documents that a change is merged with."""

    base: Tree
    current: Tree


def _new_parts(tree: Tree, current: Tree) -> Iterator[tuple[str, str]]:
    """Yield key and value of parts that the current version lacks."""
    for i in range(SHARDS):
        if tree.digests[i] != current.digests[i]:
            value = encode_shard(tree.shards[i]).decode()
            yield shard_key(tree.digests[i].hex()), value
    record = RootRecord(tuple(named.hex() for named in tree.digests))
    text = msgspec.json.encode(record).decode()
    yield root_key(tree.root.hex()), text

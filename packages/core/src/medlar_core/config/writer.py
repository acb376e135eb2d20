"""Writes a checked document to the store as an accepted version."""

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

TIMEOUT_S = 30.0
RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 3.0
CALL_TIMEOUT_S = 5.0
CALL_ID_BITS = 48
PUSH_NODES = 8
MAX_PUSH_BYTES = 16_000


class Finished(msgspec.Struct, frozen=True):
    """The change has ended; the writer has no more effects."""

    outcome: Outcome


class _RetryDelay(msgspec.Struct, frozen=True):
    """A step without a store call: wait before the next attempt."""


Step: TypeAlias = ops.StoreOp | _RetryDelay
WriteRoutine = Generator[Step, Any, Outcome]
Effect: TypeAlias = CallStore | Send | Finished


class ConfigWriter:
    """Applies one change; ``reduce`` takes Tick and StoreAnswered events.

    The change is accepted by the conditional write of the head alone.
    Some of ``nodes`` are sent the accepted version, so that it spreads
    even if the store becomes unavailable before a watcher has read it.
    """

    def __init__(
        self,
        change: Change,
        cfg: Configuration,
        rng: random.Random,
        nodes: tuple[NodeId, ...] = (),
        timeout_s: float = TIMEOUT_S,
    ) -> None:
        self._change = change
        self._proposal = build_tree(cfg)
        self._rng = rng
        self._nodes = nodes
        self._timeout_s = timeout_s
        self._deadline: float | None = None
        self._routine = self._write()
        self._call: StoreCallId | None = None
        self._next_step_at = 0.0
        self._retry_delay_s = RETRY_DELAY_S
        self._written = False
        self._delta: Delta | None = None
        self.outcome: Outcome | None = None

    def reduce(self, now: Seconds, event: Any) -> list[Effect]:
        """Process one event and return the effects to carry out."""
        if self.outcome is not None:
            return []
        if self._deadline is None:
            self._deadline = now + self._timeout_s
            return self._resume(now, None)
        match event:
            case StoreAnswered(call=call, answer=answer) if call == self._call:
                return self._resume(now, answer)
            case Tick() if now > self._deadline:
                return self._finish(self._unknown())
            case Tick() if now >= self._next_step_at:
                timed_out = ops.Unavailable("no answer in time")
                return self._resume(now, timed_out if self._call else None)
        return []

    def _resume(self, now: Seconds, answer: Any) -> list[Effect]:
        self._call = None
        try:
            step = self._routine.send(answer)
        except StopIteration as end:
            return self._finish(end.value)
        if isinstance(step, _RetryDelay):
            self._next_step_at = now + self._retry_delay_s * self._rng.uniform(
                0.5, 1
            )
            self._retry_delay_s = min(
                self._retry_delay_s * 2, MAX_RETRY_DELAY_S
            )
            return []
        self._call = StoreCallId(1 + self._rng.getrandbits(CALL_ID_BITS))
        self._next_step_at = now + CALL_TIMEOUT_S
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
            count = min(PUSH_NODES, len(self._nodes))
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

    # The steps, in the order in which they run

    def _write(self) -> WriteRoutine:
        problems = check_tree(self._proposal)
        if problems:
            return Rejected(
                self._change.id, "the document has problems", (), problems
            )
        while True:
            result = yield from self._attempt()
            if not isinstance(result, StoreUnavailable):
                return result
            yield _RetryDelay()

    def _attempt(self) -> Generator[Step, Any, Outcome | StoreUnavailable]:
        """Read the history, merge and write.

        StoreUnavailable means that another attempt is needed.
        """
        history = yield from read_history()
        if isinstance(history, StoreUnavailable):
            return history
        if isinstance(history, Problem):
            return self._reject(f"the store: {history.text}")
        result = self._earlier_outcome(history)
        if result is not None:
            return result
        trees = yield from self._load_sides(history)
        if not isinstance(trees, _MergeSides):
            return trees
        return (yield from self._merge_and_put(history, trees))

    def _earlier_outcome(self, history: History) -> Outcome | None:
        record = history.find_change(self._change.id)
        if record is None:
            return None
        if record.proposal != self._proposal.root.hex():
            return self._reject(
                f"change id {self._change.id} belongs to another document,"
                f" accepted as version {record.version} by {record.by}"
            )
        merged = record.root != record.proposal
        again = not self._written
        return Accepted(self._change.id, record.version, again, merged)

    def _load_sides(
        self, history: History
    ) -> Generator[Step, Any, "_MergeSides | Outcome | StoreUnavailable"]:
        current = EMPTY_TREE
        if history.head.version:
            read = yield from load_tree(history.head.root, self._proposal)
            if not isinstance(read, Tree):
                return self._read_failure(read)
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
                return self._read_failure(read)
            base = read
        return _MergeSides(base, current)

    def _merge_and_put(
        self, history: History, sides: "_MergeSides"
    ) -> Generator[Step, Any, Outcome | StoreUnavailable]:
        merged = merge(sides.base, self._proposal, sides.current)
        if merged.conflicts:
            result = with_authors(merged.conflicts, history, self._change.base)
            return Rejected(
                self._change.id,
                "an accepted change set the same fields",
                result,
            )
        problems = check_tree(merged.tree)
        if problems:
            why = "the document merged with accepted changes has problems"
            return Rejected(self._change.id, why, (), problems)
        version = history.head.version
        same = merged.tree.root == sides.current.root
        if same and version >= self._change.at_least:
            return Accepted(self._change.id, version, unchanged=True)
        failure = yield from self._put_shards(merged.tree, sides.current)
        if failure is not None:
            return failure
        return (yield from self._commit(history, sides, merged.tree))

    def _put_shards(
        self, tree: Tree, current: Tree
    ) -> Generator[Step, Any, StoreUnavailable | Outcome | None]:
        for key, value in _new_records(tree, current):
            result = yield from put_immutable(key, value)
            if isinstance(result, Problem):
                return self._reject(f"the store: {result.text}")
            if result is not None:
                return result
        return None

    def _commit(
        self, history: History, sides: "_MergeSides", tree: Tree
    ) -> Generator[Step, Any, Outcome | StoreUnavailable]:
        newest = max(history.head.version, self._change.at_least)
        record = self._record(
            Version(newest + 1), history.revision, sides.current, tree
        )
        recent = yield from move_to_page((*history.head.recent, record))
        if not isinstance(recent, tuple):
            return self._read_failure(recent)
        head = Head(record.version, record.root, recent)
        text = msgspec.json.encode(head).decode()
        self._prepare_push(history.head.version, record, sides, tree)
        self._written = True
        answer = yield ops.Put(HEAD_KEY, text, history.revision)
        match answer:
            case ops.Written():
                merged = record.root != record.proposal
                return Accepted(self._change.id, record.version, merged=merged)
            case ops.Conflict():
                # Another change was accepted, or an earlier attempt of this
                # one was written after all: the next attempt reads which.
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
            self._proposal.root.hex(),
            self._change.by,
            tuple(names[:MAX_TOUCHED]),
            after,
        )

    def _prepare_push(
        self,
        base: Version,
        record: ChangeRecord,
        sides: "_MergeSides",
        tree: Tree,
    ) -> None:
        body = compress_json(patch_between(sides.current, tree))
        self._delta = None
        if len(body) <= MAX_PUSH_BYTES:
            self._delta = Delta(
                base, record.version, tree.root, record.change, body
            )

    def _reject(self, why: str) -> Rejected:
        return Rejected(self._change.id, why)

    def _read_failure(
        self, read: Problem | StoreUnavailable
    ) -> Outcome | StoreUnavailable:
        if isinstance(read, StoreUnavailable):
            return read
        return self._reject(f"the store: {read.text}")


class _MergeSides(msgspec.Struct, frozen=True):
    """The base version and the current version of a merge."""

    base: Tree
    current: Tree


def _new_records(tree: Tree, current: Tree) -> Iterator[tuple[str, str]]:
    """Yield key and value of the records that the store may lack."""
    for i in range(SHARDS):
        if tree.digests[i] != current.digests[i]:
            value = encode_shard(tree.shards[i]).decode()
            yield shard_key(tree.digests[i].hex()), value
    record = RootRecord(tuple(digest.hex() for digest in tree.digests))
    text = msgspec.json.encode(record).decode()
    yield root_key(tree.root.hex()), text

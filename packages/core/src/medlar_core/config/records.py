"""What the store holds of the configuration, and how it is read.

``config/head`` is the only key that changes: one conditional write of it
accepts a change. Roots and shards are immutable and named by digest, so
that they can be written before the head and never partly change it.
"""

from collections.abc import Generator
from typing import TypeVar

import msgspec

from .. import store as ops
from ..ids import ChangeId
from ..ids import Version
from .codec import decode_as
from .model import SCHEMA_VERSION
from .problem import Problem
from .shards import assemble
from .shards import decode_shard
from .shards import Digest
from .shards import EMPTY_TREE
from .shards import root_of
from .shards import Shard
from .shards import SHARDS
from .shards import Tree

HEAD_KEY = "config/head"
MAX_RECENT = 32
"""Changes that the head names before the older half moves to a page."""
PAGE_CHANGES = MAX_RECENT // 2
MAX_PAGES = 64
"""Pages of history that are kept."""
MAX_TOUCHED = 16
"""Names that a record tells; a change of more tells the first."""

T = TypeVar("T")
StoreRoutine = Generator[ops.StoreOp, ops.StoreAnswer, T]
"""Yields store calls, is sent their answers and returns a result."""


class ChangeRecord(msgspec.Struct, frozen=True):
    """An accepted change; digests are hexadecimal.

    ``proposal`` is the root of the document as it was proposed, ``root``
    that of the document in force after it, merged with other changes.
    ``touched`` are the names that it changed. ``after`` is the store's
    revision of the head that it replaced.
    """

    change: ChangeId
    version: Version
    root: str
    proposal: str
    by: str
    touched: tuple[str, ...] = ()
    after: ops.Revision = 0


class Head(msgspec.Struct, frozen=True):
    """The accepted version and the last changes, oldest first."""

    version: Version
    root: str
    recent: tuple[ChangeRecord, ...]
    schema: int = SCHEMA_VERSION


class HistoryPage(msgspec.Struct, frozen=True):
    """Changes that the head no longer names, oldest first."""

    changes: tuple[ChangeRecord, ...]


class RootRecord(msgspec.Struct, frozen=True):
    """The digests of all shards, hexadecimal, in order."""

    shards: tuple[str, ...]


class StoreUnavailable(msgspec.Struct, frozen=True):
    """The store did not answer."""

    why: str


def root_key(root: str) -> str:
    """Return the key of a root record."""
    return f"config/root/{root}"


def shard_key(named: str) -> str:
    """Return the key of a shard."""
    return f"config/shard/{named}"


def page_key(first: Version) -> str:
    """Return the key of the history page that starts with a version."""
    return f"config/history/{first:010d}"


HISTORY_PREFIX = "config/history/"


def read_key(key: str) -> StoreRoutine[ops.Item | Problem | StoreUnavailable]:
    """Read one key that should be there."""
    answer = yield ops.Get(key)
    match answer:
        case ops.Found(items=(item,)):
            return item
        case ops.Found():
            return Problem(key, "nothing", "a value")
        case ops.Unavailable(why=why):
            return StoreUnavailable(why)
    return StoreUnavailable(f"unexpected answer {type(answer).__name__}")


def put_immutable(
    key: str, value: str
) -> StoreRoutine[Problem | StoreUnavailable | None]:
    """Write an immutable value; None says that it is there.

    A value that is there already is written again, so that its revision
    tells those who delete old parts that it is wanted. A lost answer is
    resolved by reading the key back.
    """
    expected = 0
    while True:
        answer = yield ops.Put(key, value, expected)
        if isinstance(answer, ops.Written):
            return None
        held = yield from read_key(key)
        match held:
            case StoreUnavailable():
                return held
            case Problem():
                return StoreUnavailable(f"no answer to the write of {key}")
            case ops.Item() if held.value != value:
                return Problem(key, "another value", "the value of its name")
        if expected and held.revision != expected:
            return None
        expected = held.revision


def read_head(text: str) -> Head | Problem:
    """Return the head in its text, or why it is refused."""
    head = decode_as(text, Head)
    if isinstance(head, Problem):
        return head
    if head.schema != SCHEMA_VERSION:
        return Problem("schema", str(head.schema), str(SCHEMA_VERSION))
    return head


def load_tree(
    root: str, known: Tree | None
) -> StoreRoutine[Tree | Problem | StoreUnavailable]:
    """Read a whole configuration; shards that are known are not read."""
    item = yield from read_key(root_key(root))
    if not isinstance(item, ops.Item):
        return item
    digests = read_root(item.value, root)
    if isinstance(digests, Problem):
        return digests
    shards = []
    for i, named in enumerate(digests):
        shard = _known(i, named, known)
        if shard is None:
            read = yield from _load_shard(named)
            if not isinstance(read, Shard):
                return read
            shard = read
        shards.append(shard)
    return assemble(tuple(shards), digests)


def _load_shard(
    named: Digest,
) -> StoreRoutine[Shard | Problem | StoreUnavailable]:
    item = yield from read_key(shard_key(named.hex()))
    if not isinstance(item, ops.Item):
        return item
    return decode_shard(item.value, named)


def _known(index: int, named: Digest, tree: Tree | None) -> Shard | None:
    for held in (tree, EMPTY_TREE):
        if held is not None and held.digests[index] == named:
            return held.shards[index]
    return None


def read_root(text: str, root: str) -> tuple[Digest, ...] | Problem:
    """Return the digests of a root record, or why it is refused."""
    record = decode_as(text, RootRecord)
    if isinstance(record, Problem):
        return record
    try:
        digests = tuple(bytes.fromhex(named) for named in record.shards)
    except ValueError as exc:
        return Problem("shards", "digests that are not hexadecimal", str(exc))
    if len(digests) != SHARDS:
        return Problem("shards", f"{len(digests)} digests", str(SHARDS))
    if root_of(digests).hex() != root:
        return Problem("shards", "digests of another root", root)
    return digests

"""Records of the configuration in the store, and reading them.

``config/head`` is the only key that is overwritten: one conditional write of
it accepts a change. Roots and shards are immutable and their keys contain
their digests, so they are written before the head without affecting the
version in force.
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
"""Most changes in the head; beyond it the older half moves to a page."""
PAGE_CHANGES = MAX_RECENT // 2
MAX_PAGES = 64
"""Pages of history that are retained."""
MAX_TOUCHED = 16
"""Most names in a record; further names of a change are left out."""

T = TypeVar("T")
StoreRoutine = Generator[ops.StoreOp, ops.StoreAnswer, T]
"""A generator that yields store calls, is sent the answers and returns T."""


class ChangeRecord(msgspec.Struct, frozen=True):
    """An accepted change; digests are hexadecimal.

    ``proposal`` is the root of the document as proposed, ``root`` that of
    the accepted document, which may contain concurrent changes too.
    ``touched`` are the names of the changed entries. ``after`` is the
    store revision of the head that this change replaced.
    """

    change: ChangeId
    version: Version
    root: str
    proposal: str
    by: str
    touched: tuple[str, ...] = ()
    after: ops.Revision = 0


class Head(msgspec.Struct, frozen=True):
    """The newest accepted version and the last changes, oldest first."""

    version: Version
    root: str
    recent: tuple[ChangeRecord, ...]
    schema: int = SCHEMA_VERSION


class HistoryPage(msgspec.Struct, frozen=True):
    """Changes that are no longer in the head, oldest first."""

    changes: tuple[ChangeRecord, ...]


class RootRecord(msgspec.Struct, frozen=True):
    """The digests of all shards, hexadecimal, in order."""

    shards: tuple[str, ...]


class StoreUnavailable(msgspec.Struct, frozen=True):
    """A store call failed, or its result requires a new attempt."""

    why: str


def root_key(root: str) -> str:
    """Return the key of a root record."""
    return f"config/root/{root}"


def shard_key(digest: str) -> str:
    """Return the key of a shard."""
    return f"config/shard/{digest}"


def page_key(first: Version) -> str:
    """Return the key of the history page that starts with a version."""
    return f"config/history/{first:010d}"


HISTORY_PREFIX = "config/history/"


def read_key(key: str) -> StoreRoutine[ops.Item | Problem | StoreUnavailable]:
    """Read one key; a missing key is a problem."""
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
    """Write an immutable value; return None once it is in the store.

    An existing value is written again: the new revision keeps a
    concurrent prune from deleting it. If an answer is lost, the key is
    read back.
    """
    expected = 0
    while True:
        answer = yield ops.Put(key, value, expected)
        if isinstance(answer, ops.Written):
            return None
        item = yield from read_key(key)
        match item:
            case StoreUnavailable():
                return item
            case Problem():
                return StoreUnavailable(f"no answer to the write of {key}")
            case ops.Item() if item.value != value:
                return Problem(
                    key, "a different value", "the value with this digest"
                )
        if expected and item.revision != expected:
            return None
        expected = item.revision


def read_head(text: str) -> Head | Problem:
    """Return the decoded head, or its problem."""
    head = decode_as(text, Head)
    if isinstance(head, Problem):
        return head
    if head.schema != SCHEMA_VERSION:
        return Problem("schema", str(head.schema), str(SCHEMA_VERSION))
    return head


def load_tree(
    root: str, known: Tree | None
) -> StoreRoutine[Tree | Problem | StoreUnavailable]:
    """Read the configuration of a root; shards in ``known`` are not read."""
    item = yield from read_key(root_key(root))
    if not isinstance(item, ops.Item):
        return item
    digests = read_root(item.value, root)
    if isinstance(digests, Problem):
        return digests
    shards = []
    for i, digest in enumerate(digests):
        shard = _find_shard(i, digest, known)
        if shard is None:
            read = yield from _load_shard(digest)
            if not isinstance(read, Shard):
                return read
            shard = read
        shards.append(shard)
    return assemble(tuple(shards), digests)


def _load_shard(
    digest: Digest,
) -> StoreRoutine[Shard | Problem | StoreUnavailable]:
    item = yield from read_key(shard_key(digest.hex()))
    if not isinstance(item, ops.Item):
        return item
    return decode_shard(item.value, digest)


def _find_shard(index: int, digest: Digest, tree: Tree | None) -> Shard | None:
    for known in (tree, EMPTY_TREE):
        if known is not None and known.digests[index] == digest:
            return known.shards[index]
    return None


def read_root(text: str, root: str) -> tuple[Digest, ...] | Problem:
    """Return the digests of a root record, or its problem."""
    record = decode_as(text, RootRecord)
    if isinstance(record, Problem):
        return record
    try:
        digests = tuple(bytes.fromhex(digest) for digest in record.shards)
    except ValueError as exc:
        return Problem("shards", "digests that are not hexadecimal", str(exc))
    if len(digests) != SHARDS:
        return Problem("shards", f"{len(digests)} digests", str(SHARDS))
    if root_of(digests).hex() != root:
        return Problem("shards", "digests of a different root", root)
    return digests

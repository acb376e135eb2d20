"""Deletes roots and shards of versions outside the retained history.

A root or shard that a new version uses again is written again, and so gets
a newer revision than the head at that time. A key is therefore deleted only
if its revision is older than the head of the last version that contained
it: then no later version uses it, nor does a change being written now.
"""

import itertools

from .. import store as ops
from .codec import decode_as
from .history import History
from .problem import Problem
from .records import ChangeRecord
from .records import HistoryPage
from .records import MAX_PAGES
from .records import read_key
from .records import read_root
from .records import root_key
from .records import shard_key
from .records import StoreRoutine
from .records import StoreUnavailable


def prune(history: History) -> StoreRoutine[int]:
    """Delete the oldest page of a history with more than ``MAX_PAGES``.

    Return the number of deleted keys. The run ends if the store is
    unavailable; the page is deleted last, so that a later run resumes.
    """
    if len(history.pages) <= MAX_PAGES:
        return 0
    item = history.pages[0]
    page = decode_as(item.value, HistoryPage)
    if isinstance(page, Problem):
        return 0
    last_version = page.changes[-1].version
    later = [
        record for record in history.changes if record.version > last_version
    ]
    chain = (*page.changes, *later[:1])
    deleted = 0
    for old, new in itertools.pairwise(chain):
        result = yield from _prune_version(old, new)
        if isinstance(result, StoreUnavailable):
            return deleted
        deleted += result
    answer = yield ops.Delete(item.key, item.revision)
    return deleted + isinstance(answer, ops.Written)


def _prune_version(
    old: ChangeRecord, new: ChangeRecord
) -> StoreRoutine[int | StoreUnavailable]:
    """Delete the keys of a version that the next one doesn't use."""
    shards = yield from _shard_names(old.root)
    next_shards = yield from _shard_names(new.root)
    if isinstance(shards, StoreUnavailable):
        return shards
    if isinstance(next_shards, StoreUnavailable):
        return next_shards
    if not next_shards:
        return 0
    keys = [shard_key(digest) for digest in sorted(shards - next_shards)]
    if old.root != new.root:
        # The root is deleted last: a later run needs it to find the
        # remaining shards.
        keys.append(root_key(old.root))
    deleted = 0
    for key in keys:
        result = yield from _delete(key, new.after)
        if isinstance(result, StoreUnavailable):
            return result
        deleted += result
    return deleted


def _shard_names(root: str) -> StoreRoutine[frozenset[str] | StoreUnavailable]:
    """Return the digests of a root's shards; none if it was deleted."""
    item = yield from read_key(root_key(root))
    match item:
        case StoreUnavailable():
            return item
        case ops.Item(value=value):
            digests = read_root(value, root)
            if not isinstance(digests, Problem):
                return frozenset(digest.hex() for digest in digests)
    return frozenset()


def _delete(
    key: str, head_revision: ops.Revision
) -> StoreRoutine[bool | StoreUnavailable]:
    """Delete a key if its revision is older than a head revision."""
    item = yield from read_key(key)
    match item:
        case StoreUnavailable():
            return item
        case ops.Item(revision=revision) if revision < head_revision:
            answer = yield ops.Delete(key, revision)
            if isinstance(answer, ops.Unavailable):
                return StoreUnavailable(answer.why)
            return isinstance(answer, ops.Written)
    return False

"""Deletes parts of versions that the history no longer keeps.

A part is deleted only if no version after its last one took it up again:
taking it up writes it again, after the head that stood at the time. So a
part whose revision is older than that of the head under which it last
stood is wanted by nobody, also not by a change that is on its way.
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
    """Delete the oldest page of a history that has too many.

    Returns how many keys were deleted. It stops where the store does not
    answer; the page goes last, so that a later run takes it up again.
    """
    if len(history.pages) <= MAX_PAGES:
        return 0
    item = history.pages[0]
    page = decode_as(item.value, HistoryPage)
    if isinstance(page, Problem):
        return 0
    last = page.changes[-1].version
    later = [held for held in history.changes if held.version > last]
    chain = (*page.changes, *later[:1])
    deleted = 0
    for old, new in itertools.pairwise(chain):
        done = yield from _prune_version(old, new)
        if isinstance(done, StoreUnavailable):
            return deleted
        deleted += done
    answer = yield ops.Delete(item.key, item.revision)
    return deleted + isinstance(answer, ops.Written)


def _prune_version(
    old: ChangeRecord, new: ChangeRecord
) -> StoreRoutine[int | StoreUnavailable]:
    """Delete what a version has and the next one has not."""
    shards = yield from _shards(old.root)
    kept = yield from _shards(new.root)
    if isinstance(shards, StoreUnavailable):
        return shards
    if isinstance(kept, StoreUnavailable):
        return kept
    if not kept:
        return 0
    keys = [shard_key(named) for named in sorted(shards - kept)]
    if old.root != new.root:
        # The root goes last: it tells a later run what is left to delete.
        keys.append(root_key(old.root))
    deleted = 0
    for key in keys:
        done = yield from _delete(key, new.after)
        if isinstance(done, StoreUnavailable):
            return done
        deleted += done
    return deleted


def _shards(root: str) -> StoreRoutine[frozenset[str] | StoreUnavailable]:
    """Return the names of a root's shards; none where it is gone."""
    item = yield from read_key(root_key(root))
    match item:
        case StoreUnavailable():
            return item
        case ops.Item(value=value):
            digests = read_root(value, root)
            if not isinstance(digests, Problem):
                return frozenset(named.hex() for named in digests)
    return frozenset()


def _delete(
    key: str, before: ops.Revision
) -> StoreRoutine[bool | StoreUnavailable]:
    """Delete a key that was not written since a revision of the head."""
    item = yield from read_key(key)
    match item:
        case StoreUnavailable():
            return item
        case ops.Item(revision=revision) if revision < before:
            answer = yield ops.Delete(key, revision)
            if isinstance(answer, ops.Unavailable):
                return StoreUnavailable(answer.why)
            return isinstance(answer, ops.Written)
    return False

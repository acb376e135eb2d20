"""Accepted changes as the store remembers them."""

from collections.abc import Iterable

import msgspec

from .. import store as ops
from ..ids import ChangeId
from ..ids import Version
from .codec import decode_as
from .merge import FieldConflict
from .problem import Problem
from .records import ChangeRecord
from .records import Head
from .records import HEAD_KEY
from .records import HISTORY_PREFIX
from .records import HistoryPage
from .records import MAX_RECENT
from .records import PAGE_CHANGES
from .records import page_key
from .records import put_immutable
from .records import read_head
from .records import StoreRoutine
from .records import StoreUnavailable

PLACES_ENTRY = "places"
"""Stands in a record for the places."""
EMPTY_HEAD = Head(Version(0), "", ())


class History(msgspec.Struct, frozen=True):
    """The head, its revision in the store and every change kept.

    ``pages`` are the keys of older changes, oldest first.
    """

    head: Head
    revision: ops.Revision
    changes: tuple[ChangeRecord, ...]
    pages: tuple[ops.Item, ...] = ()

    @property
    def versions(self) -> str:
        """The versions that can be a base, for people."""
        if not self.changes:
            return "0"
        oldest = self.changes[0].version
        return f"{oldest} to {self.head.version}"

    def find_change(self, change: ChangeId) -> ChangeRecord | None:
        """Return the record of a change."""
        for record in reversed(self.changes):
            if record.change == change:
                return record
        return None

    def root_at(self, version: Version) -> str | None:
        """Return the root of a version; None where it is not known.

        Version 0 is the empty document while the first one is known.
        """
        if version == self.head.version:
            return self.head.root
        if version == 0:
            first = self.changes[0] if self.changes else None
            return "" if first and first.version == 1 else None
        for record in self.changes:
            if record.version == version:
                return record.root
        return None


def read_history() -> StoreRoutine[History | Problem | StoreUnavailable]:
    """Read the head and the pages of older changes."""
    answer = yield ops.Get(HEAD_KEY)
    match answer:
        case ops.Found(items=()):
            return History(EMPTY_HEAD, 0, ())
        case ops.Found(items=(item,)):
            head = read_head(item.value)
        case _:
            return StoreUnavailable("no answer to the reading of the head")
    if isinstance(head, Problem):
        return head
    pages = yield from _read_pages(head)
    if isinstance(pages, StoreUnavailable):
        return pages
    older = older_changes(pages, head)
    if isinstance(older, Problem):
        return older
    return History(head, item.revision, (*older, *head.recent), pages)


def move_to_page(
    recent: tuple[ChangeRecord, ...],
) -> StoreRoutine[tuple[ChangeRecord, ...] | Problem | StoreUnavailable]:
    """Move the oldest changes to a page once the head names too many.

    The page depends only on accepted changes, so that a second writer
    writes the same page.
    """
    if len(recent) <= MAX_RECENT:
        return recent
    page = HistoryPage(recent[:PAGE_CHANGES])
    text = msgspec.json.encode(page).decode()
    found = yield from put_immutable(page_key(page.changes[0].version), text)
    if found is not None:
        return found
    return recent[PAGE_CHANGES:]


def with_authors(
    conflicts: Iterable[FieldConflict], history: History, base: Version
) -> tuple[FieldConflict, ...]:
    """Return conflicts with who changed the entry since the base."""
    return tuple(_with_name(found, history, base) for found in conflicts)


def _with_name(
    found: FieldConflict, history: History, base: Version
) -> FieldConflict:
    part, name = found.path.split(".")[:2]
    touched = PLACES_ENTRY if part == "places" else name
    for record in reversed(history.changes):
        if record.version > base and touched in record.touched:
            return msgspec.structs.replace(
                found,
                by=record.by,
                change=record.change,
                version=record.version,
            )
    return found


def _read_pages(
    head: Head,
) -> StoreRoutine[tuple[ops.Item, ...] | StoreUnavailable]:
    if not head.recent or head.recent[0].version <= 1:
        return ()
    answer = yield ops.List(HISTORY_PREFIX)
    if not isinstance(answer, ops.Found):
        return StoreUnavailable("no answer to the reading of the history")
    return tuple(sorted(answer.items, key=lambda held: held.key))


def older_changes(
    pages: tuple[ops.Item, ...], head: Head
) -> tuple[ChangeRecord, ...] | Problem:
    """Return the changes of pages that the head no longer names."""
    oldest = head.recent[0].version if head.recent else 0
    changes: list[ChangeRecord] = []
    for item in pages:
        page = decode_as(item.value, HistoryPage)
        if isinstance(page, Problem):
            return page
        changes += [held for held in page.changes if held.version < oldest]
    return tuple(changes)

"""The history of accepted changes in the store."""

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
"""Entry in ``ChangeRecord.touched`` that stands for the places."""
EMPTY_HEAD = Head(Version(0), "", ())


class History(msgspec.Struct, frozen=True):
    """The head, its revision in the store and all retained changes.

    ``pages`` are the store items with older changes, oldest first.
    """

    head: Head
    revision: ops.Revision
    changes: tuple[ChangeRecord, ...]
    pages: tuple[ops.Item, ...] = ()

    @property
    def versions(self) -> str:
        """The range of known versions, as readable text."""
        if not self.changes:
            return "0"
        oldest = self.changes[0].version
        return f"{oldest} to {self.head.version}"

    def find_change(self, change: ChangeId) -> ChangeRecord | None:
        """Return the record of a change, or None."""
        for record in reversed(self.changes):
            if record.change == change:
                return record
        return None

    def root_at(self, version: Version) -> str | None:
        """Return the root of a version; None if it is not known.

        Version 0 is the empty document; it is known as long as the
        history contains version 1.
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
            return StoreUnavailable("no answer to the read of the head")
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
    """Move the oldest changes to a page if the head has too many.

    The page depends only on accepted changes, so concurrent writers
    write the same page.
    """
    if len(recent) <= MAX_RECENT:
        return recent
    page = HistoryPage(recent[:PAGE_CHANGES])
    text = msgspec.json.encode(page).decode()
    failure = yield from put_immutable(page_key(page.changes[0].version), text)
    if failure is not None:
        return failure
    return recent[PAGE_CHANGES:]


def with_authors(
    conflicts: Iterable[FieldConflict], history: History, base: Version
) -> tuple[FieldConflict, ...]:
    """Return the conflicts with the author of the accepted change."""
    return tuple(
        _with_author(conflict, history, base) for conflict in conflicts
    )


def _with_author(
    conflict: FieldConflict, history: History, base: Version
) -> FieldConflict:
    part, name = conflict.path.split(".")[:2]
    entry = PLACES_ENTRY if part == "places" else name
    for record in reversed(history.changes):
        if record.version > base and entry in record.touched:
            return msgspec.structs.replace(
                conflict,
                by=record.by,
                change=record.change,
                version=record.version,
            )
    return conflict


def _read_pages(
    head: Head,
) -> StoreRoutine[tuple[ops.Item, ...] | StoreUnavailable]:
    if not head.recent or head.recent[0].version <= 1:
        return ()
    answer = yield ops.List(HISTORY_PREFIX)
    if not isinstance(answer, ops.Found):
        return StoreUnavailable("no answer to the read of the history")
    return tuple(sorted(answer.items, key=lambda item: item.key))


def older_changes(
    pages: tuple[ops.Item, ...], head: Head
) -> tuple[ChangeRecord, ...] | Problem:
    """Return the changes of the pages that are not in the head."""
    oldest = head.recent[0].version if head.recent else 0
    changes: list[ChangeRecord] = []
    for item in pages:
        page = decode_as(item.value, HistoryPage)
        if isinstance(page, Problem):
            return page
        changes += [
            record for record in page.changes if record.version < oldest
        ]
    return tuple(changes)

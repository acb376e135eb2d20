"""Copy of the configuration in the store, which processes start with."""

from ...events import StoreAnswered
from ...ids import Seconds
from ...ids import StoreCallId
from ...store import Put
from ...store import Revision
from ...store import Written
from ...storeaccess.access import Part
from ...storeaccess.access import StoreAccess
from ..store_watcher import Change
from ..store_watcher import Snapshot
from .compact import decode_copy
from .compact import encode_copy
from .compact import RoutesCopy

WRITE_STAGGER_S = 1.0
"""Each further balancer that watches the store writes this much later: by
then it has received what the one before it wrote."""
RETRY_S = 2.0
"""Time to the second attempt: what another has written is known by then."""
LONGEST_RETRY_S = 60.0
"""The time doubles up to this: a store may refuse so large a value always."""
COPY_CHARACTERS_MAX = 700_000
"""A larger copy is not written, as stores limit the size of a value."""

_NEVER_DUE = float("inf")


class CopyStore:
    """The copy as it is in the store, and what this balancer writes.

    A write is conditional on the revision that was read, so that it cannot
    take the place of a newer copy.
    """

    def __init__(self, access: StoreAccess, key: str) -> None:
        self._access = access
        self._key = key
        self.stored: RoutesCopy | None = None
        """The last copy that was read and is valid."""
        self._item_revision: Revision = 0
        self._was_read = False
        self._wanted: RoutesCopy | None = None
        self._write_at = _NEVER_DUE
        self._retry_s = RETRY_S
        self._write: StoreCallId | None = None
        self._written: RoutesCopy | None = None
        self._unreadable = ""

    def update(self, result: Snapshot | Change) -> None:
        """Use items from the store, of which one may be the copy."""
        if isinstance(result, Snapshot):
            self._was_read = True
            is_gone = all(item.key != self._key for item in result.items)
        else:
            is_gone = self._key in result.deleted
        if is_gone:
            self._item_revision = 0
            self.stored = None
        for item in result.items:
            if item.key != self._key or item.revision < self._item_revision:
                continue
            self._item_revision = item.revision
            try:
                self.stored = decode_copy(item.value)
            except ValueError as exc:
                self.stored = None
                self._unreadable = str(exc)

    def pop_unreadable(self) -> str:
        """Return why a stored copy was ignored since the last call.

        Empty if none was.
        """
        text, self._unreadable = self._unreadable, ""
        return text

    def want(self, now: Seconds, copy: RoutesCopy) -> None:
        """Have a copy stored, unless it has that configuration already."""
        if self._wanted is None or copy.revision > self._wanted.revision:
            self._wanted = copy
            self._write_at = now
            self._retry_s = RETRY_S

    def due(self, now: Seconds, rank: int) -> None:
        """Submit a write, if one is due and none is pending.

        ``rank`` counts the balancers that are to write before this one.
        """
        wanted = self._wanted
        if wanted is None or not self._was_read:
            return
        if self.stored is not None and (
            self.stored.revision >= wanted.revision
        ):
            self._wanted = None
            return
        if now < self._write_at + rank * WRITE_STAGGER_S:
            return
        if self._write is not None and self._access.is_pending(self._write):
            return
        self._write_at = now + self._retry_s
        self._retry_s = min(2 * self._retry_s, LONGEST_RETRY_S)
        value = encode_copy(wanted)
        if len(value) > COPY_CHARACTERS_MAX:
            self._wanted = None
            return
        self._written = wanted
        op = Put(self._key, value, self._item_revision)
        self._write = self._access.submit(now, Part.CONFIGURATION, op, 0.0)

    def handle_answer(self, now: Seconds, event: StoreAnswered) -> None:
        """Handle an answer, if it is to a write of this part.

        After a conflict, the watch tells what another balancer wrote.
        """
        if self._write is None or event.call != self._write:
            return
        answer = self._access.take(now, Part.CONFIGURATION, event)
        self._write = None
        if not isinstance(answer, Written):
            return
        if answer.revision > self._item_revision:
            self._item_revision = answer.revision
            self.stored = self._written

"""A prefix or key of the store, followed by one read and long watches."""

import msgspec

from ..events import StoreAnswered
from ..ids import Seconds
from ..ids import StoreCallId
from ..store import Changed
from ..store import Found
from ..store import HistoryGone
from ..store import Item
from ..store import List
from ..store import Revision
from ..store import Watch
from ..storeaccess.access import Part
from ..storeaccess.access import StoreAccess

SPREAD_S = 0.05


class Read(msgspec.Struct, frozen=True):
    """All items under the prefix."""

    items: tuple[Item, ...]


class Change(msgspec.Struct, frozen=True):
    """Items written and keys deleted since the last answer."""

    items: tuple[Item, ...]
    deleted: tuple[str, ...]


class Following:
    """Reads a prefix, then watches it; reads again if history is lost."""

    def __init__(
        self, access: StoreAccess, part: Part, prefix: str, wait_s: float
    ) -> None:
        self._access = access
        self._part = part
        self._prefix = prefix
        self._wait_s = wait_s
        self._after: Revision | None = None
        self._call: StoreCallId | None = None
        self.fresh_at = float("-inf")
        """When the store last told all that it held."""

    def due(self, now: Seconds) -> None:
        """Ask the store if no call of this part is out."""
        if self._call is not None and self._access.is_pending(self._call):
            return
        op: List | Watch = List(self._prefix)
        spread_s = 0.0 if self._call is None else SPREAD_S
        if self._after is not None:
            op = Watch(self._prefix, self._after, self._wait_s)
        self._call = self._access.submit(now, self._part, op, spread_s)

    def answered(
        self, now: Seconds, event: StoreAnswered
    ) -> Read | Change | None:
        """Return what an answer tells, None if it is not for this part."""
        if event.call != self._call:
            return None
        self._call = None
        match self._access.take(now, self._part, event):
            case Found(items=items, revision=revision):
                self._after = revision
                self.fresh_at = now
                return Read(items)
            case Changed(items=items, deleted=deleted, revision=revision):
                self._after = revision
                self.fresh_at = now
                return Change(items, deleted)
            case HistoryGone():
                self._after = None
        return None

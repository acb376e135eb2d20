"""Entry of a process in the store, bound to a lease."""

import random

from ..events import StoreAnswered
from ..ids import Seconds
from ..ids import StoreCallId
from ..store import Conflict
from ..store import Delete
from ..store import Found
from ..store import Get
from ..store import Item
from ..store import Leased
from ..store import LeaseGrant
from ..store import LeaseKeep
from ..store import LeaseLapsed
from ..store import Put
from ..store import StoreOp
from ..store import Unavailable
from ..store import Written
from ..storeaccess.access import Part
from ..storeaccess.access import StoreAccess

LEASE_S = 8.0
RENEW_INTERVAL_S = 2.5
"""Interval of lease renewals. An entry that is lost sooner is written again
at once, as balancers notify a process whose entry is missing."""
CALL_SPREAD_S = 0.1
WATCH_DELAY_S = 1.0
"""Watchers of the store have received a write after this time."""


class Registration:
    """Writes one entry, renews its lease and rewrites it if it is lost.

    Each write is conditional on the entry's revision, so that a delayed
    write of an earlier process cannot replace it unnoticed.
    """

    def __init__(
        self, access: StoreAccess, key: str, rng: random.Random
    ) -> None:
        self._access = access
        self._key = key
        self._rng = rng
        self.previous_entry: Item | None = None
        """The entry that the store held before this process wrote one."""
        self._was_read = False
        self._value = ""
        self._written = ""
        self._revision = 0
        self._lease = 0
        self._call: StoreCallId | None = None
        self._op: StoreOp | None = None
        self._renew_at = 0.0
        self._written_at = float("-inf")

    @property
    def is_written(self) -> bool:
        """Whether the entry in the store is the one that was set."""
        return self._value == self._written

    def set_entry(self, value: str) -> None:
        """Set the content of the entry; empty to delete it."""
        self._value = value

    def handle_missing_entry(self, now: Seconds) -> None:
        """Rewrite the entry, as a watcher found it missing.

        Ignored while a call is open or just after a write, which the
        watcher may not have received yet.
        """
        if self._call is not None or now - self._written_at < WATCH_DELAY_S:
            return
        self._written = ""
        self._revision = 0
        self._lease = 0

    def issue_next_call(self, now: Seconds) -> None:
        """Issue the next store call, if one is needed and none is open."""
        if self._call is not None and not self._access.is_pending(self._call):
            self._call = None
        if self._call is not None:
            return
        op = self._next_op(now)
        if op is not None:
            self._op = op
            spread_s = 0.0 if isinstance(op, Get) else CALL_SPREAD_S
            self._call = self._access.submit(now, Part.MEMBERS, op, spread_s)

    def handle_answer(self, now: Seconds, event: StoreAnswered) -> bool:
        """Handle the answer to the open call; return whether it was one."""
        if self._call is None or event.call != self._call:
            return False
        answer = self._access.take(now, Part.MEMBERS, event)
        op, self._op, self._call = self._op, None, None
        match answer:
            case Found(items=items):
                self._was_read = True
                for item in items:
                    self.previous_entry = item
                    self._revision = item.revision
            case Leased(lease=lease):
                self._lease = lease
                self._renew_at = now + RENEW_INTERVAL_S * self._rng.uniform(
                    0.8, 1.0
                )
            case LeaseLapsed():
                self._lease = 0
                self._written = ""
                self._revision = 0
            case Written(revision=revision):
                self._revision = revision
                self._written_at = now
                self._written = op.value if isinstance(op, Put) else ""
            case Conflict(actual=actual):
                self._revision = actual
                self._written = ""
                if isinstance(op, Delete):
                    self._value = ""
            case Unavailable():
                pass  # StoreAccess counts failures and delays the next call
        return True

    def _next_op(self, now: Seconds) -> StoreOp | None:
        if not self._was_read:
            return Get(self._key)
        if not self._value:
            return self._delete_op()
        if not self._lease:
            return LeaseGrant(LEASE_S)
        if self._value != self._written:
            return Put(self._key, self._value, self._revision, self._lease)
        if now >= self._renew_at:
            return LeaseKeep(self._lease)
        return None

    def _delete_op(self) -> StoreOp | None:
        if not self._written or not self._revision:
            return None
        return Delete(self._key, self._revision)

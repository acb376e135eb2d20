"""A process's own entry in the store, kept by a lease."""

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
KEEP_S = 2.5
"""Renewal; balancers tell a process at once that its entry is missing."""
SPREAD_S = 0.1
SEEN_S = 1.0
"""Those that follow the store have seen a write by then."""


class Registration:
    """Writes one entry and keeps it; writes it again when it is lost.

    The entry is written under a condition on its revision, so that a
    write of an earlier process that takes effect late cannot replace it
    unseen.
    """

    def __init__(
        self, access: StoreAccess, key: str, rng: random.Random
    ) -> None:
        self._access = access
        self._key = key
        self._rng = rng
        self.earlier: Item | None = None
        """What the store held before this process wrote."""
        self._read = False
        self._value = ""
        self._written = ""
        self._revision = 0
        self._lease = 0
        self._call: StoreCallId | None = None
        self._op: StoreOp | None = None
        self._keep_at = 0.0
        self._written_at = float("-inf")

    @property
    def is_written(self) -> bool:
        """Whether the store holds what this process wants it to hold."""
        return self._value == self._written

    def want(self, value: str) -> None:
        """Say what the entry shall hold; empty for no entry."""
        self._value = value

    def missing(self, now: Seconds) -> None:
        """Note that the entry was seen to be missing; write it again.

        Who follows the store may not have seen the latest write yet.
        """
        if self._call is not None or now - self._written_at < SEEN_S:
            return
        self._written = ""
        self._revision = 0
        self._lease = 0

    def due(self, now: Seconds) -> None:
        """Ask the store for what is to be done next, if anything."""
        if self._call is not None and not self._access.is_pending(self._call):
            self._call = None
        if self._call is not None:
            return
        op = self._next(now)
        if op is not None:
            self._op = op
            spread_s = 0.0 if isinstance(op, Get) else SPREAD_S
            self._call = self._access.submit(now, Part.MEMBERS, op, spread_s)

    def answered(self, now: Seconds, event: StoreAnswered) -> bool:
        """Take an answer if it is to this part's call."""
        if self._call is None or event.call != self._call:
            return False
        answer = self._access.take(now, Part.MEMBERS, event)
        op, self._op, self._call = self._op, None, None
        match answer:
            case Found(items=items):
                self._read = True
                for item in items:
                    self.earlier = item
                    self._revision = item.revision
            case Leased(lease=lease):
                self._lease = lease
                self._keep_at = now + KEEP_S * self._rng.uniform(0.8, 1.0)
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
                pass  # StoreAccess counts it and says when to try again
        return True

    def _next(self, now: Seconds) -> StoreOp | None:
        if not self._read:
            return Get(self._key)
        if not self._value:
            return self._removal()
        if not self._lease:
            return LeaseGrant(LEASE_S)
        if self._value != self._written:
            return Put(self._key, self._value, self._revision, self._lease)
        if now >= self._keep_at:
            return LeaseKeep(self._lease)
        return None

    def _removal(self) -> StoreOp | None:
        if not self._written or not self._revision:
            return None
        return Delete(self._key, self._revision)

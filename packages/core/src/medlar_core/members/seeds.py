"""Addresses of balancers in the store, for processes that start.

One balancer of each place keeps them under one key, so that the store gets
a few writes a minute whatever the size of the fleet. The key is bound to a
lease and written with its expected revision: after a pause, the lease of
its holder has lapsed or the revision has changed, and its write fails.
"""

import msgspec

from ..effects import CallStore
from ..events import StoreAnswered
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from ..ids import StoreCallId
from ..store import Conflict
from ..store import Found
from ..store import Get
from ..store import Leased
from ..store import LeaseGrant
from ..store import LeaseKeep
from ..store import List
from ..store import Put
from ..store import Revision
from ..store import StoreAnswer
from ..store import StoreOp
from ..store import Written
from ..storeaccess.access import Part
from ..storeaccess.access import StoreAccess

PREFIX = "members/seeds/"
LISTED_BALANCERS = 16
"""Balancers of a place that are listed."""
LEASE_S = 60.0
KEEP_S = 20.0
REWRITE_S = 30.0
"""Shortest interval between two writes of a changed list."""
LEASE_SAFE_SHARE = 0.8
"""Share of a lease after which its holder treats it as lapsed."""
SPREAD_S = 3.0
READ_SPREAD_S = 10.0
READ_INTERVAL_S = 15.0
"""All processes of the fleet may read at once, so reads are spread."""
START_DELAY_S = 2.0
"""A new process tries the seeds of its settings for this long."""


def decode(value: str) -> tuple[NodeId, ...]:
    """Return the addresses in a value; none if it can't be read."""
    try:
        return msgspec.json.decode(value, type=tuple[NodeId, ...])
    except msgspec.MsgspecError:
        return ()


class SeedReader:
    """Reads the addresses when no balancer replies."""

    def __init__(self, access: StoreAccess) -> None:
        self._access = access
        self._call: StoreCallId | None = None
        self._next: float | None = None

    def due(self, now: Seconds) -> list[CallStore]:
        """Return the calls that are due to read the addresses."""
        if self._next is None:
            self._next = now + START_DELAY_S
        if now >= self._next and not self._is_pending():
            self._next = now + READ_INTERVAL_S
            submit = self._access.submit
            self._call = submit(now, Part.MEMBERS, List(PREFIX), READ_SPREAD_S)
        return self._access.due(now)

    def take(
        self, event: StoreAnswered, answer: StoreAnswer
    ) -> tuple[NodeId, ...]:
        """Return the addresses in an answer to this reader."""
        if event.call != self._call or not isinstance(answer, Found):
            return ()
        return tuple(n for i in answer.items for n in decode(i.value))

    def _is_pending(self) -> bool:
        return self._call is not None and self._access.is_pending(self._call)


class SeedHolder:
    """Keeps the addresses of one place in the store, if chosen to."""

    def __init__(self, access: StoreAccess, place: PlaceName) -> None:
        self._access = access
        self._key = PREFIX + place
        self._call: StoreCallId | None = None
        self._lease: int | None = None
        self._lease_ends = 0.0
        self._revision: Revision | None = None
        self._written: tuple[NodeId, ...] | None = None
        self._next = 0.0
        self._writing: tuple[NodeId, ...] = ()

    @property
    def holds(self) -> bool:
        """Whether this process holds the lease and wrote the key."""
        return self._lease is not None and self._written is not None

    def fence(self) -> None:
        """Cancel the call and give up the lease, as after a pause."""
        if self._call is not None:
            self._access.cancel(self._call)
        self._call = None
        self._lease = None
        self._revision = None
        self._written = None

    def due(
        self, now: Seconds, holds: bool, wanted: tuple[NodeId, ...]
    ) -> list[CallStore]:
        """Return the calls to make now to keep ``wanted`` in the store."""
        if not holds:
            if self._lease is not None:
                self.fence()
            return []
        if self._lease is not None and now >= self._lease_ends:
            self.fence()
        is_pending = self._call is not None and self._access.is_pending(
            self._call
        )
        if now >= self._next and not is_pending:
            op = self._next_op(wanted[:LISTED_BALANCERS])
            self._next = now + KEEP_S
            if op is not None:
                submit = self._access.submit
                self._call = submit(now, Part.MEMBERS, op, SPREAD_S)
        return self._access.due(now)

    def take(
        self, now: Seconds, event: StoreAnswered, answer: StoreAnswer
    ) -> None:
        """Process an answer of the store."""
        if event.call != self._call:
            return
        self._call = None
        match answer:
            case Leased(lease=lease, ttl_s=ttl_s):
                self._lease = lease
                self._lease_ends = now + ttl_s * LEASE_SAFE_SHARE
            case Found(items=items):
                self._revision = items[0].revision if items else 0
            case Written(revision=revision):
                self._revision = revision
                self._written = self._writing
                self._next = now + REWRITE_S / 2
                return
            case Conflict():
                self._revision = None
            case _:
                self.fence()
                return
        self._next = now + KEEP_S if self._written is not None else now

    def _next_op(self, wanted: tuple[NodeId, ...]) -> StoreOp | None:
        if self._lease is None:
            return LeaseGrant(LEASE_S)
        if self._revision is None:
            return Get(self._key)
        if self._written == wanted:
            return LeaseKeep(self._lease)
        self._writing = wanted
        value = msgspec.json.encode(wanted).decode()
        return Put(self._key, value, self._revision, self._lease)

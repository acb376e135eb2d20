"""Reads the record of services from the store, and writes it on a change."""

import msgspec

from ...events import StoreAnswered
from ...ids import Seconds
from ...ids import ServiceName
from ...ids import StoreCallId
from ...store import Item
from ...store import Put
from ...store import Written
from ...storeaccess.access import Part
from ...storeaccess.access import StoreAccess
from ..member import NEVER
from ..segment import Endpoint
from ..store_watcher import Change
from ..store_watcher import Snapshot
from ..store_watcher import StoreWatcher
from .routes import RouteTable
from .scope_record import ScopeRecord

WRITE_SPREAD_S = 0.05
"""Upper bound of the random delay of a write: several balancers learn of a
change at once, and one of them has to write it."""
WRITE_DELAY_S = 1.0
"""Delay of a write that no configuration waits for. After a start of all
balancers, those that watch the store have been chosen by then."""


READ_VALID_S = 0.5
"""A service that is added for a recorded address is used this long after it
was recorded. So what a read has shown holds for as long after it was issued:
no flow has been opened at a service that was added since."""


class ScopeStore:
    """The record as it is in the store, and what this balancer adds to it.

    A write is conditional on the revision that was read, so that it cannot
    take away what another balancer has added.
    """

    def __init__(self, access: StoreAccess, key: str) -> None:
        self._access = access
        self._key = key
        self._watcher = StoreWatcher(access, Part.SCOPES, key, wait_s=0.0)
        self.known = ScopeRecord()
        """What the store is known to hold, and what is to be added."""
        self.stored: ScopeRecord | None = None
        """What the store holds, as far as it was read here or by a peer."""
        self._added_at: dict[tuple[Endpoint, ServiceName], float] = {}
        """When services of addresses that have several were first seen."""
        self._held_back: set[tuple[Endpoint, ServiceName]] = set()
        """Services in force that could not be recorded for an address."""
        self._revision = 0
        self._write: StoreCallId | None = None
        self._written = ScopeRecord()
        self._is_changed = False
        """Whether the store lacks some of what is known."""
        self._write_at = float("inf")
        """When a write is due, infinite if none is."""
        self._read_asked_at = NEVER
        self.confirmed_at = NEVER
        """When the last read was issued that has been answered. What was in
        the store by then is known."""
        self._unreadable = ""

    def has_services_of(self, table: RouteTable) -> bool:
        """Return whether the store has what a configuration moves to."""
        stored = self.stored
        return stored is not None and not stored.lacks_service_of(table)

    def may_use(self, now: Seconds, table: RouteTable) -> bool:
        """Return whether no read that is still valid lacks a service.

        A record that has just been read may have been written just before.
        """
        if not self.has_services_of(table):
            return False
        recent = {
            pair
            for pair, at in self._added_at.items()
            if now - at < READ_VALID_S
        }
        if not recent:
            return True
        return not any(
            (route.address, share.service) in recent
            for route in table.routes
            for share in route.shares
        )

    def hold_back(self, table: RouteTable) -> None:
        """Let no flow be opened at services that could not be recorded."""
        stored = self.stored.services if self.stored else {}
        for route in table.routes:
            recorded = stored.get(route.address)
            for share in route.shares:
                if recorded is not None and share.service not in recorded:
                    self._held_back.add((route.address, share.service))

    def may_open(
        self, now: Seconds, address: Endpoint, service: ServiceName
    ) -> bool:
        """Return whether a flow may be opened at a service of an address.

        Not at one that was held back, until no read that is still valid
        lacks it.
        """
        pair = (address, service)
        if pair not in self._held_back:
            return True
        if self.stored is not None and service not in self.stored.get(address):
            return address not in self.stored.services
        if now - self._added_at.get(pair, NEVER) < READ_VALID_S:
            return False
        self._held_back.discard(pair)
        return True

    def is_confirmed(self, at: float) -> bool:
        """Return whether all services are known that were in use then."""
        return at <= self.confirmed_at + READ_VALID_S

    def is_recorded(self, address: Endpoint) -> bool:
        """Return whether the store has the services of an address.

        It has those of a new route soon after the route is in force.
        """
        return self.stored is not None and address in self.stored.services

    def require(self, table: RouteTable) -> None:
        """Have the services of a configuration recorded."""
        self._set_known(self.known.merged(table))

    def hasten(self, now: Seconds) -> None:
        """Write at once, as a configuration waits for it."""
        self._write_at = min(self._write_at, now)

    def learn(self, now: Seconds, record: ScopeRecord) -> None:
        """Add what another balancer has read from the store."""
        self._set_stored(now, record.union(self.stored or ScopeRecord()))

    def refresh(self, now: Seconds) -> None:
        """Have the record read by a call that is issued from now on."""
        self._read_asked_at = now

    def adopt(
        self,
        now: Seconds,
        listing: Snapshot,
        revision: int,
        issued_at: Seconds,
    ) -> None:
        """Use the answer to a listing that includes the record's key."""
        self._watcher.continue_from(revision)
        self.update(now, listing)
        self._confirm(issued_at)

    def update(self, now: Seconds, result: Snapshot | Change) -> None:
        """Use items from the store, of which one may be the record."""
        keys = {item.key for item in result.items}
        if isinstance(result, Snapshot):
            is_gone = self._key not in keys
        else:
            is_gone = self._key in result.deleted
        if is_gone:
            self._revision = 0
            self._set_stored(now, ScopeRecord())
        self._apply(now, result.items)

    def pop_unreadable(self) -> str:
        """Return why a stored record was ignored since the last call.

        Empty if none was.
        """
        text, self._unreadable = self._unreadable, ""
        return text

    def due(self, now: Seconds, may_write: bool) -> None:
        """Submit the next call, if one is due and none is pending.

        Those balancers may write that watch the store: others have their
        configuration from these.
        """
        if self._read_asked_at > self.confirmed_at:
            self._watcher.due(now)
            return
        if not self._is_changed:
            self._write_at = float("inf")
            return
        if self._write_at == float("inf"):
            self._write_at = now + WRITE_DELAY_S
        if not may_write or self.stored is None or now < self._write_at:
            return
        if self._write is not None and self._access.is_pending(self._write):
            return
        self._written = self.known
        value = msgspec.json.encode(self._written).decode()
        op = Put(self._key, value, self._revision)
        self._write = self._access.submit(now, Part.SCOPES, op, WRITE_SPREAD_S)

    def handle_answer(self, now: Seconds, event: StoreAnswered) -> None:
        """Handle an answer, if it is to a call of this part."""
        if event.call == self._write:
            self._handle_written(now, event)
            return
        result = self._watcher.handle_answer(now, event)
        if result is not None:
            self.update(now, result)
            self._confirm(Seconds(self._watcher.issued_at))

    def _handle_written(self, now: Seconds, event: StoreAnswered) -> None:
        """Read the record again unless it was written for certain."""
        answer = self._access.take(now, Part.SCOPES, event)
        self._write = None
        if isinstance(answer, Written):
            self._revision = answer.revision
            self._set_stored(now, self._written)
        else:
            self.refresh(now)

    def _confirm(self, issued_at: Seconds) -> None:
        self.confirmed_at = Seconds(max(self.confirmed_at, issued_at))

    def _apply(self, now: Seconds, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.key != self._key or item.revision < self._revision:
                continue
            self._revision = item.revision
            try:
                stored = msgspec.json.decode(item.value, type=ScopeRecord)
            except msgspec.DecodeError as exc:
                self._unreadable = str(exc)
                stored = ScopeRecord()
            self._set_stored(now, stored)

    def _set_stored(self, now: Seconds, record: ScopeRecord) -> None:
        self._note_added(now, record)
        self.stored = record
        self._set_known(self.known.union(record))

    def _note_added(self, now: Seconds, record: ScopeRecord) -> None:
        """Keep when the services that a record adds were first seen.

        An address with one service needs none: who has read its entry
        before has read that service.
        """
        before = self.stored.services if self.stored else {}
        self._added_at = {
            pair: at
            for pair, at in self._added_at.items()
            if now - at < READ_VALID_S
        }
        for address, named in record.services.items():
            if len(named) < 2:
                continue
            for service in set(named).difference(before.get(address, ())):
                self._added_at[address, service] = now

    def _set_known(self, record: ScopeRecord) -> None:
        self.known = record
        stored = self.stored
        self._is_changed = stored is None or not stored.has_same_content(
            record
        )

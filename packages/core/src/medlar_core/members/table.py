"""Table of records, with hashes for comparison between balancers."""

import collections
import random

from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from ..ids import ServiceName
from .record import fingerprint
from .record import id_hash
from .record import Record
from .record import Role

BUCKETS = 256
TOMBSTONE_S = 24 * 3600.0
"""Longer than any partition or outage that may delay an old record."""
RECORDS_LIMIT = 50_000


class Table:
    """Newest record of each process; GONE ones stay as tombstones.

    ``version`` grows with each change and starts at random, so that a
    reader can tell this table from that of an earlier process on the same
    address. Hashes cover live records only: not every balancer needs the
    tombstone, and one that still has the live record is corrected.
    """

    def __init__(self, rng: random.Random) -> None:
        self.start = self.version = rng.getrandbits(32)
        self.members_version = 0
        self.total = 0
        self.hashes = [0] * BUCKETS
        self.live: dict[NodeId, Record] = {}
        self._tombstones: dict[NodeId, tuple[Record, Seconds]] = {}
        self._buckets: collections.defaultdict[int, dict[NodeId, int]]
        self._buckets = collections.defaultdict(dict)
        self._services: dict[ServiceName, dict[NodeId, int]] = {}
        self._changed: dict[ServiceName, int] = {}
        self._places: dict[PlaceName, dict[NodeId, None]] = {}
        self._balancers: tuple[Record, ...] | None = None

    def get(self, node: NodeId) -> Record | None:
        """Return the newest record of a process, live or not."""
        tombstone = self._tombstones.get(node)
        return self.live.get(node) or (tombstone[0] if tombstone else None)

    def apply(self, now: Seconds, record: Record) -> bool:
        """Store a record if it is newer; return whether it was."""
        held = self.get(record.id)
        if held is not None and held.rank >= record.rank:
            return False
        if held is None and len(self.live) >= RECORDS_LIMIT:
            return False
        self._remove(record.id)
        if record.live:
            self._insert(record)
        else:
            self._tombstones[record.id] = (record, Seconds(now + TOMBSTONE_S))
        self._record_change(record)
        if held is None or held.live != record.live:
            self.members_version += 1
        return True

    def remove(self, node: NodeId) -> None:
        """Remove a live record without a tombstone."""
        self._remove(node)
        self.members_version += 1

    def expire(self, now: Seconds) -> None:
        """Remove expired tombstones."""
        expired = [
            n for n, (_, ends) in self._tombstones.items() if ends <= now
        ]
        for node in expired:
            self._remove(node)

    def balancers(self) -> tuple[Record, ...]:
        """Return the live balancers in the order of their ids' hashes."""
        if self._balancers is None:
            found = [r for r in self.live.values() if _is_balancer(r)]
            found.sort(key=lambda record: id_hash(record.id))
            self._balancers = tuple(found)
        return self._balancers

    def in_place(self, place: PlaceName) -> list[NodeId]:
        """Return the live processes of a place, sorted."""
        return sorted(self._places.get(place, ()))

    def places(self) -> list[PlaceName]:
        """Return the places that have live processes, sorted."""
        return sorted(place for place, held in self._places.items() if held)

    def service_digest(self, service: ServiceName) -> int:
        """Return a 32-bit hash of the live records of a service."""
        digest = 0
        for node in self._services.get(service, ()):
            if node in self.live:
                bucket = self._buckets[id_hash(node) % BUCKETS]
                digest ^= bucket[node]
        return digest & 0xFFFFFFFF

    def service_since(
        self, service: ServiceName, seen: int, digest: int
    ) -> tuple[bool, list[Record]] | None:
        """Return the records of a service that changed after a version.

        The first field is True if the records are all live ones, since
        the version is not one of this table. None if nothing changed, or
        if the records of the reader match ``digest``.
        """
        known = self.start < seen <= self.version
        if known and self._changed.get(service, 0) <= seen:
            return None
        if not known and digest == self.service_digest(service):
            return None
        held = self._services.get(service, {})
        if known:
            nodes = sorted(n for n, at in held.items() if at > seen)
            return False, [r for r in map(self.get, nodes) if r]
        nodes = sorted(n for n in held if n in self.live)
        return True, [self.live[node] for node in nodes]

    def prints(self, bucket: int) -> dict[int, NodeId]:
        """Return the low 32 bits of the fingerprints in a bucket."""
        held = self._buckets.get(bucket, {})
        return {full & 0xFFFFFFFF: node for node, full in held.items()}

    def _insert(self, record: Record) -> None:
        full = fingerprint(record)
        bucket = id_hash(record.id) % BUCKETS
        self.live[record.id] = record
        self._buckets[bucket][record.id] = full
        self.hashes[bucket] ^= full
        self.total ^= full
        self._places.setdefault(record.place, {})[record.id] = None
        if _is_balancer(record):
            self._balancers = None

    def _remove(self, node: NodeId) -> None:
        tombstone = self._tombstones.pop(node, None)
        if tombstone is not None:
            self._services.get(tombstone[0].service, {}).pop(node, None)
        record = self.live.pop(node, None)
        if record is None:
            return
        bucket = id_hash(node) % BUCKETS
        full = self._buckets[bucket].pop(node)
        self.hashes[bucket] ^= full
        self.total ^= full
        self._places[record.place].pop(node, None)
        self._services.get(record.service, {}).pop(node, None)
        if _is_balancer(record):
            self._balancers = None

    def _record_change(self, record: Record) -> None:
        self.version += 1
        if record.role is Role.SERVER:
            held = self._services.setdefault(record.service, {})
            held[record.id] = self.version
            self._changed[record.service] = self.version


def _is_balancer(record: Record) -> bool:
    return record.role is Role.BALANCER

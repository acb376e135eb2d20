"""Gossip of changed records between balancers."""

import random

import msgspec

from ..effects import Send
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from .messages import News
from .record import pack
from .record import Record

GOSSIP_COPIES = 8
"""Balancers that each one sends a change to; digests cover the rest."""
FANOUT = 4
"""Balancers that receive gossip in one tick."""
LONG_QUEUE_RECORDS = 64
LONG_QUEUE_COPIES = 4
"""Copies of a change in a long queue, where digests cost less."""
RECORDS_PER_MESSAGE = 40
PLACE_REPORT_S = 10.0
"""Shortest interval between reports of the same unreachable place."""


class _Pending(msgspec.Struct):
    """A queued record and the number of copies still to send."""

    record: Record
    copies: int


class GossipQueue:
    """Queue of changes to gossip; keeps the newest record of each process."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pending: dict[NodeId, _Pending] = {}
        self._reported_places: dict[PlaceName, int] = {}
        self._next_report_at: dict[PlaceName, float] = {}

    def add(self, record: Record) -> None:
        """Queue a record."""
        many = len(self._pending) >= LONG_QUEUE_RECORDS
        copies = LONG_QUEUE_COPIES if many else GOSSIP_COPIES
        self._pending.pop(record.id, None)
        self._pending[record.id] = _Pending(record, copies)

    def report_place(self, now: Seconds, place: PlaceName) -> None:
        """Queue a report that a place seems unreachable."""
        if now >= self._next_report_at.get(place, now):
            self._next_report_at[place] = now + PLACE_REPORT_S
            self._reported_places[place] = GOSSIP_COPIES

    def due(self, peers: list[NodeId]) -> list[Send]:
        """Return the messages of one tick to randomly chosen peers."""
        if not peers or not (self._pending or self._reported_places):
            return []
        chosen = self._rng.sample(peers, min(FANOUT, len(peers)))
        batch = list(self._pending.values())[:RECORDS_PER_MESSAGE]
        records = [pending.record for pending in batch]
        msg = News(pack(records), tuple(sorted(self._reported_places)))
        for pending in batch:
            pending.copies -= len(chosen)
            if pending.copies <= 0:
                del self._pending[pending.record.id]
        left = {p: n - len(chosen) for p, n in self._reported_places.items()}
        self._reported_places = {p: n for p, n in left.items() if n > 0}
        return [Send(node, msg) for node in chosen]

"""Spreading changed records from balancer to balancer."""

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
"""Balancers that each one tells a change; the rest find out by digest."""
FAN = 4
"""Balancers told in one tick."""
FEW = 64
MANY_COPIES = 4
"""Copies of a change while more than a FEW wait: digests do better."""
RECORDS_PER_MESSAGE = 40
HINT_S = 10.0
"""A place is hinted at no more often than this."""


class _Waiting(msgspec.Struct):
    """A record that still goes to some balancers."""

    record: Record
    copies: int


class Outbox:
    """Changes on their way to other balancers, newest news per process."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._waiting: dict[NodeId, _Waiting] = {}
        self._hints: dict[PlaceName, int] = {}
        self._hinted: dict[PlaceName, float] = {}

    def add(self, record: Record) -> None:
        """Spread a record."""
        many = len(self._waiting) >= FEW
        copies = MANY_COPIES if many else GOSSIP_COPIES
        self._waiting.pop(record.id, None)
        self._waiting[record.id] = _Waiting(record, copies)

    def hint(self, now: Seconds, place: PlaceName) -> None:
        """Spread that a place seems silent."""
        if now >= self._hinted.get(place, now):
            self._hinted[place] = now + HINT_S
            self._hints[place] = GOSSIP_COPIES

    def due(self, peers: list[NodeId]) -> list[Send]:
        """Return the messages of one tick to randomly chosen peers."""
        if not peers or not (self._waiting or self._hints):
            return []
        chosen = self._rng.sample(peers, min(FAN, len(peers)))
        batch = list(self._waiting.values())[:RECORDS_PER_MESSAGE]
        records = [waiting.record for waiting in batch]
        msg = News(pack(records), tuple(sorted(self._hints)))
        for waiting in batch:
            waiting.copies -= len(chosen)
            if waiting.copies <= 0:
                del self._waiting[waiting.record.id]
        left = {p: n - len(chosen) for p, n in self._hints.items()}
        self._hints = {p: n for p, n in left.items() if n > 0}
        return [Send(node, msg) for node in chosen]

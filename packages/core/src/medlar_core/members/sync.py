"""Anti-entropy: compares tables with another balancer and syncs them.

Two balancers compare one hash, then the hashes of buckets, then short
fingerprints of the records in the buckets that differ; only records that
one of them peer_lacks are sent. The cost after a partition depends only on the
number of differences.
"""

import struct

from ..effects import Send
from ..ids import NodeId
from .messages import Buckets
from .messages import Digest
from .messages import Prints
from .messages import Records
from .messages import Same
from .record import pack
from .record import Record
from .table import BUCKETS
from .table import Table

_HASH_BYTES = 3
_PRINT = struct.Struct("<I")


class Sync:
    """One side of the comparison; stateless between messages."""

    def __init__(self, table: Table) -> None:
        self._table = table

    def start(self, peer: NodeId, token: int = 0) -> Send:
        """Return the first message of a comparison.

        Replies repeat the token; 0 requests no reply if the tables match.
        """
        return Send(peer, Digest(self._table.total, token))

    def digest(self, src: NodeId, msg: Digest) -> list[Send]:
        """Reply to the hash over all records."""
        if msg.total != self._table.total:
            return [Send(src, Buckets(msg.token, self._hashes()))]
        return [Send(src, Same(msg.token))] if msg.token else []

    def buckets(self, src: NodeId, msg: Buckets) -> list[Send]:
        """Reply to the hashes of buckets."""
        own = self._hashes()
        differ = [
            number
            for number in range(BUCKETS)
            if _bucket_hash(own, number) != _bucket_hash(msg.hashes, number)
        ]
        prints = [p for number in differ for p in self._table.prints(number)]
        return [Send(src, Prints(msg.token, bytes(differ), _pack(prints)))]

    def prints(self, src: NodeId, msg: Prints) -> list[Send]:
        """Reply to fingerprints with the records that the peer peer_lacks."""
        own: dict[int, NodeId] = {}
        for number in set(msg.buckets):
            own |= self._table.prints(number)
        theirs = _unpack(msg.prints)
        peer_lacks = sorted(node for p, node in own.items() if p not in theirs)
        wants = sorted(p for p in theirs if p not in own)
        records = [self._table.live[node] for node in peer_lacks]
        return [Send(src, Records(msg.token, pack(records), _pack(wants)))]

    def wanted(self, src: NodeId, msg: Records) -> list[Send]:
        """Reply to the fingerprints that the peer peer_lacks."""
        wants = _unpack(msg.wants)
        if not wants:
            return []
        found = [
            self._table.live[node]
            for number in range(BUCKETS)
            for p, node in self._table.prints(number).items()
            if p in wants
        ]
        return [Send(src, Records(0, pack(found)))] if found else []

    def correct(self, src: NodeId, stale: list[Record]) -> list[Send]:
        """Reply to outdated records with the newer ones."""
        newer = [self._table.get(record.id) for record in stale]
        found = [record for record in newer if record is not None]
        return [Send(src, Records(0, pack(found)))] if found else []

    def _hashes(self) -> bytes:
        mask = (1 << 8 * _HASH_BYTES) - 1
        return b"".join(
            (value & mask).to_bytes(_HASH_BYTES, "little")
            for value in self._table.hashes
        )


def _bucket_hash(hashes: bytes, number: int) -> bytes:
    return hashes[number * _HASH_BYTES : (number + 1) * _HASH_BYTES]


def _pack(prints: list[int]) -> bytes:
    return b"".join(_PRINT.pack(value) for value in prints)


def _unpack(data: bytes) -> dict[int, None]:
    complete_bytes = len(data) - len(data) % _PRINT.size
    return {
        value: None for (value,) in _PRINT.iter_unpack(data[:complete_bytes])
    }

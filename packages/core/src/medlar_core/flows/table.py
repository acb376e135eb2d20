"""Bucket table of one service: maps each bucket to its owner.

Every process computes the table from the members alone, so equal views
give equal tables. Buckets rank servers by weighted rendezvous hashing;
a server gets no more buckets than its share, the rest go to their
next candidate. The result is the one stable matching of buckets and
servers, hence independent of history, and a change of one member moves
few other buckets.
"""

import array
from collections.abc import Iterable
from collections.abc import Sequence
import functools

import msgspec
import numpy as np
import numpy.typing as npt
import xxhash

from ..ids import NodeId
from ..members.view import Server
from ..members.view import ServerState
from .limits import CANDIDATES_PER_BUCKET
from .limits import TABLE_CACHE_SIZE
from .limits import WARMTH_STEPS

ACCEPTING = (ServerState.READY, ServerState.WARMING)
_GOLDEN = np.uint64(0x9E3779B97F4A7C15)
_MIX = (np.uint64(0xBF58476D1CE4E5B9), np.uint64(0x94D049BB133111EB))
_BYTE_VALUES = 256
_CHUNK_PAIRS = 1 << 21

_Indices = npt.NDArray[np.int32]
_Scores = npt.NDArray[np.float64]


class Candidate(msgspec.Struct, frozen=True):
    """A server that may own buckets, and its relative share of them."""

    id: NodeId
    share: float


class Table(msgspec.Struct, frozen=True):
    """Owners and candidates of each bucket of one service.

    ``owners`` has one entry per bucket, ``ranks`` has shape (buckets,
    candidates kept); both index ``ids``. Owners are packed, so that the
    tables of many services fit the processor's cache. ``accepting`` is
    whether the owners accept new flows.
    """

    ids: tuple[NodeId, ...]
    owners: Sequence[int]
    ranks: _Indices
    accepting: bool

    def bucket(self, key: int) -> int:
        """Return the bucket of a flow key."""
        return key % len(self.owners)

    def owner(self, key: int) -> NodeId:
        """Return the owner of a flow key's bucket."""
        return self.ids[self.owners[key % len(self.owners)]]

    def candidates(self, bucket: int) -> list[NodeId]:
        """Return the owner of a bucket, then its candidates by rank."""
        owner = self.ids[self.owners[bucket]]
        ranked = [self.ids[i] for i in self.ranks[bucket].tolist()]
        return [owner, *(i for i in ranked if i != owner)]


def accepting(server: Server) -> bool:
    """Return whether a server accepts new flows."""
    return server.state in ACCEPTING and share(server) > 0.0


def share(server: Server) -> float:
    """Return a server's relative share of new flows.

    The warmth is rounded up to steps, so that a rising share changes the
    table only a few times.
    """
    warmth = 1.0
    if server.state is ServerState.WARMING:
        warmth = -(-server.warmth * WARMTH_STEPS // 1) / WARMTH_STEPS
    return server.weight * min(warmth, 1.0)


def choose_candidates(servers: Iterable[Server]) -> tuple[Candidate, ...]:
    """Return the candidates among the members of a service, by id.

    If no member accepts new flows, all are candidates, so that packets of
    open flows are still routed.
    """
    members = sorted(servers, key=lambda server: server.id)
    found = [s for s in members if accepting(s)]
    if found:
        return tuple(Candidate(s.id, share(s)) for s in found)
    return tuple(Candidate(s.id, 0.0) for s in members)


@functools.lru_cache(maxsize=TABLE_CACHE_SIZE)
def build(candidates: tuple[Candidate, ...], buckets: int) -> Table:
    """Return the table of a service.

    :raises ValueError: if there is no candidate.
    """
    if not candidates:
        raise ValueError("expected a candidate, got none: leave the service")
    ids = tuple(c.id for c in candidates)
    takes_new = candidates[0].share > 0.0
    shares = np.array([c.share if takes_new else 1.0 for c in candidates])
    ranks, scores = _rank(ids, shares, buckets)
    capacity = np.ceil(shares / shares.sum() * buckets).astype(np.int64)
    matched = _stable_matching(ranks, scores, capacity)
    return Table(ids, _pack(matched, len(ids)), ranks, takes_new)


def _pack(owners: _Indices, servers: int) -> Sequence[int]:
    """Return owners in one byte each if there are few enough servers."""
    if servers <= _BYTE_VALUES:
        return owners.astype(np.uint8).tobytes()
    return array.array("I", owners.tolist())


def _rank(
    ids: Sequence[NodeId], shares: npt.NDArray[np.float64], buckets: int
) -> tuple[_Indices, _Scores]:
    """Return the best candidates of each bucket and their scores."""
    kept = min(CANDIDATES_PER_BUCKET, len(ids))
    digests = [xxhash.xxh3_64_intdigest(i.encode()) for i in ids]
    hashes = np.array(digests, np.uint64)
    ranks = np.empty((buckets, kept), np.int32)
    scores = np.empty((buckets, kept))
    step = max(1, _CHUNK_PAIRS // len(ids))
    for start in range(0, buckets, step):
        rows = np.arange(start, min(start + step, buckets), dtype=np.uint64)
        part = _score(hashes, rows, shares)
        best = np.argpartition(part, kept - 1, axis=1)[:, :kept]
        found = np.take_along_axis(part, best, axis=1)
        order = np.argsort(found, axis=1)
        end = start + len(rows)
        ranks[start:end] = np.take_along_axis(best, order, axis=1)
        scores[start:end] = np.take_along_axis(found, order, axis=1)
    return ranks, scores


def _score(
    hashes: npt.NDArray[np.uint64],
    rows: npt.NDArray[np.uint64],
    shares: npt.NDArray[np.float64],
) -> _Scores:
    """Return the score of each pair; the lowest wins.

    The scores are exponential variables with the shares as rates, so a
    server wins in proportion to its share.
    """
    mixed = hashes[None, :] ^ ((rows + np.uint64(1)) * _GOLDEN)[:, None]
    mixed ^= mixed >> np.uint64(30)
    mixed *= _MIX[0]
    mixed ^= mixed >> np.uint64(27)
    mixed *= _MIX[1]
    mixed ^= mixed >> np.uint64(31)
    drawn = ((mixed >> np.uint64(11)) + np.uint64(1)) * 2.0**-53
    return np.asarray(-np.log(drawn) / shares)


def _stable_matching(
    ranks: _Indices, scores: _Scores, capacity: npt.NDArray[np.int64]
) -> _Indices:
    """Return the owner of each bucket: the stable matching.

    Buckets that none of their candidates has capacity for go to servers
    with free capacity.
    """
    buckets, kept = ranks.shape
    rows = np.arange(buckets)
    tried = np.zeros(buckets, np.int64)
    while True:
        active = rows[tried < kept]
        server = ranks[active, tried[active]]
        order = np.lexsort((scores[active, tried[active]], server))
        sorted_server = server[order]
        first = np.searchsorted(sorted_server, sorted_server)
        refused = np.arange(len(order)) - first >= capacity[sorted_server]
        if not refused.any():
            break
        tried[active[order[refused]]] += 1
    owners = ranks[rows, np.where(tried < kept, tried, 0)]
    unplaced = rows[tried >= kept]
    if len(unplaced):
        taken = np.bincount(owners[tried < kept], minlength=len(capacity))
        free = np.repeat(np.arange(len(capacity)), capacity - taken)
        owners[unplaced] = free[: len(unplaced)]
    return owners

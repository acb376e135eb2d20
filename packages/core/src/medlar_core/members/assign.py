"""Assignment of processes to the balancers that watch them.

Consistent hashing with bounded loads: balancers that hold the same records
compute the same assignment, few assignments change when a process joins or
leaves, and no balancer watches many more processes than others.
"""

import bisect
import collections
from collections.abc import Iterable
import math

from ..ids import NodeId
from ..ids import PlaceName
from ..ids import RegionName
from .places import Places
from .record import id_hash
from .record import Record

POINTS_PER_BALANCER = 8
LOAD_BOUND = 1.05
"""Upper bound of the processes per balancer, as a multiple of the mean."""


class _Ring:
    """Hash ring of balancers with several points each and a bounded load."""

    def __init__(self, balancers: list[Record], members: int) -> None:
        points = [
            (id_hash(f"{record.id}#{number}"), record)
            for record in balancers
            for number in range(POINTS_PER_BALANCER)
        ]
        points.sort(key=lambda point: point[0])
        self._hashes = [point[0] for point in points]
        self._records = [point[1] for point in points]
        self._load: collections.Counter[NodeId] = collections.Counter()
        self._limit = math.ceil(LOAD_BOUND * members / max(1, len(balancers)))

    def pick(
        self, node: NodeId, excluded: NodeId | None, place: PlaceName | None
    ) -> NodeId | None:
        """Return the first suitable balancer after the hash of the node.

        Skips the node itself and ``excluded``. Prefers balancers outside
        ``place`` below the limit, then those at it, then those inside.
        """
        inside: NodeId | None = None
        full: NodeId | None = None
        count = len(self._records)
        start = bisect.bisect(self._hashes, id_hash(node))
        for step in range(count):
            record = self._records[(start + step) % count]
            if record.id == node or record.id == excluded:
                continue
            if record.place == place:
                inside = inside or record.id
                continue
            if self._load[record.id] < self._limit:
                self._load[record.id] += 1
                return record.id
            full = full or record.id
        return full or inside


def assign(
    members: Iterable[Record], balancers: Iterable[Record], places: Places
) -> dict[NodeId, tuple[NodeId, ...]]:
    """Return for each process the two balancers that watch it.

    The first is in the place of the process, the second in another place of
    the same region, where such balancers exist. Watchers are in the region
    of the process, so that a region that is partitioned from another is not
    declared dead by it.
    """
    ordered = sorted(members, key=lambda record: id_hash(record.id))
    found = list(balancers)
    sizes = collections.Counter(record.place for record in ordered)
    place_rings: dict[PlaceName, _Ring] = {}
    for place in sizes:
        near = [record for record in found if record.place == place]
        place_rings[place] = _Ring(near, sizes[place])
    region_rings: dict[RegionName, _Ring] = {}
    for region in {places.region(place) for place in sizes}:
        near = [r for r in found if places.region(r.place) == region]
        inside = [p for p in sizes if places.region(p) == region]
        count = sum(sizes[place] for place in inside)
        region_rings[region] = _Ring(near or found, count)
    watchers: dict[NodeId, tuple[NodeId, ...]] = {}
    for record in ordered:
        region_ring = region_rings[places.region(record.place)]
        local = place_rings[record.place].pick(record.id, None, None)
        if local is None:
            local = region_ring.pick(record.id, None, record.place)
        remote = region_ring.pick(record.id, local, record.place)
        watchers[record.id] = tuple(node for node in (local, remote) if node)
    return watchers

"""Which balancers watch which processes.

Consistent hashing with bounded loads: all who hold the same records come
to the same answer, few change hands when a process comes or goes, and no
balancer watches many more than others.
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

POINTS = 8
SLACK = 1.05
"""Most processes that a balancer watches, beside the mean."""


class _Ring:
    """Balancers on a circle, each at several points, with a limit."""

    def __init__(self, balancers: list[Record], members: int) -> None:
        points = [
            (id_hash(f"{record.id}#{number}"), record)
            for record in balancers
            for number in range(POINTS)
        ]
        points.sort(key=lambda point: point[0])
        self._hashes = [point[0] for point in points]
        self._records = [point[1] for point in points]
        self._load: collections.Counter[NodeId] = collections.Counter()
        self._limit = math.ceil(SLACK * members / max(1, len(balancers)))

    def pick(
        self, node: NodeId, taken: NodeId | None, place: PlaceName | None
    ) -> NodeId | None:
        """Return the next balancer with room, not the node or ``taken``.

        One outside ``place`` goes before one inside, also if it is full.
        """
        inside: NodeId | None = None
        full: NodeId | None = None
        count = len(self._records)
        start = bisect.bisect(self._hashes, id_hash(node))
        for step in range(count):
            record = self._records[(start + step) % count]
            if record.id == node or record.id == taken:
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

    The first is in its own place, the second in another place of the same
    region, as far as there are such. Regions judge their own: one that is
    cut off is not taken for dead by the other.
    """
    ordered = sorted(members, key=lambda record: id_hash(record.id))
    found = list(balancers)
    sizes = collections.Counter(record.place for record in ordered)
    homes: dict[PlaceName, _Ring] = {}
    for place in sizes:
        near = [record for record in found if record.place == place]
        homes[place] = _Ring(near, sizes[place])
    regions: dict[RegionName, _Ring] = {}
    for region in {places.region(place) for place in sizes}:
        near = [r for r in found if places.region(r.place) == region]
        inside = [p for p in sizes if places.region(p) == region]
        count = sum(sizes[place] for place in inside)
        regions[region] = _Ring(near or found, count)
    watchers: dict[NodeId, tuple[NodeId, ...]] = {}
    for record in ordered:
        region_ring = regions[places.region(record.place)]
        home = homes[record.place].pick(record.id, None, None)
        if home is None:
            home = region_ring.pick(record.id, None, record.place)
        away = region_ring.pick(record.id, home, record.place)
        watchers[record.id] = tuple(node for node in (home, away) if node)
    return watchers

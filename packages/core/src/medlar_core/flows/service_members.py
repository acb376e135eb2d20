"""Members, bucket history and loads of the service of an agent."""

import math

import msgspec
import xxhash

from ..ids import FlowKey
from ..ids import Incarnation
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from ..ids import ServiceName
from ..members.view import Server
from ..members.view import ServerState
from .limits import DEPARTED_LIFETIME_S
from .limits import INTRODUCED_LIFETIME_S
from .limits import LOAD_GROWTH_S
from .limits import PAST_OWNERS_PER_BUCKET
from .limits import RESET_DELAY_S
from .limits import SPILL_CANDIDATES
from .limits import SPILL_SHARE
from .limits import SPILL_SLACK
from .services import Services
from .table import accepting
from .table import share
from .table import Table


class Changes(msgspec.Struct, frozen=True):
    """What a new view or configuration changed for an agent's flows.

    ``table_changed`` is true if the service has another table.
    ``restarted`` are members with a new incarnation, whose directories are
    empty.
    """

    table_changed: bool
    restarted: frozenset[NodeId]


class ServiceMembers:
    """Members, earlier bucket owners and loads of one service."""

    def __init__(
        self, node: NodeId, service: ServiceName, place: PlaceName
    ) -> None:
        self._node = node
        self._service = service
        self._place = place
        self.table: Table | None = None
        self.ids: set[NodeId] = set()
        self.digest = 0
        self.own_record: Server | None = None
        self._incarnations: dict[NodeId, Incarnation] = {}
        self._introduced: dict[NodeId, tuple[Incarnation, float]] = {}
        self._departed: dict[NodeId, float] = {}
        self._past_owners: dict[int, tuple[NodeId, ...]] = {}
        self._headroom: dict[NodeId, float] = {}
        self._same_place: list[NodeId] = []
        self._other_places: list[NodeId] = []
        self._own_share = 1.0
        self._mean = 0.0
        self._mean_at = 0.0
        self._growth = 0.0

    def update(
        self, now: Seconds, services: Services, own_flows: int
    ) -> Changes:
        """Apply the current view and configuration."""
        members = services.members(self._service)
        restarted = self._update_members(now, members)
        old = self.table
        self.table = services.table(self._service)
        table_changed = old is not self.table
        if table_changed:
            self._record_past_owners(old, self.table)
        self._update_loads(now, members, own_flows)
        return Changes(table_changed, restarted)

    def departed(self, now: Seconds, node: NodeId) -> bool:
        """Return whether a member departed at least RESET_DELAY_S ago."""
        at = self._departed.get(node)
        return at is not None and now - at >= RESET_DELAY_S

    def past_owners(self, key: FlowKey) -> tuple[NodeId, ...]:
        """Return earlier owners of a flow's bucket, the latest first."""
        if self.table is None:
            return ()
        return self._past_owners.get(self.table.bucket(key), ())

    def ranked(self, key: FlowKey) -> list[NodeId]:
        """Return the owner of a flow's bucket, then the other candidates."""
        if self.table is None:
            return []
        return self.table.candidates(self.table.bucket(key))

    def overloaded(self, now: Seconds, flows: int) -> bool:
        """Return whether this many local flows are far above the mean.

        The mean is as old as the load reports, so its growth is extrapolated.
        """
        age_s = min(now - self._mean_at, LOAD_GROWTH_S)
        mean = (self._mean + self._growth * age_s) * self._own_share
        slack = SPILL_SLACK * math.sqrt(max(1.0, mean))
        return flows > mean * SPILL_SHARE + slack

    def find_underloaded(
        self, key: FlowKey, asked: tuple[NodeId, ...]
    ) -> NodeId | None:
        """Return a member below the mean load, preferring the same place.

        The flow's key selects a few members, and the one with the most
        headroom is chosen. Its headroom is reduced until the next report.
        """
        for group in (self._same_place, self._other_places):
            sampled = _sample(group, key)
            free = [i for i in sampled if self._headroom[i] >= 1.0]
            free = [i for i in free if i not in asked]
            if free:
                best = max(free, key=lambda i: self._headroom[i])
                self._headroom[best] -= 1.0
                return best
        return None

    def accepting(self, node: NodeId) -> bool:
        """Return whether a member accepts new flows."""
        return node in self._headroom

    def _update_members(
        self, now: Seconds, members: list[Server]
    ) -> frozenset[NodeId]:
        self.own_record = next(
            (s for s in members if s.id == self._node), None
        )
        incarnations = {s.id: s.incarnation for s in members}
        for node, (incarnation, at) in list(self._introduced.items()):
            if node in incarnations or now - at > INTRODUCED_LIFETIME_S:
                del self._introduced[node]
            else:
                incarnations[node] = incarnation
        return self._set_members(now, incarnations)

    def add_introduced(
        self, now: Seconds, node: NodeId, incarnation: Incarnation
    ) -> None:
        """Add a new member that introduced itself."""
        if self._incarnations.get(node, -1) < incarnation:
            self._introduced[node] = (incarnation, now)
            known = {**self._incarnations, node: incarnation}
            self._set_members(now, known)

    def _set_members(
        self, now: Seconds, incarnations: dict[NodeId, Incarnation]
    ) -> frozenset[NodeId]:
        """Set the members; return those with a new incarnation."""
        before = self._incarnations
        if incarnations == before:
            return frozenset()
        for node in before.keys() - incarnations.keys():
            self._departed[node] = now
        for node in incarnations:
            self._departed.pop(node, None)
        for node, at in list(self._departed.items()):
            if now - at > DEPARTED_LIFETIME_S:
                del self._departed[node]
        self._incarnations = incarnations
        self.ids = set(incarnations)
        text = ",".join(f"{i}/{n}" for i, n in sorted(incarnations.items()))
        self.digest = xxhash.xxh3_64_intdigest(text.encode()) >> 1
        return frozenset(
            node
            for node, incarnation in incarnations.items()
            if before.get(node, incarnation) != incarnation
        )

    def _record_past_owners(
        self, old: Table | None, new: Table | None
    ) -> None:
        if old is None or new is None:
            return
        if len(old.owners) != len(new.owners):
            self._past_owners = {}
            return
        pairs = zip(old.owners, new.owners, strict=True)
        for bucket, (before, after) in enumerate(pairs):
            if old.ids[before] == new.ids[after]:
                continue
            owner = old.ids[before]
            earlier = self._past_owners.get(bucket, ())
            kept = tuple(
                i for i in earlier if i not in (owner, new.ids[after])
            )
            self._past_owners[bucket] = (owner, *kept)[:PAST_OWNERS_PER_BUCKET]

    def _update_loads(
        self, now: Seconds, members: list[Server], own_flows: int
    ) -> None:
        eligible = [s for s in members if accepting(s)]
        total = sum(s.flows for s in eligible)
        shares = sum(share(s) for s in eligible)
        if self.own_record is not None and accepting(self.own_record):
            total += own_flows - self.own_record.flows
        mean = total / shares if shares else 0.0
        others = [s for s in eligible if s.id != self._node]
        self._headroom = {s.id: mean * share(s) - s.flows for s in others}
        free = [s for s in others if self._headroom[s.id] >= 1.0]
        self._same_place = [s.id for s in free if s.place == self._place]
        self._other_places = [s.id for s in free if s.place != self._place]
        self._own_share = (
            share(self.own_record) if self.own_record is not None else 1.0
        )
        if now - self._mean_at >= LOAD_GROWTH_S / 2:
            growth = (mean - self._mean) / (now - self._mean_at)
            self._growth = max(0.0, growth)
            self._mean = mean
            self._mean_at = now

    @property
    def draining(self) -> bool:
        """Whether membership lists the local server as draining."""
        return (
            self.own_record is not None
            and self.own_record.state is ServerState.DRAINING
        )


def _sample(group: list[NodeId], key: int) -> list[NodeId]:
    """Return a few members selected by the key."""
    if len(group) <= SPILL_CANDIDATES:
        return group
    return [
        group[(key >> 8 * i) % len(group)] for i in range(SPILL_CANDIDATES)
    ]

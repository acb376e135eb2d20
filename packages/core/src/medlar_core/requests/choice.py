"""Choice of the server for an attempt, by the load sent with answers.

Health and load endpoints are not polled: each answer carries the load
of the agent's slots, and between answers the balancer counts its own
attempts.
"""

import collections
from collections.abc import Collection
import random

import msgspec
import xxhash

from ..ids import NodeId
from ..ids import ServiceName
from ..members.view import Server
from ..members.view import ServerState
from ..members.view import View
from .events import ServerLoad
from .homes import candidates
from .homes import Homes
from .policy import Policy

MIN_CAPACITY_FACTOR = 0.05
"""Lower bound of warmth and weight in the score of a server."""
OUTLIER_FAILURE_SCORE = 0.3
"""Failure score above which a server counts as an outlier."""
OUTLIER_PENALTY = 3.0
"""Load added to an outlier at failure score 1, as a multiple of slots."""


class _Stat(msgspec.Struct):
    """Load and failures of a server, as known to this balancer."""

    busy: int = 0
    by_rank: tuple[int, ...] = ()
    load_at: float = -1e9
    sent_since_load: int = 0
    open: int = 0
    failures: float = 0.0
    responded_at: float = 0.0
    probed_at: float = 0.0
    unresponsive: bool = False


class Choice:
    """Servers of each service in this balancer's current view."""

    def __init__(
        self, node: NodeId, rng: random.Random, policy: Policy
    ) -> None:
        self._node = node
        self._rng = rng
        self._policy = policy
        self._servers: dict[ServiceName, list[Server]] = {}
        self._homes: dict[ServiceName, Homes] = {}
        self._members: dict[ServiceName, list[Server]] = {}
        self._stats: dict[NodeId, _Stat] = {}
        self._by_id: dict[NodeId, Server] = {}

    def set_view(self, view: View) -> None:
        """Apply a new view; keep the statistics of remaining servers."""
        # Views change with each load report, so homes and subsets are
        # computed only when a request of the service needs them.
        self._by_id = {server.id: server for server in view.servers}
        self._members = collections.defaultdict(list)
        for server in view.servers:
            self._members[server.service].append(server)
        self._homes = {}
        self._servers = {}
        self._stats = {
            id: self._stats.get(id) or _Stat() for id in self._by_id
        }

    def homes(self, service: ServiceName) -> Homes:
        """Return the processes that may be the home of a key."""
        found = self._homes.get(service)
        if found is None:
            members = View(0, tuple(self._members.get(service, ())), ())
            found = self._homes[service] = candidates(members, service)
        return found

    def server(self, node: NodeId) -> Server | None:
        """Return a server by its agent's address."""
        return self._by_id.get(node)

    def pick(
        self,
        now: float,
        service: ServiceName,
        rank: int,
        tried: Collection[NodeId],
    ) -> Server | None:
        """Return the least loaded of a few sampled servers for a rank."""
        known = self._subset_of(service)
        untried = [s for s in known if s.id not in tried]
        responsive = [
            s for s in untried if self.is_responsive(now, s.id)
        ] or untried
        if not responsive:
            return None
        count = min(self._policy.choices, len(responsive))
        sampled = self._rng.sample(responsive, count)
        outliers = self._outliers(service)
        return min(
            sampled, key=lambda s: self._score(now, s, rank, s.id in outliers)
        )

    def idle(self, now: float, server: Server, rank: int) -> bool:
        """Return whether a server probably has a free slot for a rank."""
        return self._score(now, server, rank, False) < 1.0

    def is_responsive(self, now: float, node: NodeId) -> bool:
        """Return whether a server responds or is due for a probe."""
        stat = self._stats.get(node)
        if stat is None:
            return True
        wait = self._policy.silence_s
        if stat.open and now - stat.responded_at > wait:
            stat.unresponsive = True
        return not stat.unresponsive or now - stat.probed_at > wait

    def sent(self, now: float, node: NodeId) -> None:
        """Record an attempt sent to a server."""
        stat = self._stats.get(node)
        if stat is None:
            return
        if not stat.open:
            stat.responded_at = now
        stat.open += 1
        stat.sent_since_load += 1
        stat.probed_at = now

    def ended(
        self, now: float, node: NodeId, load: ServerLoad | None, failed: bool
    ) -> None:
        """Record the end of an attempt and the load sent with it."""
        stat = self._stats.get(node)
        if stat is None:
            return
        stat.open = max(stat.open - 1, 0)
        gain = self._policy.outlier_gain
        stat.failures += gain * ((1.0 if failed else 0.0) - stat.failures)
        if load is not None:
            stat.busy = load.busy
            stat.by_rank = load.by_rank
            stat.load_at = now
            stat.sent_since_load = 0
            stat.responded_at = now
            stat.unresponsive = False

    def timed_out(self, node: NodeId, since: float) -> None:
        """Record that an attempt sent at ``since`` got no answer in time."""
        stat = self._stats.get(node)
        if stat is not None and stat.responded_at <= since:
            stat.unresponsive = True

    def _score(
        self, now: float, server: Server, rank: int, outlier: bool
    ) -> float:
        """Return the load of a server relative to its capacity."""
        stat = self._stats[server.id]
        load = float(stat.open)
        if now - stat.load_at <= self._policy.load_fresh_s:
            ahead = sum(stat.by_rank[: rank + 1])
            load = stat.busy + ahead + stat.sent_since_load
        if outlier:
            load += OUTLIER_PENALTY * stat.failures * server.slots
        room = server.slots * max(server.warmth, MIN_CAPACITY_FACTOR)
        return load / (room * max(server.weight, MIN_CAPACITY_FACTOR))

    def _outliers(self, service: ServiceName) -> set[NodeId]:
        """Return the servers that fail most, up to ``outlier_most``."""
        known = self._subset_of(service)
        outliers = [
            s
            for s in known
            if self._stats[s.id].failures > OUTLIER_FAILURE_SCORE
        ]
        outliers.sort(key=lambda s: -self._stats[s.id].failures)
        most = int(self._policy.outlier_most * len(known))
        return {s.id for s in outliers[:most]}

    def _subset_of(self, service: ServiceName) -> list[Server]:
        """Return the subset of servers that this balancer uses."""
        found = self._servers.get(service)
        if found is None:
            found = self._servers[service] = self._compute_subset(service)
        return found

    def _compute_subset(self, service: ServiceName) -> list[Server]:
        usable = (ServerState.READY, ServerState.WARMING)
        members = self._members.get(service, ())
        found = [s for s in members if s.state in usable]
        if len(found) <= self._policy.subset:
            return found
        mine = self._node.encode()
        found.sort(key=lambda s: xxhash.xxh3_64_intdigest(mine, _seed(s)))
        return found[: self._policy.subset]


def _seed(server: Server) -> int:
    return xxhash.xxh3_64_intdigest(server.id.encode())

"""Which server a balancer tries, by what agents told with answers.

Health and load endpoints are not asked: an agent's own word on its
slots comes with each answer, and in between a balancer counts what it
sent itself.
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

LEAST_WARMTH = 0.05
"""Warmth that even a server just started counts as."""
FAILING = 0.3
"""Score of failures from which a server counts as an outlier."""
PENALTY = 3.0
"""Slots' worth of load that a full score of failures adds."""


class _Stat(msgspec.Struct):
    """What this balancer knows of a server."""

    busy: int = 0
    by_rank: tuple[int, ...] = ()
    told_at: float = -1e9
    since: int = 0
    open: int = 0
    failures: float = 0.0
    heard_at: float = 0.0
    probed_at: float = 0.0
    silent: bool = False


class Choice:
    """Servers of each service, as this balancer sees them."""

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
        """Take a new view; what is known of servers that stay is kept."""
        # A view comes with each change of load: what is worked out of it
        # waits until a request of the service asks.
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
        """Return the processes that may be home to keys."""
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
        """Return the server, of a few, where work of a rank waits least."""
        known = self._known(service)
        rest = [s for s in known if s.id not in tried]
        open_to = [s for s in rest if self.speaks(now, s.id)] or rest
        if not open_to:
            return None
        count = min(self._policy.choices, len(open_to))
        some = self._rng.sample(open_to, count)
        bad = self._outliers(service)
        return min(some, key=lambda s: self._score(now, s, rank, s.id in bad))

    def idle(self, now: float, server: Server, rank: int) -> bool:
        """Return whether a server seems to have a slot for a rank."""
        return self._score(now, server, rank, False) < 1.0

    def speaks(self, now: float, node: NodeId) -> bool:
        """Return whether a server answers, or is due to be probed."""
        stat = self._stats.get(node)
        if stat is None:
            return True
        wait = self._policy.silence_s
        if stat.open and now - stat.heard_at > wait:
            stat.silent = True
        return not stat.silent or now - stat.probed_at > wait

    def sent(self, now: float, node: NodeId) -> None:
        """Note an attempt at a server."""
        stat = self._stats.get(node)
        if stat is None:
            return
        if not stat.open:
            stat.heard_at = now
        stat.open += 1
        stat.since += 1
        stat.probed_at = now

    def ended(
        self, now: float, node: NodeId, load: ServerLoad | None, failed: bool
    ) -> None:
        """Note the end of an attempt and the load told with it."""
        stat = self._stats.get(node)
        if stat is None:
            return
        stat.open = max(stat.open - 1, 0)
        gain = self._policy.outlier_gain
        stat.failures += gain * ((1.0 if failed else 0.0) - stat.failures)
        if load is not None:
            stat.busy = load.busy
            stat.by_rank = load.by_rank
            stat.told_at = now
            stat.since = 0
            stat.heard_at = now
            stat.silent = False

    def unheard(self, node: NodeId, since: float) -> None:
        """Note that an attempt sent then got no word by its deadline."""
        stat = self._stats.get(node)
        if stat is not None and stat.heard_at <= since:
            stat.silent = True

    def _score(
        self, now: float, server: Server, rank: int, outlier: bool
    ) -> float:
        """Return the load of a server as a share of what it may take."""
        stat = self._stats[server.id]
        load = float(stat.open)
        if now - stat.told_at <= self._policy.load_fresh_s:
            ahead = sum(stat.by_rank[: rank + 1])
            load = stat.busy + ahead + stat.since
        if outlier:
            load += PENALTY * stat.failures * server.slots
        room = server.slots * max(server.warmth, LEAST_WARMTH)
        return load / (room * max(server.weight, LEAST_WARMTH))

    def _outliers(self, service: ServiceName) -> set[NodeId]:
        """Return the servers that fail most, never most of them all."""
        known = self._known(service)
        bad = [s for s in known if self._stats[s.id].failures > FAILING]
        bad.sort(key=lambda s: -self._stats[s.id].failures)
        most = int(self._policy.outlier_most * len(known))
        return {s.id for s in bad[:most]}

    def _known(self, service: ServiceName) -> list[Server]:
        """Return the few servers that this balancer talks to."""
        found = self._servers.get(service)
        if found is None:
            found = self._servers[service] = self._subset(service)
        return found

    def _subset(self, service: ServiceName) -> list[Server]:
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

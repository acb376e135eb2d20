"""A fleet of configuration reducers on a fake network and store."""

from collections.abc import Callable
import random
from typing import Any

from medlar_core.config.model import Configuration
from medlar_core.config.outcome import Change
from medlar_core.config.outcome import Outcome
from medlar_core.config.replication import ConfigReplicator
from medlar_core.config.writer import ConfigWriter
from medlar_core.config.writer import Finished
from medlar_core.effects import Publish
from medlar_core.effects import Record
from medlar_core.events import ConfigurationChanged
from medlar_core.events import ViewChanged
from medlar_core.ids import ChangeId
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import ServiceName
from medlar_core.ids import Version
from medlar_core.members.view import Balancer
from medlar_core.members.view import Server
from medlar_core.members.view import ServerState
from medlar_core.members.view import View
from medlar_core.timeline.events import TimelineEvent
from medlar_fakes.clock import Clock
from medlar_fakes.net import Net
from medlar_fakes.store import Store

from .documents import PLACES

SERVICE_SERVERS = 3
"""Servers of a service; their agents know one another."""
AGENT_BALANCERS = 3
"""Balancers in the view of an agent."""


class Fleet:
    """Balancers and agents that run ConfigReplicator, and operators.

    ``in_force_at[node][version]`` is the time at which a version took
    effect. ``reverted_nodes`` are the processes that went back from a
    newer version to an older one or applied the same one again.
    """

    def __init__(self, balancers: int, agents: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.store = Store(self.clock, seed)
        self.net = Net(
            self.clock, seed, self.store, self._apply_effect, metered=True
        )
        self.in_force_at: dict[NodeId, dict[Version, float]] = {}
        self.outcomes: dict[ChangeId, Outcome] = {}
        self.outcome_at: dict[ChangeId, float] = {}
        self.records: list[tuple[NodeId, TimelineEvent]] = []
        self.reverted_nodes: set[NodeId] = set()
        self.alive: dict[NodeId, bool] = {}
        self._number = 0
        for _ in range(balancers):
            self.start(is_balancer=True, publish=False)
        for _ in range(agents):
            self.start(is_balancer=False, publish=False)
        self.publish_view()

    def start(self, is_balancer: bool, publish: bool = True) -> NodeId:
        """Start a process whose settings list up to five others as seeds."""
        high, low = divmod(self._number, 250)
        node = NodeId(f"10.1.{high}.{low}:7000")
        self._number += 1
        known = list(self.alive)
        seeds = self.rng.sample(known, min(5, len(known)))
        rng = random.Random(self.rng.random())
        self.alive[node] = is_balancer
        self.in_force_at[node] = {}
        self.net.attach(node, ConfigReplicator(node, seeds, rng))
        if publish:
            self.publish_view()
        return node

    def kill(self, node: NodeId) -> None:
        """Stop a process without notice."""
        self.net.kill(node)
        del self.alive[node]

    def publish_view(self) -> None:
        """Send every process its view of the membership.

        A balancer sees all members. An agent sees the servers of its
        service and the few balancers that monitor it.
        """
        balancers = tuple(
            Balancer(node, Incarnation(1), self._place(node))
            for node, is_balancer in self.alive.items()
            if is_balancer
        )
        servers = tuple(
            self._server(node)
            for node, is_balancer in self.alive.items()
            if not is_balancer
        )
        full_view = ViewChanged(View(self._number, servers, balancers))
        for balancer in balancers:
            self.net.dispatch(balancer.id, full_view)
        for at, server in enumerate(servers):
            first = at - at % SERVICE_SERVERS
            peers = servers[first : first + SERVICE_SERVERS]
            offset = at % max(1, len(balancers))
            monitors = (balancers[offset:] + balancers)[:AGENT_BALANCERS]
            view = View(self._number, peers, monitors)
            self.net.dispatch(server.id, ViewChanged(view))

    def apply(
        self,
        change: str,
        cfg: Configuration,
        base: int,
        limit_s: float = 30.0,
        handover: bool = True,
        at_least: int = 0,
    ) -> ChangeId:
        """Start to apply a document as an operator.

        The outcome is stored in ``outcomes`` once it is known.
        """
        operator = NodeId(f"operator-{change}")
        request = Change(
            ChangeId(change), operator, Version(base), Version(at_least)
        )
        nodes = tuple(self.alive) if handover else ()
        rng = random.Random(self.rng.random())
        writer = ConfigWriter(request, cfg, rng, nodes, limit_s)
        self.net.attach(operator, writer)
        return request.id

    def settle(
        self, done: Callable[[], bool], limit_s: float, step_s: float = 0.5
    ) -> bool:
        """Run until ``done`` holds; return False if the limit expires."""
        deadline = self.clock.now + limit_s
        while not done() and self.clock.now < deadline:
            self.clock.run_until(self.clock.now + step_s)
        return done()

    def in_force_everywhere(self, version: int) -> bool:
        """Return whether all live processes have at least a version."""
        return all(self.newest(node) >= version for node in self.alive)

    def newest(self, node: NodeId) -> int:
        """Return the newest version in force at a process, 0 if none."""
        return max(self.in_force_at[node], default=0)

    def in_force_since(self, node: NodeId, version: int) -> float:
        """Return when a process first had at least a version in force."""
        times = [t for v, t in self.in_force_at[node].items() if v >= version]
        return min(times, default=float("inf"))

    def _server(self, node: NodeId) -> Server:
        return Server(
            node,
            Incarnation(1),
            ServiceName("service-00000"),
            self._place(node),
            ServerState.READY,
        )

    def _place(self, node: NodeId) -> PlaceName:
        number = int(node.split(":")[0].split(".")[-1])
        return PlaceName(f"place-{number % PLACES}")

    def _apply_effect(self, node: NodeId, effect: Any) -> None:
        match effect:
            case Publish(event=ConfigurationChanged(version=version)):
                if self.newest(node) >= version:
                    self.reverted_nodes.add(node)
                self.in_force_at[node][version] = self.clock.now
            case Finished(outcome=outcome):
                self.outcomes[outcome.change] = outcome
                self.outcome_at[outcome.change] = self.clock.now
                self.net.kill(node)
            case Record(event=event):
                self.records.append((node, event))

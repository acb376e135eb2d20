"""Greetings: what a balancer tells agents and other balancers."""

from collections.abc import Iterable

from ..effects import Send
from ..ids import NodeId
from ..ids import Seconds
from ..ids import ServiceName
from .members import Members
from .messages import AgentReport
from .messages import Goodbye
from .messages import Hello
from .pace import Pace
from .routes import Routes
from .storeview import BalancerIdentity
from .storeview import StoreView

HELLO_EVERY_S = 1.0
HELLO_AGENTS = 8
"""Reports in one greeting; the rest follow in the next ones, and in those
of other balancers, which begin elsewhere."""


class Greeter:
    """Greets within a budget, at once when something changed."""

    def __init__(
        self,
        who: BalancerIdentity,
        members: Members,
        routes: Routes,
        view: StoreView,
    ) -> None:
        self.seeds = who.seeds
        self._who = who
        self._members = members
        self._routes = routes
        self._view = view
        self._pace = Pace(HELLO_EVERY_S)
        self._told = sum(who.node.encode())

    def due(self, now: Seconds, services: Iterable[ServiceName]) -> list[Send]:
        """Return the greetings that go now.

        Agents are told of the agents of their own service.
        """
        peers = list(self._members.balancers) or list(self.seeds)
        told = len(self._members.agents) + len(peers)
        if not self._pace.due(now, told):
            return []
        effects: list[Send] = []
        for service in services:
            members = self._members.of(service)
            hello = self._greeting(now, [m.report for m in members])
            effects += [Send(m.report.id, hello) for m in members]
        return effects + self.tell_balancers(now)

    def newcomers(self, now: Seconds) -> list[Send]:
        """Greet agents that are new; the others need not hear of them."""
        return [
            Send(came.id, hello)
            for came in self._members.take_newcomers()
            for hello in self._introductions(now, came.service)
        ]

    def tell_balancers(self, now: Seconds) -> list[Send]:
        """Greet the other balancers, as for a new configuration."""
        reports = [m.report for m in self._members.agents.values()]
        hello = self._greeting(now, reports)
        peers = list(self._members.balancers) or list(self.seeds)
        others = (node for node in peers if node != self._who.node)
        return [Send(node, hello) for node in others]

    def goodbye(self) -> list[Send]:
        """Return the last words of a balancer that stops."""
        dsts: list[NodeId] = [*self._members.agents, *self._members.balancers]
        return [Send(node, Goodbye(self._who.node)) for node in dsts]

    def _introductions(
        self, now: Seconds, service: ServiceName
    ) -> list[Hello]:
        """Return as many greetings as name all agents of a service."""
        reports = [member.report for member in self._members.of(service)]
        count = -(-len(reports) // HELLO_AGENTS)
        return [self._greeting(now, reports) for _ in range(count)]

    def _greeting(self, now: Seconds, reports: list[AgentReport]) -> Hello:
        start = 0
        if len(reports) > HELLO_AGENTS:
            start = self._told % len(reports)
            self._told += HELLO_AGENTS
        shown = (reports[start:] + reports[:start])[:HELLO_AGENTS]
        table = self._routes.table
        return Hello(
            id=self._who.node,
            place=self._who.place,
            version=self._routes.version,
            agents=tuple(shown),
            peers=tuple(self._members.balancers),
            departed=self._members.departed(),
            idle_s=table.idle_s if table else 0.0,
            size=len(reports) if self._view.has_read_entries else 0,
            followed_s=now - self._view.followed_at,
        )

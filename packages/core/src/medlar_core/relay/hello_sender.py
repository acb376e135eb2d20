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
from .store_view import BalancerIdentity
from .store_view import StoreView

BALANCERS_EVERY_S = 1.0
AGENTS_EVERY_S = 3.0
"""Agents hear of each other by their own reports."""
HELLO_AGENTS = 3
"""Reports in one greeting; the rest follow in the next ones, and in those
of other balancers, which begin elsewhere."""
HELLO_BALANCERS = 4
INTRODUCED_AGENTS = 16
"""Reports in one greeting of a newcomer: one datagram."""


class HelloSender:
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
        self._balancer_pace = Pace(BALANCERS_EVERY_S)
        self._agent_pace = Pace(AGENTS_EVERY_S)
        self._told = sum(who.node.encode())

    def due(self, now: Seconds, services: Iterable[ServiceName]) -> list[Send]:
        """Return the greetings that go now.

        Agents are told of the agents of their own service.
        """
        effects: list[Send] = []
        if self._balancer_pace.due(now, len(self._members.balancers)):
            effects += self.tell_balancers(now)
        if not self._agent_pace.due(now, len(self._members.agents)):
            return effects
        for service in services:
            members = self._members.of(service)
            hello = self._greeting(now, [m.report for m in members])
            effects += [Send(m.report.id, hello) for m in members]
        return effects

    def newcomers(self, now: Seconds) -> list[Send]:
        """Greet agents that are new; the others need not hear of them."""
        return [
            Send(came.id, hello)
            for came in self._members.pop_new_agents()
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

    def _some_balancers(self) -> tuple[NodeId, ...]:
        peers = list(self._members.balancers)
        start = self._told % max(1, len(peers))
        self._told += 1
        return tuple((peers[start:] + peers[:start])[:HELLO_BALANCERS])

    def _introductions(
        self, now: Seconds, service: ServiceName
    ) -> list[Hello]:
        """Return as many greetings as name all agents of a service."""
        reports = [member.report for member in self._members.of(service)]
        count = -(-len(reports) // INTRODUCED_AGENTS)
        return [
            self._greeting(now, reports, INTRODUCED_AGENTS)
            for _ in range(count)
        ]

    def _greeting(
        self,
        now: Seconds,
        reports: list[AgentReport],
        most: int = HELLO_AGENTS,
    ) -> Hello:
        start = 0
        if len(reports) > most:
            start = self._told % len(reports)
            self._told += most
        shown = (reports[start:] + reports[:start])[:most]
        table = self._routes.table
        return Hello(
            id=self._who.node,
            place=self._who.place,
            version=self._routes.version,
            agents=tuple(shown),
            peers=self._some_balancers(),
            departed=self._members.departed(),
            idle_s=table.idle_s if table else 0.0,
            size=len(reports) if self._view.has_read_entries else 0,
            followed_s=now - self._view.followed_at,
        )

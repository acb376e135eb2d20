"""Hello messages of a balancer to agents and to other balancers."""

import msgspec

from ..effects import Send
from ..ids import NodeId
from ..ids import Seconds
from ..ids import ServiceName
from .configuration.routes import Routes
from .member import Member
from .members import Members
from .messages import AgentReport
from .messages import Goodbye
from .messages import Hello
from .send_interval import SendInterval
from .send_interval import SPARSE_MESSAGES_PER_S
from .store_view import BalancerIdentity
from .store_view import StoreView
from .zones.known_evacuation import EvacuationChange
from .zones.known_evacuation import KnownEvacuation
from .zones.spread import first_to_tell

BALANCER_INTERVAL_S = 1.0
AGENT_INTERVAL_S = 3.0
"""Longer than for balancers: agents also report to each other directly."""
HELLOS_PER_TICK = 5
"""Messages to agents in one tick: at ten ticks a second the maximum rate of
:class:`SendInterval`. A slow link loses the end of a longer burst."""
REPORTS_PER_HELLO = 3
"""Reports in one periodic hello message. The others follow in the next
messages, and in those of other balancers, whose rotation starts at another
report."""
PEERS_PER_HELLO = 4
"""Other balancers named in one hello message."""
REPORTS_PER_FULL_HELLO = 16
"""Reports in one hello message to an agent that asks for all: as many as fit
into one datagram."""
NO_SERVICE = ServiceName("")
"""Of a message to another balancer."""


class HelloSender:
    """Makes hello messages: periodic ones, and at once after a change."""

    def __init__(
        self,
        identity: BalancerIdentity,
        members: Members,
        routes: Routes,
        view: StoreView,
        evacuation: KnownEvacuation,
    ) -> None:
        self.seeds = identity.seeds
        self._identity = identity
        self._members = members
        self._routes = routes
        self._view = view
        self._evacuation = evacuation
        self._watcher_interval = SendInterval(BALANCER_INTERVAL_S)
        self._balancer_interval = SendInterval(
            BALANCER_INTERVAL_S, SPARSE_MESSAGES_PER_S
        )
        self._agent_interval = SendInterval(
            AGENT_INTERVAL_S, SPARSE_MESSAGES_PER_S
        )
        self._unsent: list[NodeId] = []
        """Agents that the current round has not reached yet."""
        self._rotation = sum(identity.node.encode())
        self._greeted: set[NodeId] = set()

    def due(self, now: Seconds) -> list[Send]:
        """Return the periodic hello messages that are due at a tick."""
        effects: list[Send] = []
        if self._interval_to_balancers(now).due(
            now, len(self._members.balancers)
        ):
            effects += self.hellos_to_balancers(now)
        return effects + self._next_hellos_to_agents(now)

    def _interval_to_balancers(self, now: Seconds) -> SendInterval:
        """Return the interval: others rely on those that watch the store."""
        if self._view.is_watcher(now):
            return self._watcher_interval
        return self._balancer_interval

    def make_due_for_agents(self) -> None:
        """Begin a round to all agents, which names removed ones."""
        self._agent_interval.make_due()
        self._unsent = []

    def hellos_of_evacuation(
        self, now: Seconds, change: EvacuationChange
    ) -> list[Send]:
        """Return the first hello messages to agents after a change.

        Each balancer that learns of it tells a share of the agents, those of
        the changed places first; the next ticks continue.
        """
        nodes = first_to_tell(
            self._identity.node,
            self._members.balancers,
            self._members.agents.values(),
            change,
        )
        told = set(nodes)
        self._unsent = nodes + [n for n in self._unsent if n not in told]
        return self._next_batch(now)

    def hellos_to_new_agents(self, now: Seconds) -> list[Send]:
        """Return hello messages to new agents, which ask for a report.

        The other agents get no message, as a new agent sends them its own
        report.
        """
        new_agents = [
            (a.id, a.service) for a in self._members.pop_new_agents()
        ]
        return self._hellos_to_agents(now, new_agents, are_new=True)

    def hellos_with_members(
        self, now: Seconds, node: NodeId, service: ServiceName
    ) -> list[Send]:
        """Return as many hello messages as name all agents of a service."""
        reports = [member.report for member in self._members.of(service)]
        hello = self._hello(now, reports, service)
        step = REPORTS_PER_FULL_HELLO
        return [
            Send(
                node,
                msgspec.structs.replace(
                    hello, agents=tuple(reports[start : start + step])
                ),
            )
            for start in range(0, len(reports), step)
        ]

    def hellos_to_balancers(self, now: Seconds) -> list[Send]:
        """Return hello messages to all other balancers.

        Before any is known, they go to the seeds.
        """
        peers = list(self._members.balancers) or list(self.seeds)
        return self._hellos_to(now, peers)

    def hellos_to_new_balancers(self, now: Seconds) -> list[Send]:
        """Return hello messages to balancers that have been sent none."""
        known = self._members.balancers
        self._greeted &= known.keys()
        if len(self._greeted) == len(known):
            return []
        return self._hellos_to(
            now, [n for n in known if n not in self._greeted]
        )

    def _hellos_to(self, now: Seconds, balancers: list[NodeId]) -> list[Send]:
        others = [node for node in balancers if node != self._identity.node]
        if not others:
            return []
        self._greeted.update(others)
        reports = [m.report for m in self._members.agents.values()]
        hello = self._hello(now, reports)
        interval = self._interval_to_balancers(now)
        period_s = interval.period_s(len(self._members.balancers))
        hello = msgspec.structs.replace(hello, period_s=period_s)
        return [Send(node, hello) for node in others]

    def goodbyes(self) -> list[Send]:
        """Return the messages to all known processes that this one stops."""
        dsts: list[NodeId] = [*self._members.agents, *self._members.balancers]
        return [Send(node, Goodbye(self._identity.node)) for node in dsts]

    def _next_hellos_to_agents(self, now: Seconds) -> list[Send]:
        """Return the next messages of the current round to all agents."""
        agents = self._members.agents
        if not self._unsent and self._agent_interval.due(now, len(agents)):
            self._unsent = list(agents)
        return self._next_batch(now)

    def _next_batch(self, now: Seconds) -> list[Send]:
        agents = self._members.agents
        batch = self._unsent[:HELLOS_PER_TICK]
        del self._unsent[:HELLOS_PER_TICK]
        known = [(n, agents[n].report.service) for n in batch if n in agents]
        return self._hellos_to_agents(now, known)

    def _hellos_to_agents(
        self,
        now: Seconds,
        agents: list[tuple[NodeId, ServiceName]],
        are_new: bool = False,
    ) -> list[Send]:
        """Return a message to each agent, with reports of its own service.

        New ones get the newest reports: they may be unknown to the
        balancer that the agent asks for all.
        """
        by_service: dict[ServiceName, list[NodeId]] = {}
        for node, service in agents:
            by_service.setdefault(service, []).append(node)
        effects: list[Send] = []
        for service, nodes in by_service.items():
            members = self._members.of(service)
            reports = [m.report for m in members]
            hello = self._hello(now, reports, service)
            if are_new:
                hello = msgspec.structs.replace(
                    hello, agents=_newest(members), wants_report=True
                )
            effects += [Send(node, hello) for node in nodes]
        return effects

    def _next_balancers(self) -> tuple[NodeId, ...]:
        peers = list(self._members.balancers)
        start = self._rotation % max(1, len(peers))
        self._rotation += 1
        return tuple((peers[start:] + peers[:start])[:PEERS_PER_HELLO])

    def _hello(
        self,
        now: Seconds,
        reports: list[AgentReport],
        service: ServiceName = NO_SERVICE,
    ) -> Hello:
        """Return a hello message, to an agent with its service."""
        start = 0
        if len(reports) > REPORTS_PER_HELLO:
            start = self._rotation % len(reports)
            self._rotation += REPORTS_PER_HELLO
        included = (reports[start:] + reports[:start])[:REPORTS_PER_HELLO]
        return Hello(
            id=self._identity.node,
            place=self._identity.place,
            version=self._routes.version,
            agents=tuple(included),
            peers=self._next_balancers(),
            departed=self._members.departed(now),
            idle_s=self._routes.idle_s,
            service_size=len(reports) if self._view.has_read_entries else 0,
            config_age_s=now - self._view.config_confirmed_at,
            period_s=self._agent_interval.period_s(len(self._members.agents)),
            evacuated=self._evacuation.current,
            cold_per_s=self._routes.cold_per_s(service),
            link_mbps=self._identity.link_mbps,
        )


def _newest(members: list[Member]) -> tuple[AgentReport, ...]:
    newest = sorted(members, key=lambda member: member.added_at)
    return tuple(member.report for member in newest[-REPORTS_PER_HELLO:])

"""Membership of the relay as known to one process.

Only an agent's own reports show that it is alive. A report relayed by
another process makes the agent known but doesn't count as a sign of life.
A silent agent stays a member for longer if it has an entry in the store.
"""

from collections.abc import Iterable

import msgspec

from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from ..ids import ServiceName
from .messages import AgentReport
from .messages import AgentState
from .messages import Departed
from .messages import Hello
from .messages import LoadReport

SILENT_S = 0.7
"""An agent that has sent no report for longer is silent: it isn't chosen as
an owner."""
SILENT_REPORTS = 3.5
"""Reports missed before an agent is silent, where it has so many peers that
these take longer than ``SILENT_S``."""
UNREGISTERED_S = 2.5
"""A silent agent without an entry in the store is removed after this: a
live agent has written its entry again by then."""
AGENT_EXPIRY_S = 60.0
"""A silent agent is removed after this even if its entry in the store has
not been seen to be missing."""
DEPARTED_RETENTION_S = 30.0
"""For so long a removed agent is named in hello messages and reports of the
same incarnation don't add it again."""
BALANCER_EXPIRY_S = 30.0

_NEVER = float("-inf")


class Member(msgspec.Struct):
    """One agent in the membership of this process.

    ``last_report_at`` is when the last report from the agent itself was
    received, ``added_at`` when it became known, ``unregistered_at`` since
    when the store has no entry of it. ``assigned`` counts the new flows
    that this process forwarded to it since its last report.
    """

    report: AgentReport
    last_report_at: float = _NEVER
    added_at: float = 0.0
    unregistered_at: float | None = None
    assigned: int = 0

    def is_silent(self, now: Seconds, limit_s: float = SILENT_S) -> bool:
        """Return whether its last own report is older than a limit.

        The limit is raised to ``SILENT_REPORTS`` periods of its reports
        if that is longer.
        """
        age_s = now - self.last_report_at
        if age_s <= limit_s:
            return False
        return age_s > SILENT_REPORTS * self.report.period_s


class Members:
    """Agents and balancers that one process knows.

    ``changes`` is incremented when an agent is added, removed or restarted
    and when its state or service changes.
    """

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self.agents: dict[NodeId, Member] = {}
        self.balancers: dict[NodeId, float] = {}
        self.balancer_places: dict[NodeId, PlaceName] = {}
        self.config_confirmed_at: dict[NodeId, float] = {}
        """When each balancer last had its configuration confirmed by the
        store, from its hello messages."""
        self.changes = 0
        self.new_agents: list[NodeId] = []
        """Agents added or restarted since the last ``pop_new_agents``."""
        self._departed: dict[NodeId, tuple[Departed, float]] = {}

    def apply_report(
        self, now: Seconds, report: AgentReport, direct: bool
    ) -> None:
        """Apply a report of an agent.

        ``direct`` tells that the agent itself sent it. Reports older than
        the known one, or of a removed incarnation, are ignored.
        """
        if report.id == self._node or self._is_departed(report):
            return
        member = self.agents.get(report.id)
        if member is not None and report.stamp < member.report.stamp:
            return
        if report.state is AgentState.GONE:
            self._remove(now, report)
            return
        if member is None:
            member = Member(report, added_at=now)
            self.agents[report.id] = member
            self.changes += 1
            self.new_agents.append(report.id)
        elif report.incarnation != member.report.incarnation:
            self.changes += 1
            self.new_agents.append(report.id)
        elif _identity(report) != _identity(member.report):
            self.changes += 1
        member.report = report
        member.assigned = 0
        if direct:
            member.last_report_at = now

    def apply_load(self, now: Seconds, node: NodeId, load: LoadReport) -> bool:
        """Apply the load figures of an agent whose full report is known.

        Returns False if the full report has to be requested, True if it
        is known or the agent was removed.
        """
        member = self.agents.get(node)
        if member is None or load.incarnation > member.report.incarnation:
            known = self._departed.get(node)
            return (
                known is not None and known[0].incarnation >= load.incarnation
            )
        if (load.incarnation, load.count) < member.report.stamp:
            return True
        member.report = msgspec.structs.replace(
            member.report,
            count=load.count,
            busy=load.busy,
            flows=load.flows,
            waiting=load.waiting,
        )
        member.assigned = 0
        member.last_report_at = now
        return True

    def pop_new_agents(self) -> list[AgentReport]:
        """Return the reports of agents that are new since the last call."""
        added = [self.agents[n] for n in self.new_agents if n in self.agents]
        self.new_agents = []
        return [member.report for member in added]

    def mark_unregistered(self, now: Seconds, node: NodeId) -> None:
        """Record that the store has no entry of an agent."""
        member = self.agents.get(node)
        if member is not None and member.unregistered_at is None:
            member.unregistered_at = now

    def mark_registered(self, node: NodeId) -> None:
        """Record that the store has an entry of an agent."""
        member = self.agents.get(node)
        if member is not None:
            member.unregistered_at = None

    def apply_departed(self, now: Seconds, departed: Departed) -> None:
        """Remove an agent that another process has removed.

        It stays if it still reports to this process, or if its process
        was restarted meanwhile.
        """
        member = self.agents.get(departed.id)
        if member is None or not member.is_silent(now, UNREGISTERED_S):
            return
        if member.report.incarnation <= departed.incarnation:
            self._remove(now, member.report)

    def record_balancer(
        self, now: Seconds, node: NodeId, place: PlaceName
    ) -> None:
        """Record a sign of life of a balancer."""
        if node != self._node:
            self.balancers[node] = now
            self.balancer_places[node] = place

    def apply_hello(self, now: Seconds, hello: Hello) -> None:
        """Apply a balancer's hello message and the members it names."""
        self.record_balancer(now, hello.id, hello.place)
        for peer in hello.peers:
            self.add_known_balancer(now, peer)
        for departed in hello.departed:
            self.apply_departed(now, departed)
        for report in hello.agents:
            self.apply_report(now, report, direct=False)

    def add_known_balancer(self, now: Seconds, node: NodeId) -> None:
        """Add a balancer that another process knows.

        This is no sign of life of a balancer that is already known.
        """
        if node != self._node:
            self.balancers.setdefault(node, now)

    def exclude_pause(self, now: Seconds, seconds: float) -> None:
        """Exclude a pause of this process from the age of reports.

        It could receive none meanwhile, so agents that are alive would
        look silent.
        """
        for member in self.agents.values():
            member.last_report_at = min(now, member.last_report_at + seconds)
            if member.unregistered_at is not None:
                member.unregistered_at += seconds

    def expire(self, now: Seconds) -> list[AgentReport]:
        """Remove expired members; return the last reports of such agents."""
        expired = [
            m.report for m in self.agents.values() if _is_expired(now, m)
        ]
        for report in expired:
            self._remove(now, report)
        self.balancers = {
            node: at
            for node, at in self.balancers.items()
            if now - at <= BALANCER_EXPIRY_S
        }
        self.balancer_places = {
            node: place
            for node, place in self.balancer_places.items()
            if node in self.balancers
        }
        self.config_confirmed_at = {
            node: at
            for node, at in self.config_confirmed_at.items()
            if node in self.balancers
        }
        self._departed = {
            node: (departed, at)
            for node, (departed, at) in self._departed.items()
            if now - at <= DEPARTED_RETENTION_S
        }
        return expired

    def of(self, service: ServiceName) -> list[Member]:
        """Return the known agents of a service."""
        return [
            member
            for member in self.agents.values()
            if member.report.service == service
        ]

    def gauges(self, now: Seconds) -> dict[str, float]:
        """Return the numbers of known processes by metric name."""
        states = [member.report.state for member in self.agents.values()]
        return {
            "agents": len(states),
            "agents_heard": len(recently_reporting(self.agents.values(), now)),
            "agents_draining": states.count(AgentState.DRAINING),
            "agents_down": states.count(AgentState.DOWN),
            "balancers": len(self.balancers),
        }

    def report_ages(self, now: Seconds) -> list[float]:
        """Return the age in seconds of each agent's last own report.

        Agents that have sent none to this process are left out.
        """
        return [
            now - member.last_report_at
            for member in self.agents.values()
            if member.last_report_at > _NEVER
        ]

    def departed(self) -> tuple[Departed, ...]:
        """Return the agents that were removed recently."""
        return tuple(departed for departed, _ in self._departed.values())

    def _is_departed(self, report: AgentReport) -> bool:
        known = self._departed.get(report.id)
        return known is not None and known[0].incarnation >= report.incarnation

    def _remove(self, now: Seconds, report: AgentReport) -> None:
        if self.agents.pop(report.id, None) is not None:
            self.changes += 1
        departed = Departed(report.id, report.incarnation)
        self._departed[report.id] = (departed, now)


def recently_reporting(
    members: Iterable[Member], now: Seconds
) -> list[Member]:
    """Return the members that are not silent."""
    return [member for member in members if not member.is_silent(now)]


def _identity(report: AgentReport) -> tuple[int, ServiceName, AgentState]:
    return (report.incarnation, report.service, report.state)


def _is_expired(now: Seconds, member: Member) -> bool:
    last = max(member.last_report_at, member.added_at)
    if now - last > AGENT_EXPIRY_S:
        return True
    since = member.unregistered_at
    if since is None or not member.is_silent(now, UNREGISTERED_S):
        return False
    return now - since > UNREGISTERED_S

"""Who relays flows, as one process believes it.

An agent's own reports are the truth about it. What others relay makes
it known, but does not prove that it lives; an entry in the store keeps
it known while it is silent.
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
"""An agent unheard for longer is passed over."""
SILENT_REPORTS = 3.5
"""Reports missed before an agent is passed over, where there are so many
peers that each gets a report seldom."""
UNREGISTERED_S = 2.5
"""A silent agent without an entry in the store is gone after this: an
agent that lives has written its entry again by then."""
FORGET_S = 60.0
"""A silent agent is gone after this even if its entry remains unread."""
DEPARTED_KEPT_S = 30.0
BALANCER_FORGET_S = 30.0

_NEVER = float("-inf")


class Member(msgspec.Struct):
    """One agent and how this process knows it.

    ``last_report_at`` is when its own word came last, ``missing_at`` when the
    store was seen to have no entry of it. ``assigned`` counts the flows
    handed to it since its report.
    """

    report: AgentReport
    last_report_at: float = _NEVER
    known_at: float = 0.0
    missing_at: float | None = None
    assigned: int = 0

    def is_silent(self, now: Seconds, limit_s: float = SILENT_S) -> bool:
        """Return whether its own word is older than a limit.

        The limit is stretched to what the agent's own reports say of how
        often they come.
        """
        missed_s = SILENT_REPORTS * self.report.period_s
        return now - self.last_report_at > max(limit_s, missed_s)


class Members:
    """Agents and balancers that one process knows.

    ``changes`` grows whenever an agent comes, goes or changes its state
    or service.
    """

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self.agents: dict[NodeId, Member] = {}
        self.balancers: dict[NodeId, float] = {}
        self.places: dict[NodeId, PlaceName] = {}
        self.followed_at: dict[NodeId, float] = {}
        """When a balancer last heard the store, as it said itself."""
        self.changes = 0
        self.newcomers: list[NodeId] = []
        """Agents that came and were not greeted yet."""
        self._departed: dict[NodeId, tuple[Departed, float]] = {}

    def apply_report(
        self, now: Seconds, report: AgentReport, direct: bool
    ) -> None:
        """Take an agent's report, from itself or through another."""
        if report.id == self._node or self._is_departed(report):
            return
        member = self.agents.get(report.id)
        if member is not None and report.stamp < member.report.stamp:
            return
        if report.state is AgentState.GONE:
            self._remove(now, report)
            return
        if member is None:
            member = Member(report, known_at=now)
            self.agents[report.id] = member
            self.changes += 1
            self.newcomers.append(report.id)
        elif report.incarnation != member.report.incarnation:
            self.changes += 1
            self.newcomers.append(report.id)
        elif _place_of(report) != _place_of(member.report):
            self.changes += 1
        member.report = report
        member.assigned = 0
        if direct:
            member.last_report_at = now

    def apply_load(self, now: Seconds, node: NodeId, load: LoadReport) -> bool:
        """Take an agent's figures, if its whole report is known.

        Returns whether that report need not be asked for: it is known,
        or of an agent that is gone.
        """
        member = self.agents.get(node)
        if member is None or load.incarnation > member.report.incarnation:
            gone = self._departed.get(node)
            return gone is not None and gone[0].incarnation >= load.incarnation
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
        """Return the reports of agents that came since the last call."""
        came = [self.agents[n] for n in self.newcomers if n in self.agents]
        self.newcomers = []
        return [member.report for member in came]

    def mark_unregistered(self, now: Seconds, node: NodeId) -> None:
        """Note that the store has no entry of an agent."""
        member = self.agents.get(node)
        if member is not None and member.missing_at is None:
            member.missing_at = now

    def take_registered(self, node: NodeId) -> None:
        """Note that the store has an entry of an agent."""
        member = self.agents.get(node)
        if member is not None:
            member.missing_at = None

    def take_departed(self, now: Seconds, departed: Departed) -> None:
        """Believe another that an agent is gone, unless it speaks."""
        member = self.agents.get(departed.id)
        if member is None or not member.is_silent(now, UNREGISTERED_S):
            return
        if member.report.incarnation <= departed.incarnation:
            self._remove(now, member.report)

    def take_balancer(
        self, now: Seconds, node: NodeId, place: PlaceName
    ) -> None:
        """Note a sign of life of a balancer."""
        if node != self._node:
            self.balancers[node] = now
            self.places[node] = place

    def apply_hello(self, now: Seconds, hello: Hello) -> None:
        """Note a balancer and whom it told of."""
        self.take_balancer(now, hello.id, hello.place)
        for peer in hello.peers:
            self.learn_balancer(now, peer)
        for departed in hello.departed:
            self.take_departed(now, departed)
        for report in hello.agents:
            self.apply_report(now, report, direct=False)

    def learn_balancer(self, now: Seconds, node: NodeId) -> None:
        """Note a balancer that another process knows."""
        if node != self._node:
            self.balancers.setdefault(node, now)

    def resumed_after_pause(self, now: Seconds, seconds: float) -> None:
        """Leave out a time in which this process could hear nobody."""
        for member in self.agents.values():
            member.last_report_at = min(now, member.last_report_at + seconds)
            if member.missing_at is not None:
                member.missing_at += seconds

    def expire(self, now: Seconds) -> list[AgentReport]:
        """Forget who is gone; return the last reports of those agents."""
        gone = [m.report for m in self.agents.values() if _is_gone(now, m)]
        for report in gone:
            self._remove(now, report)
        self.balancers = {
            node: at
            for node, at in self.balancers.items()
            if now - at <= BALANCER_FORGET_S
        }
        self.places = {
            node: place
            for node, place in self.places.items()
            if node in self.balancers
        }
        self.followed_at = {
            node: at
            for node, at in self.followed_at.items()
            if node in self.balancers
        }
        self._departed = {
            node: (departed, at)
            for node, (departed, at) in self._departed.items()
            if now - at <= DEPARTED_KEPT_S
        }
        return gone

    def of(self, service: ServiceName) -> list[Member]:
        """Return the agents of a service that are not gone."""
        return [
            member
            for member in self.agents.values()
            if member.report.service == service
        ]

    def gauges(self, now: Seconds) -> dict[str, float]:
        """Return how many processes are known, by state."""
        states = [member.report.state for member in self.agents.values()]
        return {
            "agents": len(states),
            "agents_heard": len(heard(self.agents.values(), now)),
            "agents_draining": states.count(AgentState.DRAINING),
            "agents_down": states.count(AgentState.DOWN),
            "balancers": len(self.balancers),
        }

    def report_ages(self, now: Seconds) -> list[float]:
        """Return how old the last word of each agent heard is."""
        return [
            now - member.last_report_at
            for member in self.agents.values()
            if member.last_report_at > _NEVER
        ]

    def departed(self) -> tuple[Departed, ...]:
        """Return the agents that went lately."""
        return tuple(departed for departed, _ in self._departed.values())

    def _is_departed(self, report: AgentReport) -> bool:
        known = self._departed.get(report.id)
        return known is not None and known[0].incarnation >= report.incarnation

    def _remove(self, now: Seconds, report: AgentReport) -> None:
        if self.agents.pop(report.id, None) is not None:
            self.changes += 1
        departed = Departed(report.id, report.incarnation)
        self._departed[report.id] = (departed, now)


def heard(members: Iterable[Member], now: Seconds) -> list[Member]:
    """Return the members whose own word is recent."""
    return [member for member in members if not member.is_silent(now)]


def _place_of(report: AgentReport) -> tuple[int, ServiceName, AgentState]:
    return (report.incarnation, report.service, report.state)


def _is_gone(now: Seconds, member: Member) -> bool:
    last = max(member.last_report_at, member.known_at)
    if now - last > FORGET_S:
        return True
    missing = member.missing_at
    if missing is None or not member.is_silent(now, UNREGISTERED_S):
        return False
    return now - missing > UNREGISTERED_S

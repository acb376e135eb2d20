"""Membership of the relay as known to one process.

Only an agent's own reports show that it is alive. A report relayed by
another process makes the agent known but doesn't count as a sign of life.
A silent agent stays a member for longer if it has an entry in the store.
"""

import enum

import msgspec
import xxhash

from ..effects import Send
from ..ids import NodeId
from ..ids import Seconds
from ..ids import ServiceName
from .balance.report_requests import ReportRequests
from .health.departures import Departures
from .known_balancer import KnownBalancer
from .member import is_expired
from .member import known_at
from .member import Member
from .member import NEVER
from .member import recently_reporting
from .member import UNREGISTERED_S
from .messages import AgentReport
from .messages import AgentState
from .messages import Departed
from .messages import FINAL_COUNT
from .messages import Hello
from .messages import LoadReport
from .messages import ReportAsked
from .zones.evacuation import EvacuatedPlaces

NO_ROOM_S = 0.3
"""A cold server that had no room for new flows may have some after this."""
NO_REPLY_NAMED_S = 0.7
"""An agent that another process has removed, and that has not replied for
this, is removed here too."""


class RemovalCause(enum.Enum):
    """Why a process removed an agent from its membership."""

    SERVER_ENDED = "its server ended"
    SILENT = "it stopped reporting"
    NAMED = "another process removed it"


class Removal(msgspec.Struct, frozen=True):
    """A removed agent, by its last known report."""

    report: AgentReport
    cause: RemovalCause


class Members:
    """Agents and balancers that one process knows.

    ``changes`` is incremented when an agent is added, removed or restarted
    and when its state or service changes.
    """

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self.agents: dict[NodeId, Member] = {}
        self.balancers: dict[NodeId, KnownBalancer] = {}
        self.changes = 0
        self.new_agents: list[NodeId] = []
        """Agents added or restarted since the last ``pop_new_agents``."""
        self._removals: list[Removal] = []
        self.heard_at = NEVER
        """When the last message of any agent was received."""
        self._requests = ReportRequests()
        self._named: dict[NodeId, Departed] = {}
        """Agents that another process has removed and that have to reply."""
        self._views: dict[ServiceName, int] = {}
        self._views_changes = 0
        self._departures = Departures()
        self._evacuated = EvacuatedPlaces()
        self._without_room: dict[NodeId, float] = {}
        """When cold servers had no more room for new flows."""

    def apply_report(
        self, now: Seconds, report: AgentReport, direct: bool
    ) -> None:
        """Apply a report of an agent.

        ``direct`` tells that the agent itself sent it. Reports older than
        the known one are ignored. So are those of a removed incarnation,
        unless the agent has sent one after its removal.
        """
        if report.id == self._node or self._is_removed(report, direct):
            return
        member = self.agents.get(report.id)
        if member is not None and report.stamp < member.report.stamp:
            return
        if report.state is AgentState.GONE:
            self._remove(now, report, RemovalCause.SERVER_ENDED)
            return
        if member is None:
            member = Member(report, added_at=now)
            self.agents[report.id] = member
            self._departures.discard(report.id)
            self.changes += 1
            self.new_agents.append(report.id)
        elif report.incarnation != member.report.incarnation:
            self.changes += 1
            self.new_agents.append(report.id)
        elif _identity(report) != _identity(member.report):
            self.changes += 1
        if not direct or not report.period_s:
            # The period in a relayed report is that of reports to others.
            report = msgspec.structs.replace(
                report, period_s=member.report.period_s
            )
        member.report = self._with_evacuation(report)
        member.assigned = 0
        self._record_room(now, member)
        if direct:
            self._record_report(now, member)

    def apply_load(self, now: Seconds, node: NodeId, load: LoadReport) -> bool:
        """Apply the load figures of an agent whose full report is known.

        Returns False if the full report has to be requested, True if it
        is known or the agent was removed since.
        """
        member = self.agents.get(node)
        if member is None or load.incarnation > member.report.incarnation:
            return self._departures.is_outdated(node, load.stamp)
        if load.stamp < member.report.stamp:
            return True
        member.report = msgspec.structs.replace(
            member.report,
            count=load.count,
            busy=load.busy,
            flows=load.flows,
            waiting=load.waiting,
            wait_ms=load.wait_ms,
            service_ms=load.service_ms,
            room=load.room,
        )
        member.assigned = 0
        self._record_room(now, member)
        self._record_report(now, member)
        return True

    def apply_evacuated(self, evacuated: EvacuatedPlaces) -> None:
        """Apply which places get no new flows.

        From then on it replaces what the agents of these places report.
        """
        self._evacuated = evacuated
        for member in self.agents.values():
            member.report = self._with_evacuation(member.report)

    def _with_evacuation(self, report: AgentReport) -> AgentReport:
        if not self._evacuated.revision:
            return report
        is_evacuated = report.place in self._evacuated.places
        if report.evacuated is is_evacuated:
            return report
        return msgspec.structs.replace(report, evacuated=is_evacuated)

    def record_assigned(self, now: Seconds, node: NodeId) -> None:
        """Count a new flow that this process forwards to an agent."""
        member = self.agents.get(node)
        if member is None:
            return
        member.assigned += 1
        if member.report.room > 0:
            room = member.report.room - 1
            member.report = msgspec.structs.replace(member.report, room=room)
            self._record_room(now, member)

    def _record_room(self, now: Seconds, member: Member) -> None:
        if not member.report.room:
            self._without_room[member.report.id] = now

    def renew_room(self, now: Seconds) -> None:
        """Let cold servers without room be tried with one flow again."""
        for node, since in list(self._without_room.items()):
            if now - since < NO_ROOM_S:
                continue
            del self._without_room[node]
            member = self.agents.get(node)
            if member is not None and not member.report.room:
                member.report = msgspec.structs.replace(member.report, room=1)

    def record_message(self, now: Seconds, node: NodeId) -> None:
        """Record a message of any kind as a sign of life of an agent."""
        member = self.agents.get(node)
        if member is not None:
            self.heard_at = now
            member.heard_at = now
            member.asked_at = None
            self._requests.remove(node)
            self._named.pop(node, None)

    def _record_report(self, now: Seconds, member: Member) -> None:
        member.last_report_at = now
        self.record_message(now, member.report.id)

    def request_report(self, now: Seconds, node: NodeId) -> None:
        """Request the report of an agent that may be down.

        Repeated calls have no effect until a reply is overdue.
        """
        member = self.agents.get(node)
        if member is not None:
            self._requests.add(now, member)

    def pop_requests(self, now: Seconds) -> list[Send]:
        """Return the requests for reports since the last call."""
        self._requests.repeat(now)
        nodes = self._requests.pop_unsent()
        return [Send(node, ReportAsked()) for node in nodes]

    def pop_new_agents(self) -> list[AgentReport]:
        """Return the reports of agents that are new since the last call."""
        added = [self.agents[n] for n in self.new_agents if n in self.agents]
        self.new_agents = []
        return [member.report for member in added]

    def pop_removals(self) -> list[Removal]:
        """Return the removals since the last call."""
        removals, self._removals = self._removals, []
        return removals

    def mark_unregistered(self, now: Seconds, node: NodeId) -> None:
        """Record that the store has no entry of an agent."""
        member = self.agents.get(node)
        if member is not None and member.unregistered_at is None:
            member.unregistered_at = now

    def forget_unregistered(self) -> None:
        """Forget which agents the store has no entry of."""
        for member in self.agents.values():
            member.unregistered_at = None

    def mark_registered(self, node: NodeId) -> None:
        """Record that the store has an entry of an agent."""
        member = self.agents.get(node)
        if member is not None:
            member.unregistered_at = None

    def apply_departed(self, now: Seconds, departed: Departed) -> None:
        """Remove an agent that another process has removed.

        It stays if it still reports to this process, if its process was
        restarted meanwhile, or if it was never heard here and is known by
        a report later than its removal.
        """
        member = self.agents.get(departed.id)
        if member is None:
            if departed.id != self._node:
                self._departures.note(now, departed)
            return
        if member.report.incarnation > departed.incarnation:
            return
        if member.silent_s(now) > UNREGISTERED_S:
            self.request_report(now, departed.id)
            self._named[departed.id] = departed
        if not member.is_silent(now, UNREGISTERED_S, NO_REPLY_NAMED_S):
            return
        was_heard = member.last_report_at > NEVER
        if was_heard or member.report.stamp <= departed.stamp:
            self._remove(now, member.report, RemovalCause.NAMED)

    def apply_hello(self, now: Seconds, hello: Hello) -> None:
        """Apply a balancer's hello message and the members it names."""
        self.add_known_balancer(now, hello.id)
        balancer = self.balancers.get(hello.id)
        if balancer is not None:
            balancer.heard_at = now
            balancer.place = hello.place
            balancer.period_s = hello.period_s
            balancer.link_mbps = hello.link_mbps
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
        if node != self._node and node not in self.balancers:
            self.balancers[node] = KnownBalancer(now)

    def exclude_pause(self, now: Seconds, seconds: float) -> None:
        """Exclude a pause of this process from the age of reports.

        It could receive none meanwhile, so agents that are alive would
        look silent.
        """
        self.heard_at = min(now, self.heard_at + seconds)
        for member in self.agents.values():
            member.last_report_at = min(now, member.last_report_at + seconds)
            member.heard_at = min(now, member.heard_at + seconds)
            member.asked_at = None
            if member.unregistered_at is not None:
                member.unregistered_at += seconds

    def apply_named(self, now: Seconds) -> None:
        """Remove agents that others have removed and that do not reply."""
        for departed in list(self._named.values()):
            self.apply_departed(now, departed)

    def expire(self, now: Seconds, idle_s: float = 0.0) -> None:
        """Remove expired members.

        An agent remembers lost agents while flows may idle, ``idle_s``.
        """
        for node, member in self.agents.items():
            if member.unregistered_at is None:
                continue
            if member.silent_s(now) > UNREGISTERED_S:
                self.request_report(now, node)
        expired = [
            m.report for m in self.agents.values() if is_expired(now, m)
        ]
        for report in expired:
            self._remove(now, report, RemovalCause.SILENT)
        self.balancers = {
            node: balancer
            for node, balancer in self.balancers.items()
            if not balancer.is_expired(now)
        }
        self._departures.expire(now, idle_s)

    def of(self, service: ServiceName) -> list[Member]:
        """Return the known agents of a service."""
        return [
            member
            for member in self.agents.values()
            if member.report.service == service
        ]

    def view(self, service: ServiceName) -> int:
        """Return a digest of the agents of a service, this one included.

        For an agent of the service. Agents with equal views know the same
        agents. Never 0.
        """
        if self._views_changes != self.changes:
            self._views_changes = self.changes
            self._views = {}
        if service not in self._views:
            ids = [self._node, *(m.report.id for m in self.of(service))]
            text = " ".join(sorted(ids))
            self._views[service] = xxhash.xxh3_64_intdigest(text.encode()) or 1
        return self._views[service]

    def gauges(self, now: Seconds) -> dict[str, float]:
        """Return the numbers of known processes by metric name."""
        states = [member.report.state for member in self.agents.values()]
        return {
            "agents": len(states),
            "agents_heard": len(recently_reporting(self.agents.values(), now)),
            "agents_draining": states.count(AgentState.DRAINING),
            "agents_down": states.count(AgentState.DOWN),
            "agents_lost": self._departures.lost_count,
            "balancers": len(self.balancers),
        }

    def report_ages(self, now: Seconds) -> list[float]:
        """Return the age in seconds of each agent's last own report.

        Agents that have sent none to this process are left out.
        """
        return [
            now - member.last_report_at
            for member in self.agents.values()
            if member.last_report_at > NEVER
        ]

    def lost_agents(
        self, now: Seconds, service: ServiceName, idle_s: float
    ) -> list[NodeId]:
        """Return removed agents whose servers may still hold flows."""
        return self._departures.lost(now, service, idle_s)

    def departed(self, now: Seconds) -> tuple[Departed, ...]:
        """Return the agents that were removed recently."""
        return self._departures.notices(now)

    def _is_removed(self, report: AgentReport, direct: bool) -> bool:
        if direct:
            return self._departures.is_outdated(report.id, report.stamp)
        return self._departures.has_incarnation(report.id, report.incarnation)

    def _remove(
        self, now: Seconds, report: AgentReport, cause: RemovalCause
    ) -> None:
        member = self.agents.pop(report.id, None)
        self._requests.remove(report.id)
        self._named.pop(report.id, None)
        self._without_room.pop(report.id, None)
        if member is not None:
            self.changes += 1
            self._removals.append(Removal(report, cause))
        is_final = cause is RemovalCause.SERVER_ENDED or report.has_no_server
        departed = Departed(
            report.id,
            report.incarnation,
            FINAL_COUNT if is_final else report.count,
            report.service,
        )
        heard_at = known_at(member) if member is not None else now
        self._departures.add(now, departed, heard_at)


def _identity(report: AgentReport) -> tuple[int, ServiceName, AgentState]:
    return (report.incarnation, report.service, report.state)

"""State of an agent as it reports it to others and keeps it in the store."""

import math

import msgspec

from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from ..ids import ServiceName
from ..timeline.events import Topic
from .effects import RelayEffect
from .flow_context import FlowContext
from .health.state import HealthState
from .messages import AgentReport
from .messages import AgentState
from .messages import UNLIMITED_ROOM
from .registration import Registration
from .report_sender import ReportSender
from .zones.settings import NO_ZONE_RULES
from .zones.settings import ZoneSettings


class AgentIdentity(msgspec.Struct, frozen=True):
    """Identity and start values of an agent.

    ``heartbeat_s`` is the interval of its server's announcements,
    ``started_at`` when the process started, infinite if unknown.
    """

    node: NodeId
    place: PlaceName
    service: ServiceName
    incarnation: int
    heartbeat_s: float
    seeds: tuple[NodeId, ...]
    started_at: float = float("inf")
    zones: ZoneSettings = NO_ZONE_RULES


class _ServerFacts(msgspec.Struct, frozen=True):
    """What others have to know at once, beside the agent's state.

    ``server`` is the service, name and start of the local server.
    """

    server: tuple[ServiceName, str, int]
    knows_all_flows: bool
    health: HealthState


class OwnState:
    """Makes an agent's reports, and tells each change of its state at once."""

    def __init__(
        self,
        identity: AgentIdentity,
        ctx: FlowContext,
        registration: Registration,
    ) -> None:
        self._identity = identity
        self._incarnation = identity.incarnation
        self._ctx = ctx
        self._local_server = ctx.local_server
        self._registration = registration
        self._report_count = 0
        self._reported_state = AgentState.STARTING
        self._reported_server: _ServerFacts | None = None
        self.is_stopping = False
        self.reports = ReportSender(
            identity.node, ctx.members, identity.seeds, self.report
        )

    @property
    def is_deregistering(self) -> bool:
        """Whether the server is gone and its entry is still in the store."""
        gone = self._reported_state is AgentState.GONE
        return gone and not self._registration.is_written

    def report(self, now: Seconds) -> AgentReport:
        """Return a new report of this agent; each has a higher count."""
        server = self._local_server.server
        place = self._ctx.own_place
        table = self._ctx.table
        held = len(self._ctx.held)
        slots = server.slots if server else 1
        table.service_time.slots = slots
        self._report_count += 1
        return AgentReport(
            id=self._identity.node,
            place=self._identity.place,
            service=self._ctx.service,
            incarnation=self._incarnation,
            count=self._report_count,
            state=self._state(now),
            slots=slots,
            busy=table.busy_count + held,
            waiting=table.waiting_count(now) + held,
            flows=table.open_count,
            cold=server is not None and place.cold.is_cold(now, server),
            knows_all_flows=self._local_server.knows_all_flows(now),
            server=server.name if server else "",
            server_born=server.born_ms if server else 0,
            wait_ms=round(table.expected_wait_ms(now, held)),
            service_ms=math.ceil(table.service_time.mean_ms(now)),
            room=place.cold.room(now, server),
            evacuated=place.is_closed(now),
            health=self._ctx.server_watch.health.state,
        )

    def _state(self, now: Seconds) -> AgentState:
        """Return the current state of this agent."""
        state = self._local_server.state(now)
        if self.is_stopping and state is not AgentState.GONE:
            return AgentState.RESTARTING
        return state

    def update(self, now: Seconds) -> list[RelayEffect]:
        """Report and register a change of the agent's state at once."""
        if self._state(now) is self._reported_state:
            return self._report_server(now)
        report = self.report(now)
        old, self._reported_state = self._reported_state, report.state
        self._reported_server = self._server_facts(now)
        if old is AgentState.GONE:
            # Members ignore reports of an incarnation that they removed as
            # gone, so the agent returns as a new one.
            self._incarnation += 1
            report = self.report(now)
        event = self._ctx.event_factory.state_event(
            Topic.DRAIN
            if report.state in (AgentState.DRAINING, AgentState.GONE)
            else Topic.MEMBERSHIP,
            f"members: server is {report.state.value}, was {old.value}",
            service=report.service,
            server=f"{report.server} born {report.server_born}",
        )
        self.reports.make_due()
        self._update_registration(report)
        reports = self.reports.due(now, self._ctx.service)
        return [event, *reports]

    def _report_server(self, now: Seconds) -> list[RelayEffect]:
        """Report at once another server, its health or that all is known.

        A server of another service has to be known to its service. An
        agent that knows all flows is queried without packets, which are
        limited in rate.
        """
        facts, reported = self._server_facts(now), self._reported_server
        if facts == reported:
            return []
        self._reported_server = facts
        if reported is None or facts.server != reported.server:
            self._update_registration(self.report(now))
        self.reports.make_due()
        return list(self.reports.due(now, self._ctx.service))

    def _server_facts(self, now: Seconds) -> _ServerFacts:
        server = self._local_server.server
        return _ServerFacts(
            (
                self._ctx.service,
                server.name if server else "",
                server.born_ms if server else 0,
            ),
            self._local_server.knows_all_flows(now),
            self._ctx.server_watch.health.state,
        )

    def supersede(self, report: AgentReport) -> None:
        """Use a higher incarnation than an earlier process at this address.

        Members ignore reports of a lower incarnation than the known one.
        """
        if report.incarnation > self._incarnation:
            self._incarnation = report.incarnation + 1
            self.reports.make_due()

    def _update_registration(self, report: AgentReport) -> None:
        if report.state in (AgentState.GONE, AgentState.STARTING):
            self._registration.set_entry("")
            return
        stored = msgspec.structs.replace(
            report,
            busy=0,
            waiting=0,
            flows=0,
            cold=False,
            wait_ms=0,
            service_ms=0,
            room=UNLIMITED_ROOM,
            evacuated=False,
            health=HealthState.HEALTHY,
        )
        self._registration.set_entry(msgspec.json.encode(stored).decode())

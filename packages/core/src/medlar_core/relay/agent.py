"""Reducer of an agent: membership, its server's state and its flows."""

import random
from typing import Any

import msgspec

from ..effects import Send
from ..events import Received
from ..events import ServerProbed
from ..events import StopAsked
from ..events import StoreAnswered
from ..events import Tick
from ..ids import NodeId
from ..ids import Seconds
from ..packets import Flag
from ..store import Item
from ..storeaccess.access import StoreAccess
from ..timeline.events import Topic
from .agent_flows import AgentFlows
from .balance.service_time import ServiceTime
from .effects import ProbeServer
from .effects import RelayEffect
from .event_factory import EventFactory
from .events import PacketForwarded
from .events import SeedsChanged
from .events import ServerAnnounced
from .events import ServerLeft
from .events import ServerPacketReceived
from .flow_context import FlowContext
from .health.service_check import ServiceCheck
from .local_server import LocalServer
from .member_query import MemberQuery
from .members import Members
from .messages import AgentReport
from .messages import EntryMissing
from .messages import FlowAsked
from .messages import FlowHeld
from .messages import FlowPacketAsked
from .messages import FlowUnknown
from .messages import Goodbye
from .messages import Hello
from .messages import LoadReport
from .messages import MembersAsked
from .messages import OtherService
from .messages import ReportAsked
from .messages import ScopeTold
from .own_state import AgentIdentity
from .own_state import OwnState
from .pause_detector import PauseDetector
from .registration import Registration
from .segment import Segment
from .segment import SegmentCodec
from .zones.homes import Homes
from .zones.own_place import OwnPlace
from .zones.own_place import PlaceNews

EXPIRE_INTERVAL_S = 1.0
PROBE_INTERVAL_S = 0.5
"""Used while the server does not announce itself."""

_SYN = int(Flag.SYN)
_BOUNCED = int(Flag.BOUNCED)


class RelayAgent:
    """Handles the events of one agent and returns effects."""

    def __init__(
        self,
        identity: AgentIdentity,
        codec: SegmentCodec,
        access: StoreAccess,
        registration: Registration,
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._access = access
        self._registration = registration
        self.members = Members(identity.node)
        self.local_server = LocalServer(
            identity.heartbeat_s, identity.started_at
        )
        self._event_factory = EventFactory(identity.node)
        self._ctx = FlowContext(
            identity.node,
            identity.service,
            codec,
            self.members,
            self.local_server,
            self._event_factory,
            OwnPlace(identity.place, identity.zones),
            Homes(identity.zones),
        )
        self._flows = AgentFlows(self._ctx, rng)
        self._own_state = OwnState(identity, self._ctx, registration)
        self._reports = self._own_state.reports
        self._expire_at = 0.0
        self._probe_at = 0.0
        self._member_query = MemberQuery()
        self._service_check = ServiceCheck(self.local_server, self.members)
        self._pause_detector = PauseDetector()

    @property
    def is_deregistering(self) -> bool:
        """Whether the server is gone and its entry is still in the store."""
        return self._own_state.is_deregistering

    @property
    def has_draining_flows(self) -> bool:
        """Whether the server still serves flows though it is draining."""
        server = self.local_server.server
        is_draining = server is not None and server.is_draining
        return is_draining and self._ctx.table.open_count > 0

    def reduce(self, now: Seconds, event: Any) -> list[RelayEffect]:
        """Handle one event and return the effects to carry out."""
        pause_s = self._pause_detector.record_event(now)
        if pause_s:
            self._exclude_pause(now, pause_s)
        match event:
            case PacketForwarded(segment=segment) if segment.flags & _SYN:
                return self._flows.handle_syn(now, event, self.report(now))
            case PacketForwarded():
                return self._flows.handle_forwarded(now, event)
            case ServerPacketReceived(segment=segment):
                return self._handle_server_packet(now, segment)
            case Received(src=src, msg=msg):
                return self._handle_message(now, src, msg)
            case Tick():
                return self._handle_tick(now)
            case ServerProbed(alive=alive):
                return self._handle_probe(now, alive)
            case ServerAnnounced():
                return self._handle_announcement(now, event)
            case ServerLeft():
                return self._handle_departure(now, event)
            case StoreAnswered():
                return self._handle_store_answer(now, event)
            case SeedsChanged(seeds=seeds):
                self._reports.seeds = seeds
            case StopAsked():
                self._own_state.is_stopping = True
                return self._update_state(now)
        return []

    def gauges(self, now: Seconds) -> dict[str, float]:
        """Return current gauge values by metric name."""
        return {
            "flows_open": self._ctx.table.open_count,
            "flows_waiting": self._ctx.table.busy_count,
            "flows_known": len(self._ctx.table),
            "flows_held": len(self._ctx.held),
            "service_time_ms": self._ctx.table.service_time.mean_ms(now),
            "expected_wait_ms": self._ctx.table.expected_wait_ms(
                now, len(self._ctx.held)
            ),
            "configuration_version": self._event_factory.version,
            "store_failing": float(self._access.failing),
            **self._ctx.own_place.gauges(),
            **self._flows.placement.gauges(),
            **self._ctx.server_watch.gauges(),
            **self.members.gauges(now),
        }

    def _handle_store_answer(
        self, now: Seconds, event: StoreAnswered
    ) -> list[RelayEffect]:
        entry_before = self._registration.previous_entry
        self._registration.handle_answer(now, event)
        effects: list[RelayEffect] = []
        entry_after = self._registration.previous_entry
        if entry_after is not None and entry_before is None:
            effects += self._restore_entry(now, entry_after)
        return effects + self._store_calls(now)

    def _restore_entry(self, now: Seconds, item: Item) -> list[RelayEffect]:
        """Restore the store entry of an earlier process at this address."""
        try:
            entry = msgspec.json.decode(item.value, type=AgentReport)
        except msgspec.DecodeError as exc:
            return [
                self._event_factory.state_event(
                    Topic.STORE,
                    f"store: own entry ignored, not a valid report: {exc}",
                    server=self._identity.node,
                )
            ]
        if entry.service == self._identity.service:
            self._own_state.supersede(entry)
            self.local_server.restore_entry(now, entry)
        return self._update_state(now)

    def report(self, now: Seconds) -> AgentReport:
        """Return a new report of this agent; each has a higher count."""
        return self._own_state.report(now)

    def _update_state(self, now: Seconds) -> list[RelayEffect]:
        """Report and register a change of the agent's state at once."""
        return [*self._own_state.update(now), *self._store_calls(now)]

    # Local server

    def _handle_server_packet(
        self, now: Seconds, segment: Segment
    ) -> list[RelayEffect]:
        if not segment.flags & _BOUNCED:
            effects = self._flows.handle_server_packet(now, segment)
            if self._ctx.held:
                starts = self._flows.placement.starts
                effects += starts.start_held(now, self.report(now))
            return effects
        if segment.flags & _SYN:
            return self._flows.handle_declined_syn(
                now, segment, self.report(now)
            )
        return self._flows.handle_bounced(now, segment)

    def _handle_probe(self, now: Seconds, alive: bool) -> list[RelayEffect]:
        if not self.local_server.handle_probe(now, alive):
            return []
        text = "listens" if alive else "does not listen"
        known = self.local_server.server is not None
        since = (
            "no longer announces itself" if known else "no announcement yet"
        )
        event = self._event_factory.state_event(
            Topic.MEMBERSHIP,
            f"members: server {text}; {since}",
            self._ctx.service,
            self._identity.node,
        )
        return [event, *self._update_state(now)]

    def _handle_announcement(
        self, now: Seconds, event: ServerAnnounced
    ) -> list[RelayEffect]:
        if not self._service_check.holds_back(now, event):
            return self._apply_announcement(now, event)
        held_back = self._event_factory.state_event(
            Topic.MEMBERSHIP,
            f"members: announcement of {event.server} held back",
            event.service,
            self._identity.node,
            reason="other service",
        )
        return [held_back, *self._service_check.query()]

    def _apply_announcement(
        self, now: Seconds, event: ServerAnnounced
    ) -> list[RelayEffect]:
        before = self.local_server.server
        since = self.local_server.handle_announcement(now, event)
        effects: list[RelayEffect] = []
        server = self.local_server.server
        if since is not None:
            self._ctx.server_watch.record_restart(now, before)
        if server is not None and server.service != self._ctx.service:
            self._ctx.service = server.service
            self._ctx.own_place.handle_other_service()
        if since is not None:
            effects += self._flows.handle_server_end(since)
            self._ctx.table.service_time = ServiceTime()
        return effects + self._update_state(now)

    def _handle_departure(
        self, now: Seconds, event: ServerLeft
    ) -> list[RelayEffect]:
        if not self.local_server.handle_departure(event):
            return []
        return [*self._flows.handle_server_end(now), *self._update_state(now)]

    # Peers and balancers

    def _handle_message(
        self, now: Seconds, src: NodeId, msg: Any
    ) -> list[RelayEffect]:
        self.members.record_message(now, src)
        match msg:
            case AgentReport():
                self.members.apply_report(now, msg, direct=msg.id == src)
                service = self._ctx.service
                return [
                    *self._flows.placement.handle_load(now, src, self.report),
                    *self._reports.reports_to_new_members(now, service),
                    *self._reports.correction(now, src, msg, service),
                ]
            case LoadReport():
                if not self.members.apply_load(now, src, msg):
                    return [Send(src, ReportAsked())]
                return self._flows.placement.handle_load(now, src, self.report)
            case ReportAsked():
                report = self._reports.report_to(now, src, self._ctx.service)
                return [Send(src, report)]
            case Hello():
                return self._handle_hello(now, msg)
            case Goodbye(id=node):
                self.members.balancers.pop(node, None)
            case FlowAsked():
                return self._flows.lookup.replies.handle_query(now, msg, src)
            case FlowPacketAsked(flow=flow):
                return self._flows.lookup.handle_packet_asked(now, flow, src)
            case FlowHeld(flow=flow, holder=holder):
                return self._flows.lookup.handle_held(now, flow, holder, src)
            case ScopeTold():
                return self._flows.lookup.handle_scope(now, src, msg)
            case FlowUnknown():
                return self._flows.lookup.handle_unknown(now, src, msg)
            case EntryMissing():
                self._registration.handle_missing_entry(now)
                return self._store_calls(now)
            case OtherService(report=report):
                self.members.apply_report(now, report, direct=True)
        return []

    def _handle_hello(self, now: Seconds, msg: Hello) -> list[RelayEffect]:
        service = self._ctx.service
        is_of_service = not msg.agents or msg.agents[0].service == service
        if not is_of_service:
            checked = self._service_check.pop_checked(msg.agents[0].service)
            if checked is not None:
                return self._apply_announcement(now, checked)
        self.members.apply_hello(now, msg)
        self.local_server.apply_idle(msg.version, msg.idle_s)
        self._event_factory.version = max(
            self._event_factory.version, msg.version
        )
        for report in msg.agents:
            if report.id == self._identity.node:
                self._own_state.supersede(report)
        asker = msg.id if msg.wants_report else None
        effects = [
            *self._learn_places(now, msg, is_of_service),
            *self._reports.reports_to_new_balancers(now, service, asker),
            *self._reports.reports_to_new_members(now, service),
            *self.members.pop_requests(now),
        ]
        if is_of_service:
            if msg.service_size and self._known_count() >= msg.service_size:
                self._ctx.mark_members_known(now)
            self._member_query.record_hello(now, msg)
        return effects + self._query_members(now)

    def _learn_places(
        self, now: Seconds, msg: Hello, is_of_service: bool
    ) -> list[RelayEffect]:
        """Apply which places are evacuated, and the limit of the service."""
        place = self._ctx.own_place
        version = msg.version if is_of_service else 0
        news = PlaceNews(version, msg.evacuated, msg.cold_per_s)
        change = place.apply(now, news)
        if change is None:
            return []
        self.members.apply_evacuated(place.known.current)
        return [
            self._event_factory.evacuation_event(change, f"balancer {msg.id}")
        ]

    def _known_count(self) -> int:
        """Return how many agents of the service are known, with this one."""
        return len(self.members.of(self._ctx.service)) + 1

    def _query_members(self, now: Seconds) -> list[RelayEffect]:
        source = self._member_query.due(
            now, self._known_count(), self._ctx.has_confirmed_members
        )
        if source is None:
            return []
        return [Send(source, MembersAsked(self._ctx.service))]

    def _exclude_pause(self, now: Seconds, pause_s: float) -> None:
        """Handle that this process did not run for ``pause_s`` seconds.

        Others may have joined meanwhile.
        """
        self.local_server.exclude_pause(pause_s)
        self.members.exclude_pause(now, pause_s)
        self._ctx.server_watch.exclude_pause(now)
        self._ctx.forget_members_known()

    def _handle_tick(self, now: Seconds) -> list[RelayEffect]:
        self._pause_detector.record_tick(now)
        effects = self._judge_server(now)
        effects += self._update_state(now)
        if self.local_server.needs_probe(now) and now >= self._probe_at:
            self._probe_at = now + PROBE_INTERVAL_S
            effects.append(ProbeServer())
        self.members.apply_named(now)
        self.members.renew_room(now)
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_INTERVAL_S
            self.members.expire(now, self.local_server.idle_s)
            effects += self._flows.expire(now)
        effects += [
            self._event_factory.removal_event(removal)
            for removal in self.members.pop_removals()
        ]
        effects += self._reports.due(now, self._ctx.service)
        effects += self._query_members(now)
        effects += self._flows.placement.place_late(now, self.report)
        if self._ctx.held:
            report = self.report(now)
            effects += self._flows.placement.review_held(now, report)
        effects += self._flows.lookup.retry(now)
        effects += self.members.pop_requests(now)
        effects += self._store_calls(now)
        return effects

    def _judge_server(self, now: Seconds) -> list[RelayEffect]:
        """Judge the server's flows; return an event of each change."""
        return [
            self._event_factory.health_event(
                change, self._ctx.service, self._identity.node
            )
            for change in self._ctx.server_watch.judge(now)
        ]

    def _store_calls(self, now: Seconds) -> list[RelayEffect]:
        self._registration.issue_next_call(now)
        return list(self._access.due(now))

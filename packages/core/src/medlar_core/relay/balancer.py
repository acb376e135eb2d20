"""Reducer of a balancer: chooses the agent that each packet is sent to.

A balancer keeps no state that correctness depends on: its hints of where
flows are held only save a hop.
"""

from typing import Any

from ..effects import Send
from ..events import Received
from ..events import StopAsked
from ..events import StoreAnswered
from ..events import Tick
from ..ids import NodeId
from ..ids import Seconds
from ..ids import ServiceName
from ..packets import Flag
from ..storeaccess.access import StoreAccess
from ..timeline.events import Topic
from ..verdict import Reason
from .early_packets import EarlyPackets
from .effects import FetchRoutes
from .effects import ForwardToAgent
from .effects import RelayEffect
from .effects import SendToCaller
from .event_factory import EventFactory
from .events import CallerPacketReceived
from .events import RoutesFetched
from .events import SeedsChanged
from .forwarded import ForwardedPacket
from .forwarded import ForwardReason
from .hello_sender import HelloSender
from .hints import Hints
from .member import Member
from .member import recently_reporting
from .members import Members
from .members import RemovalCause
from .messages import AgentReport
from .messages import AgentState
from .messages import EntryMissing
from .messages import FlowHeld
from .messages import Goodbye
from .messages import Hello
from .messages import LoadReport
from .messages import MembersAsked
from .messages import OtherService
from .messages import ReportAsked
from .owners import eligible
from .owners import Owners
from .pause_detector import PauseDetector
from .registration import Registration
from .routes import Routes
from .routes import RouteTable
from .segment import FlowId
from .segment import Segment
from .segment import SegmentCodec
from .store_view import BalancerIdentity
from .store_view import RouteReader
from .store_view import StoreView

FETCH_INTERVAL_S = 1.0
"""Least time between two fetches of a newer configuration from peers."""
OWNER_TIMEOUT_S = 0.3
"""A retransmitted SYN goes to the backup owner if the owner has sent no
message for longer: it sends one for each flow that it places."""
CONFIG_FRESH_S = 6.0
"""A SYN to an unknown address is reset only if the configuration was
confirmed this recently; otherwise a newer one may have a route to it."""

EXPIRE_INTERVAL_S = 1.0
RANK_INTERVAL_S = 0.3
"""Time between two looks at which agents are silent; changes of the
membership are applied at once."""
FROM_STORE = "the store"
"""Source of a configuration that the balancer passes on to all others."""

_SYN = int(Flag.SYN)


class RelayBalancer:
    """Handles the events of one balancer and returns effects."""

    def __init__(
        self,
        identity: BalancerIdentity,
        codec: SegmentCodec,
        read_routes: RouteReader,
        access: StoreAccess,
        registration: Registration,
    ) -> None:
        self._codec = codec
        self.members = Members(identity.node)
        self.routes = Routes()
        self.stopping = False
        self._event_factory = EventFactory(identity.node)
        self._view = StoreView(
            identity,
            read_routes,
            access,
            registration,
            self.members,
            self._event_factory,
        )
        self._hello_sender = HelloSender(
            identity, self.members, self.routes, self._view
        )
        self._hints = Hints()
        self._owners: dict[ServiceName, Owners] = {}
        self._seen_changes = 0
        self._next_fetch_at = 0.0
        self._peer_confirmed_at = float("-inf")
        self._has_agent_reports = False
        self._early_packets = EarlyPackets()
        self._expire_at = 0.0
        self._rank_at = 0.0
        self._pause_detector = PauseDetector()

    @property
    def is_ready(self) -> bool:
        """Whether this balancer can forward traffic."""
        return (
            self.routes.table is not None
            and self._has_agent_reports
            and not self.stopping
        )

    def gauges(self, now: Seconds) -> dict[str, float]:
        """Return the current gauge values by metric name."""
        confirmed_at = max(
            self._view.config_confirmed_at, self._peer_confirmed_at
        )
        return {
            "hints": len(self._hints),
            "packets_held": len(self._early_packets),
            "configuration_version": self.routes.version,
            "configuration_age_seconds": now - confirmed_at,
            "store_failing": float(self._view.is_failing),
            **self.members.gauges(now),
        }

    def reduce(self, now: Seconds, event: Any) -> list[RelayEffect]:
        """Handle one event and return the effects to carry out."""
        effects = self._reduce(now, event)
        if self._early_packets and self._can_forward:
            for segment in self._early_packets.pop_all(now):
                effects += self._handle_packet(now, segment)
        return effects

    @property
    def _can_forward(self) -> bool:
        """Whether a route table and the agents are known."""
        if self.routes.table is None:
            return False
        return self._view.has_read_entries or bool(self._owners)

    def _reduce(self, now: Seconds, event: Any) -> list[RelayEffect]:
        match event:
            case CallerPacketReceived(segment=segment):
                if self._can_forward:
                    return self._handle_packet(now, segment)
                self._early_packets.add(now, segment)
            case Received(src=src, msg=msg):
                return self._handle_message(now, src, msg)
            case Tick():
                return self._handle_tick(now)
            case StoreAnswered():
                return self._handle_store_answer(now, event)
            case RoutesFetched(table=table, src=src):
                return self._apply_routes(now, table, f"balancer {src}")
            case SeedsChanged(seeds=seeds):
                self._hello_sender.seeds = seeds
            case StopAsked():
                self.stopping = True
                self._view.stop()
                return list(self._hello_sender.goodbyes())
        return []

    # Packets

    def _handle_packet(
        self, now: Seconds, segment: Segment
    ) -> list[RelayEffect]:
        flow_id = segment.inward
        services = self.routes.services(flow_id)
        if not services:
            return self._handle_unknown_address(now, segment)
        dst = self._hinted_holder(flow_id, segment, services)
        if dst is None:
            owners = self._owners.get(services[0])
            if owners is None or not owners.ids:
                return [
                    self._drop_event(segment, services[0], Reason.NO_SERVER)
                ]
            ranked = owners.ranked(flow_id.key)
            dst = self._responsive_owner(now, ranked, segment)
        is_new = bool(segment.flags & _SYN)
        others = {} if is_new else self._other_owners(now, flow_id, services)
        packet = ForwardedPacket(
            int(ForwardReason.ROUTED),
            services[0],
            segment.data,
            (),
            tuple(others),
            low_priority=is_new
            and self.routes.has_low_priority(flow_id, services[0]),
            other_owners=tuple(filter(None, others.values())),
        )
        if not is_new:
            return [ForwardToAgent(dst, packet)]
        event = self._event_factory.flow_event(
            Topic.PLACEMENT,
            f"flows: new, {segment.ack} retransmissions, "
            "forwarded to its owner",
            flow_id,
            services[0],
            dst,
        )
        return [ForwardToAgent(dst, packet), event]

    def _other_owners(
        self, now: Seconds, flow_id: FlowId, services: tuple[ServiceName, ...]
    ) -> dict[ServiceName, NodeId | None]:
        """Return an agent of each further service that may hold a flow.

        A service without agents holds none, unless it has lost ones.
        """
        found: dict[ServiceName, NodeId | None] = {}
        for service in services[1:]:
            owners = self._owners.get(service)
            if owners is not None and owners.ids:
                found[service] = owners.ranked(flow_id.key)[0]
            elif self.members.lost_agents(now, service, self.routes.idle_s):
                found[service] = None
        return found

    def _hinted_holder(
        self,
        flow_id: FlowId,
        segment: Segment,
        services: tuple[ServiceName, ...],
    ) -> NodeId | None:
        """Return the cached holder of an open flow.

        None if it is not a known agent of the services of its route.

        A SYN opens a flow anew, so it removes the hint.
        """
        if segment.flags & _SYN:
            self._hints.remove(flow_id)
            return None
        holder = self._hints.get(flow_id)
        if holder is None:
            return None
        member = self.members.agents.get(holder)
        if member is None or member.report.service not in services:
            self._hints.remove(flow_id)
            return None
        return holder

    def _responsive_owner(
        self, now: Seconds, ranked: tuple[NodeId, ...], segment: Segment
    ) -> NodeId:
        """Return the owner, or the backup owner if the owner may be down.

        Only a retransmitted SYN goes to the backup owner: it shows that
        the first one was not answered.
        """
        is_retransmitted = segment.flags & _SYN and segment.ack
        if not is_retransmitted or len(ranked) < 2:
            return ranked[0]
        owner = self.members.agents.get(ranked[0])
        if owner is None:
            return ranked[1]
        if owner.silent_s(now) > OWNER_TIMEOUT_S and (
            owner.report.period_s > OWNER_TIMEOUT_S
            or owner.is_silent(now, OWNER_TIMEOUT_S)
        ):
            self.members.request_report(now, ranked[0])
            return ranked[1]
        return ranked[0]

    def _handle_unknown_address(
        self, now: Seconds, segment: Segment
    ) -> list[RelayEffect]:
        flow_id = segment.inward
        confirmed_at = max(
            self._view.config_confirmed_at, self._peer_confirmed_at
        )
        is_fresh = now - confirmed_at <= CONFIG_FRESH_S
        if not segment.flags & _SYN or not is_fresh:
            return [self._drop_event(segment, "", Reason.UNKNOWN_ADDRESS)]
        event = self._event_factory.flow_event(
            Topic.PACKET,
            "flows: refused",
            flow_id,
            why=Reason.UNKNOWN_ADDRESS,
        )
        data = self._codec.reset(flow_id, segment.ack)
        return [SendToCaller(flow_id.caller, data), event]

    def _drop_event(
        self, segment: Segment, service: str, why: Reason
    ) -> RelayEffect:
        return self._event_factory.flow_event(
            Topic.PACKET, "flows: dropped", segment.inward, service, why=why
        )

    # Other processes

    def _handle_message(
        self, now: Seconds, src: NodeId, msg: Any
    ) -> list[RelayEffect]:
        self.members.record_message(now, src)
        match msg:
            case AgentReport():
                self.members.apply_report(now, msg, direct=msg.id == src)
            case LoadReport():
                if self.members.apply_load(now, src, msg):
                    return []
                return [Send(src, ReportAsked())]
            case OtherService(report=report):
                self.members.apply_report(now, report, direct=True)
            case Hello():
                return self._handle_hello(now, msg)
            case MembersAsked(service=service):
                return list(
                    self._hello_sender.hellos_with_members(now, src, service)
                )
            case EntryMissing():
                self._view.handle_missing_entry(now)
                return self._store_calls(now)
            case FlowHeld(flow=flow, holder=holder):
                self._hints.put(flow, holder)
                return []
            case Goodbye(id=node):
                self.members.balancers.pop(node, None)
        return self._handle_membership_changes(now)

    def _handle_hello(self, now: Seconds, msg: Hello) -> list[RelayEffect]:
        config_confirmed_at = now - msg.config_age_s
        self.members.apply_hello(now, msg)
        self.members.config_confirmed_at[msg.id] = config_confirmed_at
        effects = self._handle_membership_changes(now)
        effects += self._hello_sender.handle_hello(now, msg)
        if msg.version == self.routes.version:
            self._peer_confirmed_at = max(
                self._peer_confirmed_at, config_confirmed_at
            )
        if msg.version > self.routes.version and now >= self._next_fetch_at:
            self._next_fetch_at = now + FETCH_INTERVAL_S
            effects.append(FetchRoutes(msg.id))
        return effects

    def _handle_tick(self, now: Seconds) -> list[RelayEffect]:
        pause_s = self._pause_detector.record_tick(now)
        if pause_s:
            self.members.exclude_pause(now, pause_s)
        self.members.apply_named(now)
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_INTERVAL_S
            self.members.expire(now)
        removals = self.members.pop_removals()
        if any(removal.cause is RemovalCause.SILENT for removal in removals):
            self._hello_sender.make_due_for_agents()
        effects: list[RelayEffect] = [
            self._event_factory.removal_event(removal) for removal in removals
        ]
        effects += self._view.notify_unregistered(now)
        effects += self.members.pop_requests()
        if now >= self._rank_at:
            self._rank_agents(now)
        return [*effects, *self._send_hellos(now), *self._store_calls(now)]

    def _send_hellos(self, now: Seconds) -> list[RelayEffect]:
        if self.stopping:
            return []
        return list(self._hello_sender.due(now))

    def _store_calls(self, now: Seconds) -> list[RelayEffect]:
        return list(self._view.due(now, self.stopping))

    # Configuration

    def _handle_store_answer(
        self, now: Seconds, event: StoreAnswered
    ) -> list[RelayEffect]:
        update = self._view.handle_answer(now, event)
        effects = update.effects
        for table in update.tables:
            effects += self._apply_routes(now, table, FROM_STORE)
        effects += self._handle_membership_changes(now)
        return effects + self._store_calls(now)

    def _apply_routes(
        self, now: Seconds, table: RouteTable, source: str
    ) -> list[RelayEffect]:
        old = self.routes.version
        if not self.routes.apply(table):
            return []
        self._event_factory.version = table.version
        event = self._event_factory.state_event(
            Topic.CONFIGURATION,
            f"configuration: in force with {len(table.routes)} routes, "
            f"replaces version {old}, received from {source}",
        )
        if source != FROM_STORE:
            return [event]
        return [event, *self._hello_sender.hellos_to_balancers(now)]

    # Owners

    def _handle_membership_changes(self, now: Seconds) -> list[RelayEffect]:
        effects: list[RelayEffect] = []
        if not self.stopping:
            effects += self._hello_sender.hellos_to_new_balancers(now)
        if self.members.changes == self._seen_changes:
            return effects
        self._seen_changes = self.members.changes
        self._rank_agents(now)
        if not self.stopping:
            effects += self._hello_sender.hellos_to_new_agents(now)
        return effects

    def _rank_agents(self, now: Seconds) -> None:
        """Update the owners of each service.

        Cached rankings are kept while the eligible agents stay the same.
        """
        self._rank_at = now + RANK_INTERVAL_S
        by_service: dict[ServiceName, list[Member]] = {}
        ready: list[Member] = []
        for member in self.members.agents.values():
            by_service.setdefault(member.report.service, []).append(member)
            if member.report.state is AgentState.READY:
                ready.append(member)
        self._has_agent_reports = 2 * len(
            recently_reporting(ready, now)
        ) >= max(1, len(ready))
        owners: dict[ServiceName, Owners] = {}
        for service, members in by_service.items():
            ids = eligible(now, members)
            known = self._owners.get(service)
            if known is None or not known.are(ids):
                known = Owners(ids)
            owners[service] = known
        self._owners = owners

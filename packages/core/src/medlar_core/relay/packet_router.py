"""Forwarding of callers' packets by a balancer."""

from collections.abc import Callable

from ..ids import NodeId
from ..ids import Seconds
from ..ids import ServiceName
from ..packets import Flag
from ..timeline.events import Topic
from ..verdict import Reason
from .configuration.routes import Routes
from .configuration.scope_store import ScopeStore
from .effects import ForwardToAgent
from .effects import RelayEffect
from .effects import SendToCaller
from .event_factory import EventFactory
from .lookup.forwarded import ForwardedPacket
from .lookup.forwarded import ForwardReason
from .lookup.hints import Hints
from .lookup.owners import OwnerRanking
from .members import Members
from .scope import FlowScope
from .scope import ServiceOwner
from .segment import FlowId
from .segment import Segment
from .segment import SegmentCodec
from .terms import DEFAULT_TERMS

OWNER_TIMEOUT_S = 0.3
"""A retransmitted SYN goes to the backup owner if the owner has sent no
message for longer: it sends one for each flow that it places."""
CONFIG_FRESH_S = 6.0
"""A SYN to an unknown address is reset only if the configuration was
confirmed this recently; otherwise a newer one may have a route to it."""
NO_OWNER = NodeId("")

_SYN = int(Flag.SYN)


class PacketRouter:
    """Chooses the agent that each packet of a caller is sent to."""

    def __init__(
        self,
        codec: SegmentCodec,
        members: Members,
        routes: Routes,
        scopes: ScopeStore,
        owners: OwnerRanking,
        event_factory: EventFactory,
        is_store_lost: Callable[[Seconds], bool],
    ) -> None:
        self._codec = codec
        self._members = members
        self._routes = routes
        self._scopes = scopes
        self._owners = owners
        self._event_factory = event_factory
        self._is_store_lost = is_store_lost
        self.hints = Hints()
        self._started_at: Seconds | None = None
        """When the first scope was told."""

    def handle_packet(
        self, now: Seconds, segment: Segment, config_confirmed_at: float
    ) -> list[RelayEffect]:
        """Forward a packet of a caller, or refuse or drop it.

        ``config_confirmed_at`` is when the configuration was last known to
        be the newest.
        """
        flow_id = segment.inward
        services = self._services(flow_id)
        if not services:
            is_fresh = now - config_confirmed_at <= CONFIG_FRESH_S
            return self._handle_unknown_address(segment, is_fresh)
        if segment.flags & _SYN and not self._may_open(
            now, flow_id, services[0]
        ):
            return [self._held_back_event(segment, services[0])]
        dst = self._hinted_holder(flow_id, segment, services)
        if dst is None:
            owners = self._owners.by_service.get(services[0])
            if owners is None or not owners.ids:
                return [
                    self._drop_event(segment, services[0], Reason.NO_SERVER)
                ]
            ranked = owners.ranked(flow_id.key)
            dst = self._responsive_owner(now, ranked, segment)
        is_new = bool(segment.flags & _SYN)
        scope = self._scope(now, flow_id, services)
        packet = ForwardedPacket(
            reason=int(ForwardReason.ROUTED),
            service=services[0],
            data=segment.data,
            low_priority=is_new
            and self._routes.has_low_priority(flow_id, services[0]),
            scope=scope,
            terms=self._routes.terms(flow_id) if is_new else DEFAULT_TERMS,
            regions=self._routes.regions(flow_id) if is_new else (),
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

    def _may_open(
        self, now: Seconds, flow_id: FlowId, service: ServiceName
    ) -> bool:
        """Return whether others would search a service for the flow.

        While no balancer reads the store, none tells an agent less than
        this one knows.
        """
        if self._scopes.may_open(now, flow_id.address, service):
            return True
        return self._is_store_lost(now)

    def _held_back_event(
        self, segment: Segment, service: ServiceName
    ) -> RelayEffect:
        return self._event_factory.flow_event(
            Topic.PLACEMENT,
            "flows: SYN dropped until it is retransmitted, its service is "
            "not recorded",
            segment.inward,
            service,
        )

    def _services(self, flow_id: FlowId) -> tuple[ServiceName, ...]:
        """Return the services that may hold a flow, first the chosen one.

        Those that its route no longer names may hold flows that were opened
        earlier. Empty if there is no route.
        """
        current = self._routes.services(flow_id)
        recorded = self._scopes.known.get(flow_id.address)
        if not current or current == recorded:
            return current
        return (*current, *(s for s in recorded if s not in current))

    def full_scope(self, now: Seconds, flow_id: FlowId) -> FlowScope | None:
        """Return what has to be searched for a flow, with each service.

        None if there is no route to its address, or the store has no
        services of it yet.
        """
        services = self._services(flow_id)
        if not services or not self._scopes.is_recorded(flow_id.address):
            return None
        return self._scope_of_all(now, flow_id, services)

    def _scope(
        self, now: Seconds, flow_id: FlowId, services: tuple[ServiceName, ...]
    ) -> FlowScope:
        """Return what is told with a packet, which names its service."""
        if len(services) == 1:
            return FlowScope(self._routes.version, self._idle_s)
        return self._scope_of_all(now, flow_id, services)

    @property
    def _idle_s(self) -> float:
        return max(self._routes.idle_s, self._scopes.known.idle_s)

    def _scope_of_all(
        self, now: Seconds, flow_id: FlowId, services: tuple[ServiceName, ...]
    ) -> FlowScope:
        """Return a scope that names each service.

        One that the route no longer names and that has no agents holds no
        flows, unless it has lost ones, or this balancer may not have heard
        of them yet.
        """
        idle_s = self._idle_s
        if self._started_at is None:
            self._started_at = now
        is_new = now - self._started_at <= idle_s
        found: list[ServiceOwner] = []
        for service in services:
            owners = self._owners.by_service.get(service)
            if owners is not None and owners.ids:
                owner = owners.ranked(flow_id.key)[0]
                found.append(ServiceOwner(service, owner))
            elif (
                is_new
                or service == services[0]
                or self._members.lost_agents(now, service, idle_s)
            ):
                found.append(ServiceOwner(service, NO_OWNER))
        return FlowScope(self._routes.version, idle_s, tuple(found))

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
            self.hints.remove(flow_id)
            return None
        holder = self.hints.get(flow_id)
        if holder is None:
            return None
        member = self._members.agents.get(holder)
        if member is None or member.report.service not in services:
            self.hints.remove(flow_id)
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
        owner = self._members.agents.get(ranked[0])
        if owner is None:
            return ranked[1]
        if owner.silent_s(now) > OWNER_TIMEOUT_S and (
            owner.report.period_s > OWNER_TIMEOUT_S
            or owner.is_silent(now, OWNER_TIMEOUT_S)
        ):
            self._members.request_report(now, ranked[0])
            return ranked[1]
        return ranked[0]

    def _handle_unknown_address(
        self, segment: Segment, is_fresh: bool
    ) -> list[RelayEffect]:
        flow_id = segment.inward
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

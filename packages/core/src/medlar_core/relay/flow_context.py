"""State and effects that all parts of an agent's flow handling share."""

from ..ids import NodeId
from ..ids import Seconds
from ..ids import ServiceName
from ..timeline.events import Topic
from ..verdict import Reason
from .admission.held import HeldFlows
from .effects import DeliverToServer
from .effects import ForwardToAgent
from .effects import RelayEffect
from .effects import SendToCaller
from .event_factory import EventFactory
from .flow_table import Flow
from .flow_table import FlowTable
from .health.watch import ServerWatch
from .local_server import LocalServer
from .lookup.forwarded import ForwardedPacket
from .lookup.forwarded import ForwardReason
from .members import Members
from .new_flow import NewFlow
from .scope import FlowScope
from .scope import KnownScopes
from .segment import FlowId
from .segment import Segment
from .segment import SegmentCodec
from .terms import DEFAULT_TERMS
from .terms import FlowTerms
from .zones.homes import Homes
from .zones.own_place import OwnPlace

MEMBERS_SETTLE_S = 0.1
"""Time to receive hello messages of other balancers, once this agent knows
all members that one balancer has counted."""


class FlowContext:
    """Flow table, members and local server, with the common effects."""

    def __init__(
        self,
        node: NodeId,
        service: ServiceName,
        codec: SegmentCodec,
        members: Members,
        local_server: LocalServer,
        event_factory: EventFactory,
        own_place: OwnPlace,
        homes: Homes,
    ) -> None:
        self.node = node
        self.service = service
        self.members = members
        self.local_server = local_server
        self.event_factory = event_factory
        self.own_place = own_place
        self.homes = homes
        self.table = FlowTable(node)
        self.held = HeldFlows()
        self.scopes = KnownScopes()
        self.server_watch = ServerWatch(self.table, local_server)
        self._codec = codec
        self._members_known_at: float | None = None

    def mark_members_known(self, now: Seconds) -> None:
        """Record that this agent knows all members a balancer has counted."""
        if self._members_known_at is None:
            self._members_known_at = now

    @property
    def has_confirmed_members(self) -> bool:
        """Whether a balancer has counted no more members than are known."""
        return self._members_known_at is not None

    def forget_members_known(self) -> None:
        """Require another hello message before all members are known."""
        self._members_known_at = None

    def knows_all_members(self, now: Seconds) -> bool:
        """Return whether this agent knows all members of its service."""
        since = self._members_known_at
        return since is not None and now - since >= MEMBERS_SETTLE_S

    def record_scope(self, flow_id: FlowId, scope: FlowScope) -> None:
        """Record what a balancer has told with a packet."""
        self.scopes.record(flow_id.address, scope)
        self.local_server.apply_idle(scope.version, scope.idle_s)

    def record_confirmed_scope(
        self, flow_id: FlowId, scope: FlowScope
    ) -> None:
        """Record what a balancer has told since it asked the store."""
        self.scopes.replace(flow_id.address, scope)
        self.local_server.apply_idle(scope.version, scope.idle_s)

    def lost_agents(self, now: Seconds, scope: FlowScope) -> list[NodeId]:
        """Return removed agents whose servers may hold flows of a scope."""
        idle_s = max(self.local_server.idle_s, scope.idle_s)
        return self.members.lost_agents(now, self.service, idle_s)

    def knows_all_flows(self, now: Seconds, scope: FlowScope) -> bool:
        """Return whether the table has all flows that the server may hold.

        True only of flows that idle no longer than the scope allows.
        """
        return self.local_server.knows_all_flows(now, scope.idle_s)

    def expire_flows(self, now: Seconds) -> list[RelayEffect]:
        """Remove expired flows from the table."""
        idle_s = self.local_server.idle_s
        dropped = self.table.expire(now, idle_s)
        if not dropped:
            return []
        last_packet_at = max(flow.last_packet_at for flow in dropped)
        self.local_server.record_dropped(last_packet_at)
        text = (
            f"flows: dropped {len(dropped)} of the local server, idle for "
            f"{now - last_packet_at:.2f} s or more; idle timeout "
            f"{idle_s:.2f} s"
        )
        return [
            self.event_factory.state_event(
                Topic.HANDOVER, text, self.service, self.node
            )
        ]

    def add_flow(
        self, now: Seconds, new_flow: NewFlow, holder: NodeId
    ) -> Flow:
        """Add a flow to the table, with what a retransmitted SYN needs."""
        flow = self.table.put(now, new_flow.flow_id, holder, new_flow.declined)
        flow.via = new_flow.via
        flow.low_priority = new_flow.low_priority
        flow.terms = new_flow.terms
        flow.regions = new_flow.regions
        return flow

    def deliver(
        self, now: Seconds, flow: Flow, segment: Segment
    ) -> list[RelayEffect]:
        """Deliver a packet of a flow that the local server holds."""
        self.server_watch.record_caller_packet(now, flow, segment)
        self.table.record_delivered(now, flow, segment)
        return [self.deliver_untracked(segment)]

    def deliver_untracked(self, segment: Segment) -> DeliverToServer:
        """Deliver a packet that the local server may bounce.

        Leaves the flow table as it is.
        """
        return DeliverToServer(self._codec.without_bounce_marks(segment.data))

    def forward(
        self,
        dst: NodeId,
        why: ForwardReason,
        segment: Segment,
        scope: FlowScope,
        declined: tuple[NodeId, ...] = (),
        hops: int = 1,
        terms: FlowTerms = DEFAULT_TERMS,
        regions: tuple[str, ...] = (),
    ) -> ForwardToAgent:
        """Forward a packet to another agent."""
        packet = ForwardedPacket(
            reason=int(why),
            service=self.service,
            data=segment.data,
            declined=declined,
            hops=hops,
            scope=scope,
            terms=terms,
            regions=regions,
        )
        return ForwardToAgent(dst, packet)

    def reset(
        self, flow_id: FlowId, seq: int, why: Reason
    ) -> list[RelayEffect]:
        """Reset a flow towards its caller."""
        data = self._codec.reset(flow_id, seq)
        event = self.event_factory.flow_event(
            Topic.PACKET, "flows: reset", flow_id, self.service, why=why
        )
        return [SendToCaller(flow_id.caller, data), event]

    def event(
        self, flow_id: FlowId, text: str, server: str = ""
    ) -> RelayEffect:
        """Return a time-line event on the lookup or forwarding of a flow."""
        return self.event_factory.flow_event(
            Topic.HANDOVER, text, flow_id, self.service, server
        )

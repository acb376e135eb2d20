"""Lookup of the holder of flows that are not in an agent's table."""

import msgspec

from ..effects import Send
from ..ids import NodeId
from ..ids import Seconds
from ..limits import TokenBucket
from ..packets import Flag
from ..verdict import Reason
from .effects import RelayEffect
from .events import PacketForwarded
from .flow_context import FlowContext
from .flow_table import Flow
from .forwarded import ForwardedPacket
from .forwarded import ForwardReason
from .lookup_table import Lookup
from .lookup_table import LookupTable
from .lookup_table import MAX_QUEUED_PACKETS
from .members import Member
from .messages import AgentState
from .messages import FlowAsked
from .messages import FlowHeld
from .messages import FlowUnknown
from .segment import FlowId
from .segment import Segment

PENDING_QUERY_TTL_S = 1.0
"""A server bounces a packet of an unknown flow well within this time."""
QUERY_PACKETS_PER_S = 400.0
"""Rate of packets sent to agents that have to try them at their servers.
Without a limit, each flow would query its whole service after all tables
are lost."""
QUERY_PACKETS_BURST = 400.0
NO_NODE = NodeId("")

_RST = int(Flag.RST)


class _PendingQuery(msgspec.Struct, frozen=True):
    """Query of another agent that the local server has yet to decide."""

    node: NodeId
    received_at: float


class FlowLookup:
    """Queries other agents about flows, and answers their queries."""

    def __init__(self, ctx: FlowContext) -> None:
        self._ctx = ctx
        self._lookups = LookupTable()
        self._pending_queries: dict[FlowId, _PendingQuery] = {}
        self._query_budget = TokenBucket(
            QUERY_PACKETS_PER_S, QUERY_PACKETS_BURST
        )

    def expire(self, now: Seconds) -> list[RelayEffect]:
        """Remove expired queries and lookups.

        Returns an event with the missing replies for each such lookup.
        """
        self._pending_queries = {
            flow_id: query
            for flow_id, query in self._pending_queries.items()
            if now - query.received_at <= PENDING_QUERY_TTL_S
        }
        return [
            self._ctx.event(
                late.flow_id,
                "flows: lookup timed out without a reply from "
                f"{', '.join(late.awaiting) or 'the local server'}",
            )
            for late in self._lookups.expire(now)
        ]

    def start(
        self,
        now: Seconds,
        segment: Segment,
        packet: ForwardedPacket,
        via: NodeId = NO_NODE,
        local_denied: bool = False,
    ) -> list[RelayEffect]:
        """Query all agents that may hold a flow; queue its packets.

        A packet of a flow whose lookup is in progress is only queued.
        ``via`` is the process that sent the packet here and is notified of
        the holder; ``local_denied`` is set if the local server has bounced
        the packet.
        """
        flow_id = segment.inward
        if segment.flags & _RST:
            return []
        active = self._lookups.active(now, flow_id)
        if active is not None:
            if len(active.packets) < MAX_QUEUED_PACKETS:
                active.packets.append(segment)
            active.acked_seq = segment.ack
            return []
        if self._lookups.is_full():
            text = "flows: packet dropped: too many lookups in progress"
            return [self._ctx.event(flow_id, text)]
        candidates = self._candidates(packet)
        sent_to = {
            m.report.id for m in candidates if not m.report.knows_all_flows
        }
        if not self._query_budget.take(
            now, min(len(sent_to), QUERY_PACKETS_BURST)
        ):
            text = "flows: packet dropped: query rate limit reached"
            return [self._ctx.event(flow_id, text)]
        try_local = (
            not local_denied
            and not self._ctx.local_server.knows_all_flows(now)
        )
        if try_local:
            sent_to.add(self._ctx.node)
        lookup = Lookup(
            started_at=now,
            awaiting={member.report.id for member in candidates},
            local_pending=try_local,
            all_queried=self._ctx.knows_all_members(now),
            packets=[segment],
            sent_to=sent_to,
            acked_seq=segment.ack,
            via=via,
        )
        self._lookups.add(flow_id, lookup)
        effects = [self._query(member, segment) for member in candidates]
        if try_local:
            effects.append(self._ctx.deliver_untracked(segment))
        text = f"flows: unknown flow; queried {len(candidates)} agents"
        effects.append(self._ctx.event(flow_id, text))
        return effects + self._reset_if_absent(flow_id, lookup)

    def handle_query_packet(
        self, now: Seconds, event: PacketForwarded
    ) -> list[RelayEffect]:
        """Answer whether the local server holds the flow of a packet.

        This agent's cached holder of the flow is not used as an answer:
        the sender queries the other agents as well.
        """
        flow_id = event.segment.inward
        if self._ctx.local_server.knows_all_flows(now):
            return [Send(event.src, FlowUnknown(flow_id))]
        self._pending_queries[flow_id] = _PendingQuery(event.src, now)
        return [self._ctx.deliver_untracked(event.segment)]

    def handle_query(
        self, now: Seconds, flow_id: FlowId, src: NodeId
    ) -> list[RelayEffect]:
        """Answer from the table whether the local server holds a flow.

        An agent that has lost its table does not reply; it is queried
        with a packet once its reports say that its table is incomplete.
        """
        flow = self._ctx.table.get(flow_id)
        if flow is not None and flow.holder == self._ctx.node:
            return [Send(src, FlowHeld(flow_id, self._ctx.node))]
        if self._ctx.local_server.knows_all_flows(now):
            return [Send(src, FlowUnknown(flow_id))]
        return []

    def handle_held(
        self, now: Seconds, flow_id: FlowId, holder: NodeId, src: NodeId
    ) -> list[RelayEffect]:
        """Handle the reply that an agent's server holds a flow.

        If the sender names another agent, it is a notice of one that had
        to forward a packet of the flow, and no reply.
        """
        if holder != src:
            self._ctx.table.redirect(flow_id, src, holder)
            return []
        lookup = self._lookups.remove(flow_id)
        if lookup is None:
            return []
        self._ctx.table.put(now, flow_id, holder)
        effects: list[RelayEffect] = [
            self._ctx.forward(holder, ForwardReason.PLACED, segment)
            for segment in lookup.packets_for(holder)
        ]
        if lookup.via:
            effects.append(Send(lookup.via, FlowHeld(flow_id, holder)))
        effects.append(self._ctx.event(flow_id, "flows: holder found", holder))
        return effects

    def handle_unknown(
        self, now: Seconds, flow_id: FlowId, src: NodeId
    ) -> list[RelayEffect]:
        """Handle the reply that an agent's server does not hold a flow."""
        lookup = self._lookups.get(flow_id)
        if lookup is None:
            return []
        lookup.awaiting.discard(src)
        return self._reset_if_absent(flow_id, lookup)

    def handle_bounced(
        self, now: Seconds, segment: Segment
    ) -> list[RelayEffect]:
        """Handle a packet of a flow that the local server does not hold."""
        flow_id = segment.inward
        query = self._pending_queries.pop(flow_id, None)
        if query is not None:
            return [Send(query.node, FlowUnknown(flow_id))]
        lookup = self._lookups.get(flow_id)
        if lookup is not None:
            lookup.local_pending = False
            return self._reset_if_absent(flow_id, lookup)
        packet = ForwardedPacket(
            ForwardReason.ROUTED, self._ctx.service, segment.data
        )
        return self.start(now, segment, packet, local_denied=True)

    def handle_rediscovered(
        self, now: Seconds, flow_id: FlowId, flow: Flow
    ) -> list[RelayEffect]:
        """Handle a flow that a packet of the local server has revealed."""
        ctx = self._ctx
        effects: list[RelayEffect] = []
        query = self._pending_queries.pop(flow_id, None)
        if query is not None:
            effects.append(Send(query.node, FlowHeld(flow_id, ctx.node)))
        lookup = self._lookups.remove(flow_id)
        if lookup is not None:
            for packet in lookup.packets_for(ctx.node):
                effects += ctx.deliver(now, flow, packet)
        text = "flows: rediscovered by a packet of the local server"
        effects.append(ctx.event(flow_id, text))
        return effects

    def _query(self, member: Member, segment: Segment) -> RelayEffect:
        """Query by flow id if the table suffices; packets are larger."""
        node = member.report.id
        if member.report.knows_all_flows:
            return Send(node, FlowAsked(segment.inward))
        return self._ctx.forward(node, ForwardReason.LOOKUP, segment)

    def _reset_if_absent(
        self, flow_id: FlowId, lookup: Lookup
    ) -> list[RelayEffect]:
        if not lookup.proves_absence:
            return []
        self._lookups.remove(flow_id)
        return self._ctx.reset(flow_id, lookup.acked_seq, Reason.NO_FLOW)

    def _candidates(self, packet: ForwardedPacket) -> list[Member]:
        names = {self._ctx.service, packet.service, *packet.other_services}
        return [
            member
            for name in sorted(names)
            for member in self._ctx.members.of(name)
            if not _has_no_server(member)
        ]


def _has_no_server(member: Member) -> bool:
    """Return whether an agent's probe found no server."""
    report = member.report
    return report.state is AgentState.STARTING and report.knows_all_flows

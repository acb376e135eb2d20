"""Forwarding of packets by an agent: to its server, callers and peers."""

import random

from ..effects import Send
from ..ids import Seconds
from ..packets import Flag
from ..verdict import Reason
from .effects import RelayEffect
from .effects import SendToCaller
from .events import PacketForwarded
from .flow_context import FlowContext
from .flow_table import Flow
from .lookup.flow_lookup import FlowLookup
from .lookup.forwarded import ForwardReason
from .messages import AgentReport
from .messages import FlowHeld
from .messages import OtherService
from .new_flow import NewFlow
from .placement import Placement
from .segment import Segment

MAX_HOPS_BEFORE_LOOKUP = 3
"""A packet forwarded by this many agents or more is taken to be in a loop of
outdated table entries; its holder is looked up again."""
MAX_HOPS = 12
"""A packet forwarded by more agents is dropped."""
NOTICE_INTERVAL_S = 0.1
"""Time between two notices of a flow's holder to one balancer: longer than a
notice takes. A balancer that still sends the flow's packets here after it
has no notice, as it was restarted or the notice was lost."""

_SYN = int(Flag.SYN)
_EXPECTING_REPLY = (ForwardReason.LOOKUP, ForwardReason.DELEGATED)


class AgentFlows:
    """Packet handling of an agent's reducer."""

    def __init__(self, ctx: FlowContext, rng: random.Random) -> None:
        self.lookup = FlowLookup(ctx)
        self._ctx = ctx
        self.placement = Placement(ctx, rng)

    def expire(self, now: Seconds) -> list[RelayEffect]:
        """Remove expired flows, queries and lookups."""
        return [*self._ctx.expire_flows(now), *self.lookup.expire(now)]

    def handle_forwarded(
        self, now: Seconds, event: PacketForwarded
    ) -> list[RelayEffect]:
        """Handle a forwarded packet other than a SYN."""
        flow_id = event.segment.inward
        self._record_scope(event)
        # A caller sends other packets only once its flow is open.
        self.placement.starts.discard(flow_id)
        flow = self._ctx.table.get(flow_id)
        packet = event.packet
        if packet.hops > MAX_HOPS:
            return [self._drop_over_hop_limit(event)]
        if flow is not None and flow.holder == self._ctx.node:
            was_established = flow.established
            effects = self._ctx.deliver(now, flow, event.segment)
            if flow.established and not was_established:
                self.placement.starts.record_established(now, flow)
            if packet.reason in _EXPECTING_REPLY:
                held = FlowHeld(flow_id, self._ctx.node)
                effects.append(Send(event.src, held))
            return effects
        if packet.reason == ForwardReason.LOOKUP:
            return self.lookup.replies.handle_query_packet(now, event)
        if packet.reason == ForwardReason.DELEGATED:
            return self._handle_delegated(now, event)
        if flow is None:
            return self.lookup.start(now, event.segment, packet, event.src)
        if event.src == flow.holder or packet.hops >= MAX_HOPS_BEFORE_LOOKUP:
            # The tables of the agents disagree and form a forwarding loop.
            self._ctx.table.remove(flow_id)
            return self.lookup.start(now, event.segment, packet, event.src)
        return self._forward_to_holder(now, event, flow)

    def handle_syn(
        self, now: Seconds, event: PacketForwarded, own_report: AgentReport
    ) -> list[RelayEffect]:
        """Handle a forwarded SYN; ``own_report`` is this agent's report."""
        ctx = self._ctx
        self._record_scope(event)
        flow_id = event.segment.inward
        flow = ctx.table.get(flow_id)
        packet = event.packet
        if packet.hops > MAX_HOPS:
            return [self._drop_over_hop_limit(event)]
        if self.placement.starts.is_held(flow_id):
            self.placement.starts.record_copy(event.segment)
            return self._confirm(event)
        if flow is not None and flow.holder == ctx.node:
            effects = self._handle_local_syn(
                now, event.segment, flow, own_report
            )
            return effects + self._confirm(event)
        if packet.service != ctx.service:
            return [Send(event.src, OtherService(packet.service, own_report))]
        if flow is not None and flow.holder not in packet.declined:
            return self._handle_remote_syn(now, event, flow, own_report)
        routed = packet.reason == ForwardReason.ROUTED
        via = event.src if routed else packet.via
        new_flow = NewFlow(
            flow_id,
            event.segment,
            packet.declined,
            via,
            packet.hops,
            packet.low_priority,
            packet.scope,
            packet.terms,
            packet.regions,
        )
        if routed and self.placement.may_open_here(new_flow, own_report):
            return self.placement.place(now, new_flow, own_report)
        if routed:
            return self.placement.place_elsewhere(now, new_flow, own_report)
        effects = self.placement.handle_placed(now, new_flow, own_report)
        return effects + self._confirm(event)

    def _confirm(self, event: PacketForwarded) -> list[RelayEffect]:
        """Confirm a flow to the agent that placed it here."""
        flow_id = event.segment.inward
        flow = self._ctx.table.get(flow_id)
        is_local = flow is not None and flow.holder == self._ctx.node
        if event.packet.reason == ForwardReason.ROUTED:
            return []
        if not is_local and not self.placement.starts.is_held(flow_id):
            return []
        held = FlowHeld(flow_id, self._ctx.node)
        return [Send(event.src, held)]

    def handle_server_packet(
        self, now: Seconds, segment: Segment
    ) -> list[RelayEffect]:
        """Send a packet of the local server to its caller.

        The packet proves that the server holds its flow, which is added
        to the table if it is unknown.
        """
        table = self._ctx.table
        flow_id = segment.outward
        flow = table.get(flow_id)
        effects: list[RelayEffect] = [SendToCaller(segment.dst, segment.data)]
        if flow is None or flow.holder != self._ctx.node:
            flow = table.put(now, flow_id, self._ctx.node)
            flow.accepted = True
            flow.established = not segment.flags & _SYN
            flow.sent_seq = segment.ack
            flow.request_seq = segment.ack
            flow.acked_seq = segment.seq
            effects += self.lookup.handle_rediscovered(now, flow_id, flow)
        self._ctx.server_watch.record_packet(now, flow_id, flow, segment)
        was_busy = flow.busy
        table.record_server_packet(now, flow, segment)
        if was_busy and not flow.busy:
            self.placement.starts.record_answer(now, flow)
        return effects

    def handle_declined_syn(
        self, now: Seconds, segment: Segment, own_report: AgentReport
    ) -> list[RelayEffect]:
        """Place a SYN at another server, as the local one has declined it."""
        flow = self._remove_local(segment)
        if flow is None:
            return []
        self._ctx.server_watch.record_declined(now)
        new_flow = self._new_flow_from(segment, flow)
        new_flow = new_flow.declined_by(self._ctx.node)
        return self.placement.place(now, new_flow, own_report)

    def handle_bounced(
        self, now: Seconds, segment: Segment
    ) -> list[RelayEffect]:
        """Handle a packet of a flow that the local server does not hold."""
        was_local = self._remove_local(segment) is not None
        return self.lookup.handle_bounced(now, segment, was_local)

    def _record_scope(self, event: PacketForwarded) -> None:
        """Record what the balancer of a packet told of its flow."""
        self._ctx.record_scope(event.segment.inward, event.packet.scope)

    def _remove_local(self, segment: Segment) -> Flow | None:
        """Remove and return a flow whose holder is this agent in the table."""
        flow = self._ctx.table.get(segment.inward)
        if flow is None or flow.holder != self._ctx.node:
            return None
        self._ctx.table.remove(segment.inward)
        return flow

    def handle_server_end(self, at: Seconds) -> list[RelayEffect]:
        """Reset the flows of a server that has ended.

        Flows opened after ``at`` are kept: the next server incarnation
        may have accepted them before its first announcement, and bounces
        their next packet if it did not. Flows that the server did not
        accept, or that are not established, are removed without a reset:
        a retransmitted SYN may have opened them at another server.
        """
        effects: list[RelayEffect] = []
        for flow_id, flow in self._ctx.table.local_flows():
            if flow.opened_at > at:
                continue
            self._ctx.table.remove(flow_id)
            if flow.accepted and flow.established:
                effects += self._ctx.reset(
                    flow_id, flow.acked_seq, Reason.SERVER_DIED
                )
        return effects

    def _handle_delegated(
        self, now: Seconds, event: PacketForwarded
    ) -> list[RelayEffect]:
        """Look up a flow for an agent of another service.

        A cached holder is not used, as it may be out of date and the asker
        relies on the result.
        """
        packet = event.packet
        if packet.service != self._ctx.service:
            return []
        return self.lookup.start(now, event.segment, packet, event.src)

    def _forward_to_holder(
        self, now: Seconds, event: PacketForwarded, flow: Flow
    ) -> list[RelayEffect]:
        """Forward a packet to the holder of its flow.

        The process that sent it is notified of the holder.
        """
        flow.last_packet_at = now
        hops = event.packet.hops + 1
        packet = self._ctx.forward(
            flow.holder,
            ForwardReason.PLACED,
            event.segment,
            event.packet.scope,
            flow.declined,
            hops,
            event.packet.terms,
            event.packet.regions,
        )
        return [packet, *self._notify_sender(now, event, flow)]

    def _notify_sender(
        self, now: Seconds, event: PacketForwarded, flow: Flow
    ) -> list[RelayEffect]:
        """Notify the process that sent a packet here of the flow's holder.

        A balancer is not notified while a notice is on its way, and an
        agent not for a SYN, whose flow may still be placed elsewhere.
        """
        if event.packet.reason != ForwardReason.ROUTED:
            if event.segment.flags & _SYN:
                return []
        elif (
            event.src == flow.via
            and now - flow.notified_at < NOTICE_INTERVAL_S
        ):
            return []
        else:
            flow.via = event.src
            flow.notified_at = now
        return [Send(event.src, FlowHeld(event.segment.inward, flow.holder))]

    def _handle_local_syn(
        self,
        now: Seconds,
        segment: Segment,
        flow: Flow,
        own_report: AgentReport,
    ) -> list[RelayEffect]:
        """Deliver a retransmitted SYN to the local server.

        It is placed anew if the server has not accepted the flow and
        accepts no new ones, or is mute while others may get it. After the
        end of a flow, it opens another one from the same address.
        """
        new_flow = self._new_flow_from(segment, flow)
        elsewhere = new_flow.declined_by(self._ctx.node)
        is_mute = self._ctx.server_watch.is_mute(now, flow)
        if flow.accepted and not flow.closed:
            return self._ctx.deliver(now, flow, segment)
        if is_mute and not self.placement.has_other_server(now, elsewhere):
            # The server may yet accept it, so that it must not be reset.
            is_mute = False
        if own_report.accepts_flows and not is_mute:
            self._ctx.own_place.cold.record_opened(now)
            if flow.closed:
                flow = self._ctx.add_flow(now, new_flow, self._ctx.node)
            return self._ctx.deliver(now, flow, segment)
        return self.placement.place(now, elsewhere, own_report)

    def _handle_remote_syn(
        self,
        now: Seconds,
        event: PacketForwarded,
        flow: Flow,
        own_report: AgentReport,
    ) -> list[RelayEffect]:
        """Forward a retransmitted SYN to the holder of its flow.

        It is placed anew if the holder accepts no new flows.
        """
        if self.placement.accepts_flows(now, flow.holder, flow.opened_at):
            # The holder confirms each one: it may have ended since the last.
            flow.opened_at = now
            return self._forward_to_holder(now, event, flow)
        new_flow = self._new_flow_from(event.segment, flow, event.packet.hops)
        new_flow = new_flow.declined_by(flow.holder)
        return self.placement.place(now, new_flow, own_report)

    def _drop_over_hop_limit(self, event: PacketForwarded) -> RelayEffect:
        text = "flows: packet dropped: hop limit exceeded"
        return self._ctx.event(event.segment.inward, text)

    def _new_flow_from(
        self, segment: Segment, flow: Flow, hops: int = 0
    ) -> NewFlow:
        """Return the placement request for the SYN of a known flow."""
        return NewFlow(
            segment.inward,
            segment,
            flow.declined,
            flow.via,
            hops,
            flow.low_priority,
            self._ctx.scopes.get(segment.inward.address),
            flow.terms,
            flow.regions,
        )

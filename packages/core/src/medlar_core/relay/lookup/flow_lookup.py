"""Lookup of the holder of flows that are not in an agent's table."""

from ...effects import Send
from ...ids import NodeId
from ...ids import Seconds
from ...limits import TokenBucket
from ...packets import Flag
from ...verdict import Reason
from ..configuration.scope_sources import ScopeSources
from ..effects import RelayEffect
from ..flow_context import FlowContext
from ..flow_table import Flow
from ..member import Member
from ..messages import FlowAsked
from ..messages import FlowUnknown
from ..messages import ScopeAsked
from ..messages import ScopeTold
from ..scope import FlowScope
from ..segment import FlowId
from ..segment import Segment
from .forwarded import ForwardedPacket
from .forwarded import ForwardReason
from .lookup_replies import LookupReplies
from .lookup_replies import NO_VIEW
from .lookup_retries import LookupRequest
from .lookup_retries import LookupRetries
from .lookup_table import Lookup
from .lookup_table import LookupTable
from .lookup_table import MAX_QUEUED_PACKETS
from .queries import delegations
from .queries import may_hold_flows
from .queries import notices

QUERY_PACKETS_PER_S = 400.0
"""Rate of packets sent to agents that have to try them at their servers.
Without a limit, each flow would query its whole service after all tables
are lost."""
QUERY_PACKETS_BURST = 400.0
NO_NODE = NodeId("")

_RST = int(Flag.RST)


class FlowLookup:
    """Queries other agents about flows that are not in the table."""

    def __init__(self, ctx: FlowContext) -> None:
        self._ctx = ctx
        self._lookups = LookupTable()
        self._retries = LookupRetries()
        self._sources = ScopeSources(ctx.members)
        self.replies = LookupReplies(ctx)
        self._query_budget = TokenBucket(
            QUERY_PACKETS_PER_S, QUERY_PACKETS_BURST
        )

    def expire(self, now: Seconds) -> list[RelayEffect]:
        """Remove expired queries and lookups.

        Returns an event with the missing replies for each such lookup.
        """
        self.replies.expire(now)
        effects: list[RelayEffect] = []
        for late in self._lookups.expire(now):
            self._retries.add(now, late.request)
            missing = ", ".join(late.missing) or "the local server"
            text = f"flows: lookup timed out without a reply from {missing}"
            effects.append(self._ctx.event(late.flow_id, text))
        return effects

    def retry(self, now: Seconds) -> list[RelayEffect]:
        """Repeat the lookups that ended without a result.

        Another balancer is asked for scopes that the first has not told.
        """
        effects: list[RelayEffect] = []
        for flow_id, lookup in self._lookups.without_scope(now):
            self._sources.avoid(now, lookup.scope_asked)
            effects += self._ask_scope(now, flow_id, lookup)
        for req in self._retries.due(now):
            flow_id = req.segment.inward
            if self._ctx.table.get(flow_id) is not None:
                self._retries.remove(flow_id)
                continue
            self._lookups.remove(flow_id)
            effects += self.start(now, req.segment, req.packet, req.src)
        return effects

    def start(
        self,
        now: Seconds,
        segment: Segment,
        packet: ForwardedPacket,
        src: NodeId = NO_NODE,
        local_denied: bool = False,
    ) -> list[RelayEffect]:
        """Query all agents that may hold a flow; queue its packets.

        A packet of a flow whose lookup is in progress is only queued.
        ``src`` is the process that forwarded the packet and is notified of
        the holder; ``local_denied`` is set if the local server has bounced
        the packet.
        """
        asker = src if packet.reason == ForwardReason.DELEGATED else NO_NODE
        flow_id = segment.inward
        if segment.flags & _RST:
            return []
        active = self._lookups.active(now, flow_id)
        if active is not None:
            if len(active.packets) < MAX_QUEUED_PACKETS:
                active.packets.append(segment)
            active.acked_seq = segment.ack
            if not asker:
                return []
            active.asker = asker
            return self._reset_if_absent(now, flow_id, active)
        if self._lookups.is_full():
            text = "flows: packet dropped: too many lookups in progress"
            return [self._ctx.event(flow_id, text)]
        candidates = [
            member
            for member in self._ctx.members.of(self._ctx.service)
            if may_hold_flows(now, member)
        ]
        sent_to = {
            m.report.id for m in candidates if not m.report.knows_all_flows
        }
        req = LookupRequest(segment, packet, src)
        if not self._query_budget.take(
            now, min(len(sent_to), QUERY_PACKETS_BURST)
        ):
            self._retries.add(now, req)
            text = "flows: lookup delayed: query rate limit reached"
            return [self._ctx.event(flow_id, text)]
        return self._query_all(now, req, candidates, sent_to, local_denied)

    def _query_all(
        self,
        now: Seconds,
        req: LookupRequest,
        candidates: list[Member],
        sent_to: set[NodeId],
        local_denied: bool,
    ) -> list[RelayEffect]:
        """Begin a lookup; ``sent_to`` are the agents that get the packet."""
        segment = req.segment
        flow_id = segment.inward
        is_delegated = req.packet.reason == ForwardReason.DELEGATED
        asker = req.src if is_delegated else NO_NODE
        # The agent of another service that asks decides by its own scope.
        known = self._ctx.scopes.get(flow_id.address)
        scope = req.packet.scope if asker else known
        try_local = not local_denied and not self._ctx.knows_all_flows(
            now, scope
        )
        if try_local:
            sent_to.add(self._ctx.node)
        others = () if asker else scope.others(self._ctx.service)
        delegates = frozenset(s.owner for s in others if s.owner)
        lookup = Lookup(
            started_at=now,
            awaiting={member.report.id for member in candidates} | delegates,
            local_pending=try_local,
            view=self._ctx.members.view(self._ctx.service),
            doubt=self._doubt(now, scope),
            is_doubt_brief=not self._ctx.knows_all_members(now),
            request=req,
            packets=[segment],
            sent_to=sent_to,
            acked_seq=segment.ack,
            via=req.src if not asker else NO_NODE,
            delegates=delegates,
            asker=asker,
            is_route_searched=not asker,
            scope=scope,
        )
        self._lookups.add(flow_id, lookup)
        effects = [
            self._query(member, segment, scope) for member in candidates
        ]
        effects += delegations(segment, others, scope)
        if try_local:
            effects.append(self._ctx.deliver_untracked(segment))
        text = f"flows: unknown flow; queried {len(candidates)} agents"
        effects.append(self._ctx.event(flow_id, text))
        return effects + self._reset_if_absent(now, flow_id, lookup)

    def handle_packet_asked(
        self, now: Seconds, flow_id: FlowId, src: NodeId
    ) -> list[RelayEffect]:
        """Send the packet of a lookup to an agent that asks for it."""
        lookup = self._lookups.get(flow_id)
        if lookup is None or src not in lookup.awaiting:
            return []
        if src in lookup.sent_to or not self._query_budget.take(now, 1):
            return []
        lookup.sent_to.add(src)
        query = self._ctx.forward(
            src, ForwardReason.LOOKUP, lookup.packets[0], lookup.scope
        )
        return [query]

    def handle_held(
        self, now: Seconds, flow_id: FlowId, holder: NodeId, src: NodeId
    ) -> list[RelayEffect]:
        """Handle the reply of ``src`` that an agent's server holds a flow.

        If the sender names another agent and was not asked for a lookup, it
        is a notice of one that had to forward a packet of the flow.
        """
        lookup = self._lookups.get(flow_id)
        was_delegated = lookup is not None and src in lookup.delegates
        if holder != src and not was_delegated:
            self._ctx.table.redirect(flow_id, src, holder)
            return []
        lookup = self._lookups.remove(flow_id)
        if lookup is None:
            return []
        self._retries.remove(flow_id)
        self._ctx.table.put(now, flow_id, holder)
        effects: list[RelayEffect] = [
            self._ctx.forward(
                holder, ForwardReason.PLACED, segment, lookup.scope
            )
            for segment in lookup.packets_for(holder, src)
        ]
        effects += notices(lookup, flow_id, holder)
        effects.append(self._ctx.event(flow_id, "flows: holder found", holder))
        return effects

    def handle_unknown(
        self, now: Seconds, src: NodeId, denial: FlowUnknown
    ) -> list[RelayEffect]:
        """Handle the reply that an agent's server does not hold a flow.

        An agent with another view may know a holder that was not queried.
        A reply for a shorter idle timeout, to an earlier query, proves
        nothing.
        """
        flow_id, view = denial.flow, denial.view
        lookup = self._lookups.get(flow_id)
        if lookup is None or denial.idle_s < lookup.scope.idle_s:
            return []
        lookup.awaiting.discard(src)
        if src in lookup.delegates:
            return self._reset_if_absent(now, flow_id, lookup)
        if view != lookup.view and not lookup.doubt:
            lookup.doubt = f"{src} knows of other agents"
            lookup.is_doubt_brief = view != NO_VIEW
        return self._reset_if_absent(now, flow_id, lookup)

    def handle_scope(
        self, now: Seconds, src: NodeId, told: ScopeTold
    ) -> list[RelayEffect]:
        """Handle the scope of a flow that no agent asked so far holds.

        The flow is reset if all that the scope names was searched, and
        looked up again otherwise.
        """
        flow_id, scope = told.flow, told.scope
        self._sources.record_reply(src)
        self._ctx.record_confirmed_scope(flow_id, scope)
        lookup = self._lookups.get(flow_id)
        if lookup is None or not lookup.scope_asked:
            return []
        self._lookups.remove(flow_id)
        if self._has_searched(lookup, scope):
            self._retries.remove(flow_id)
            return self._ctx.reset(flow_id, lookup.acked_seq, Reason.NO_FLOW)
        req = lookup.request
        effects = self.start(now, lookup.packets[0], req.packet, req.src)
        again = self._lookups.get(flow_id)
        if again is not None:
            again.packets = lookup.packets
            again.acked_seq = lookup.acked_seq
        return effects

    def handle_bounced(
        self, now: Seconds, segment: Segment, was_local: bool
    ) -> list[RelayEffect]:
        """Handle a packet of a flow that the local server does not hold.

        ``was_local`` tells that the table named this server as the holder.
        Otherwise the packet answers a query that has ended, and the flow's
        route is not known here: its next packet starts a lookup.
        """
        flow_id = segment.inward
        denial = self.replies.handle_bounced(now, flow_id)
        if denial is not None:
            return [denial]
        lookup = self._lookups.get(flow_id)
        if lookup is not None:
            lookup.local_pending = False
            return self._reset_if_absent(now, flow_id, lookup)
        if not was_local:
            return []
        packet = ForwardedPacket(
            reason=int(ForwardReason.ROUTED),
            service=self._ctx.service,
            data=segment.data,
            scope=self._ctx.scopes.get(flow_id.address),
        )
        return self.start(now, segment, packet, local_denied=True)

    def handle_rediscovered(
        self, now: Seconds, flow_id: FlowId, flow: Flow
    ) -> list[RelayEffect]:
        """Handle a flow that a packet of the local server has revealed."""
        ctx = self._ctx
        effects: list[RelayEffect] = list(self.replies.handle_found(flow_id))
        lookup = self._lookups.remove(flow_id)
        if lookup is not None:
            for packet in lookup.packets_for(ctx.node, ctx.node):
                effects += ctx.deliver(now, flow, packet)
            effects += notices(lookup, flow_id, ctx.node)
        text = "flows: rediscovered by a packet of the local server"
        effects.append(ctx.event(flow_id, text))
        return effects

    def _query(
        self, member: Member, segment: Segment, scope: FlowScope
    ) -> RelayEffect:
        """Query by flow id if the table suffices; packets are larger."""
        node = member.report.id
        if member.report.knows_all_flows:
            return Send(node, FlowAsked(segment.inward, scope.idle_s))
        return self._ctx.forward(node, ForwardReason.LOOKUP, segment, scope)

    def _reset_if_absent(
        self, now: Seconds, flow_id: FlowId, lookup: Lookup
    ) -> list[RelayEffect]:
        """Reset a flow once the replies prove that no server holds it.

        In doubt, the flow is looked up anew by a packet that comes after
        ``REPLY_TIMEOUT_S``.
        """
        effects: list[RelayEffect] = []
        if lookup.asker and not lookup.doubt:
            if not lookup.is_own_service_complete:
                return []
            effects.append(
                self.replies.deny(now, lookup.asker, flow_id, lookup.scope)
            )
            lookup.asker = NO_NODE
            if not lookup.is_route_searched:
                self._lookups.remove(flow_id)
                self._retries.remove(flow_id)
                return effects
        if not lookup.is_complete or lookup.scope_asked:
            return effects
        if lookup.doubt:
            if lookup.is_doubt_brief:
                self._retries.add(now, lookup.request)
            text = f"flows: no holder found, not reset: {lookup.doubt}"
            return [self._ctx.event(flow_id, text)]
        return [*effects, *self._ask_scope(now, flow_id, lookup)]

    def _ask_scope(
        self, now: Seconds, flow_id: FlowId, lookup: Lookup
    ) -> list[RelayEffect]:
        """Ask a balancer whether more is to be searched for a flow."""
        req = lookup.request
        is_routed = req.packet.reason == ForwardReason.ROUTED
        balancer = self._sources.choose(now, req.src if is_routed else NO_NODE)
        lookup.scope_asked = balancer
        lookup.scope_asked_at = now
        if not balancer:
            self._retries.add(now, lookup.request)
            text = "flows: no holder found, not reset: no balancer is known"
            return [self._ctx.event(flow_id, text)]
        return [Send(balancer, ScopeAsked(flow_id))]

    def _has_searched(self, lookup: Lookup, scope: FlowScope) -> bool:
        """Return whether a lookup has searched all that a scope names."""
        searched = {s.service for s in lookup.scope.services if s.owner}
        searched.add(self._ctx.service)
        named = {s.service for s in scope.services}
        return named <= searched and scope.idle_s <= lookup.scope.idle_s

    def _doubt(self, now: Seconds, scope: FlowScope) -> str:
        """Return why an agent that is not queried may hold a flow."""
        if not self._ctx.knows_all_members(now):
            return "members not known yet"
        if not all(other.owner for other in scope.others(self._ctx.service)):
            return "no agent of another service of its route is known"
        lost = self._ctx.lost_agents(now, scope)
        if lost:
            return f"{lost[0]} was removed, its server may still run"
        return ""

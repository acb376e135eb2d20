"""Replies of an agent to the lookups of others."""

import msgspec

from ...effects import Send
from ...ids import NodeId
from ...ids import Seconds
from ..effects import RelayEffect
from ..events import PacketForwarded
from ..flow_context import FlowContext
from ..messages import FlowAsked
from ..messages import FlowHeld
from ..messages import FlowPacketAsked
from ..messages import FlowUnknown
from ..scope import FlowScope
from ..segment import FlowId

PENDING_QUERY_TTL_S = 1.0
"""A server bounces a packet of an unknown flow well within this time."""
NO_VIEW = 0
"""Told by an agent that may lack a holder of the flow for longer."""


class _PendingQuery(msgspec.Struct, frozen=True):
    """Query of another agent that the local server has yet to decide."""

    node: NodeId
    received_at: float
    scope: FlowScope


class LookupReplies:
    """Tells other agents whether the local server holds a flow."""

    def __init__(self, ctx: FlowContext) -> None:
        self._ctx = ctx
        self._pending_queries: dict[FlowId, _PendingQuery] = {}

    def expire(self, now: Seconds) -> None:
        """Forget queries that the local server has not decided."""
        self._pending_queries = {
            flow_id: query
            for flow_id, query in self._pending_queries.items()
            if now - query.received_at <= PENDING_QUERY_TTL_S
        }

    def handle_query_packet(
        self, now: Seconds, event: PacketForwarded
    ) -> list[RelayEffect]:
        """Answer whether the local server holds the flow of a packet.

        This agent's cached holder of the flow is not used as an answer:
        the sender queries the other agents as well.
        """
        flow_id = event.segment.inward
        scope = event.packet.scope
        if self._ctx.knows_all_flows(now, scope):
            return [self.deny(now, event.src, flow_id, scope)]
        query = _PendingQuery(event.src, now, scope)
        self._pending_queries[flow_id] = query
        return [self._ctx.deliver_untracked(event.segment)]

    def handle_query(
        self, now: Seconds, query: FlowAsked, src: NodeId
    ) -> list[RelayEffect]:
        """Answer from the table whether the local server holds a flow.

        An agent whose table does not tell asks for a packet: it has lost
        the table, or has dropped flows sooner than the asker allows.
        """
        flow_id = query.flow
        flow = self._ctx.table.get(flow_id)
        if flow is not None and flow.holder == self._ctx.node:
            return [Send(src, FlowHeld(flow_id, self._ctx.node))]
        scope = FlowScope(0, query.idle_s)
        if self._ctx.knows_all_flows(now, scope):
            return [self.deny(now, src, flow_id, scope)]
        return [Send(src, FlowPacketAsked(flow_id))]

    def handle_bounced(self, now: Seconds, flow_id: FlowId) -> Send | None:
        """Return the reply to a query that the local server has denied."""
        query = self._pending_queries.pop(flow_id, None)
        if query is None:
            return None
        bounced = msgspec.structs.replace(query.scope, idle_s=float("inf"))
        return self.deny(now, query.node, flow_id, bounced)

    def handle_found(self, flow_id: FlowId) -> list[Send]:
        """Return the reply to a query of a flow that the server holds."""
        query = self._pending_queries.pop(flow_id, None)
        if query is None:
            return []
        return [Send(query.node, FlowHeld(flow_id, self._ctx.node))]

    def deny(
        self, now: Seconds, asker: NodeId, flow_id: FlowId, scope: FlowScope
    ) -> Send:
        """Reply that the local server does not hold a flow.

        While an agent is lost, the reply tells no view, so that it proves
        nothing to an asker that does not know of that agent.
        """
        view = NO_VIEW
        if not self._ctx.lost_agents(now, scope):
            view = self._ctx.members.view(self._ctx.service)
        return Send(asker, FlowUnknown(flow_id, view, scope.idle_s))

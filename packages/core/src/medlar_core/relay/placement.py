"""Placement of new flows: which server a SYN is delivered to."""

import random

import msgspec

from ..effects import Send
from ..ids import NodeId
from ..ids import Seconds
from ..timeline.events import Topic
from ..verdict import Reason
from .choice import Choice
from .choice import load
from .choice import MAX_WAITING_PER_SLOT
from .choice import MAX_WAITING_PER_SLOT_LOW_PRIORITY
from .choice import Selection
from .effects import ForwardToAgent
from .effects import RelayEffect
from .flow_context import FlowContext
from .flow_table import Flow
from .forwarded import ForwardedPacket
from .forwarded import ForwardReason
from .messages import AgentReport
from .messages import AgentState
from .messages import FlowHeld
from .segment import FlowId
from .segment import Segment

MIN_FORWARD_GAIN = 1.0
"""A new flow that another agent placed here is forwarded once if another
server's load is lower by this."""
MAX_DECLINES = 8
"""Number of servers that may decline a new flow before it is refused."""

_MAY_BECOME_READY = (AgentState.STARTING, AgentState.RESTARTING)


class NewFlow(msgspec.Struct, frozen=True):
    """A SYN to be placed at a server.

    ``declined`` names agents whose servers did not accept it, ``via`` is
    the balancer that received it from the caller; ``hops`` counts the
    agents that forwarded it. ``low_priority`` is set if room has to be left
    at a server for flows of higher priority.
    """

    flow_id: FlowId
    segment: Segment
    declined: tuple[NodeId, ...]
    via: NodeId
    hops: int = 0
    low_priority: bool = False

    def declined_by(self, node: NodeId) -> "NewFlow":
        """Return the same flow with one more agent in ``declined``."""
        declined = (*self.declined, node)
        return msgspec.structs.replace(self, declined=declined)


class Placement:
    """Places new flows of one service."""

    def __init__(self, ctx: FlowContext, rng: random.Random) -> None:
        self._ctx = ctx
        self._choice = Choice(ctx.node, rng)

    def handle_placed(
        self, now: Seconds, new_flow: NewFlow, own_report: AgentReport
    ) -> list[RelayEffect]:
        """Handle a SYN that another agent has placed here.

        It is forwarded if that agent used an outdated report.
        """
        node = self._ctx.node
        if own_report.state is not AgentState.READY:
            return self.place(now, new_flow, own_report)
        if own_report.busy < own_report.slots or node in new_flow.declined:
            return self._open_here(now, new_flow)
        best = self._select(now, new_flow, own_report)
        if best is None or best.node == node:
            gain = 0.0
        else:
            gain = load(own_report) - self._load_of(best.node)
        if gain >= MIN_FORWARD_GAIN:
            return self.place(now, new_flow.declined_by(node), own_report)
        if best is not None and best.full:
            return self._defer(new_flow)
        return self._open_here(now, new_flow)

    def place(
        self, now: Seconds, new_flow: NewFlow, own_report: AgentReport
    ) -> list[RelayEffect]:
        """Place a new flow at the least loaded of the compared servers."""
        best = self._select(now, new_flow, own_report)
        if best is None or len(new_flow.declined) >= MAX_DECLINES:
            return self._refuse(now, new_flow, own_report)
        if best.full:
            return self._defer(new_flow)
        if best.node == self._ctx.node:
            return self._open_here(now, new_flow)
        return self._forward(now, new_flow, best.node)

    def accepts_flows(self, now: Seconds, node: NodeId) -> bool:
        """Return whether another agent's server accepts new flows."""
        member = self._ctx.members.agents.get(node)
        if member is None or member.is_silent(now):
            return False
        return member.report.state is AgentState.READY

    def _forward(
        self, now: Seconds, new_flow: NewFlow, node: NodeId
    ) -> list[RelayEffect]:
        member = self._ctx.members.agents.get(node)
        if member is not None:
            member.assigned += 1
        self._add(now, new_flow, node)
        packet = ForwardedPacket(
            int(ForwardReason.PLACED),
            self._ctx.service,
            new_flow.segment.data,
            new_flow.declined,
            via=new_flow.via,
            hops=new_flow.hops + 1,
            low_priority=new_flow.low_priority,
        )
        effects: list[RelayEffect] = [ForwardToAgent(node, packet)]
        if new_flow.via:
            held = FlowHeld(new_flow.flow_id, node)
            effects.append(Send(new_flow.via, held))
        return effects

    def _add(self, now: Seconds, new_flow: NewFlow, holder: NodeId) -> Flow:
        """Add a flow to the table, with what a retransmitted SYN needs."""
        flow = self._ctx.table.put(
            now, new_flow.flow_id, holder, new_flow.declined
        )
        flow.via = new_flow.via
        flow.low_priority = new_flow.low_priority
        return flow

    def _select(
        self, now: Seconds, new_flow: NewFlow, own_report: AgentReport
    ) -> Selection | None:
        members = self._ctx.members
        eligible = own_report if own_report.state is AgentState.READY else None
        others = members.of(self._ctx.service)
        caller_place = members.balancer_places.get(new_flow.via)
        limit = (
            MAX_WAITING_PER_SLOT_LOW_PRIORITY
            if new_flow.low_priority
            else MAX_WAITING_PER_SLOT
        )
        return self._choice.select(
            now, eligible, others, new_flow.declined, caller_place, limit
        )

    def _open_here(self, now: Seconds, new_flow: NewFlow) -> list[RelayEffect]:
        ctx = self._ctx
        flow = self._add(now, new_flow, ctx.node)
        event = ctx.event_factory.flow_event(
            Topic.PLACEMENT,
            f"flows: opened with {ctx.table.busy_count} busy, "
            f"{ctx.table.open_count} open, "
            f"declined by {len(new_flow.declined)}",
            new_flow.flow_id,
            ctx.service,
            ctx.node,
        )
        return [*ctx.deliver(now, flow, new_flow.segment), event]

    def _defer(self, new_flow: NewFlow) -> list[RelayEffect]:
        """Drop a SYN, as all compared servers are full.

        The caller retransmits it, which spreads a burst over time.
        Opened now, the flow would delay those that wait already.
        """
        return [
            self._ctx.event_factory.flow_event(
                Topic.ADMISSION,
                "flows: SYN dropped until it is retransmitted, servers full",
                new_flow.flow_id,
                self._ctx.service,
                why=Reason.QUEUE_FULL,
            )
        ]

    def _refuse(
        self, now: Seconds, new_flow: NewFlow, own_report: AgentReport
    ) -> list[RelayEffect]:
        """Reset a flow if it is certain that no server accepts it.

        Otherwise the SYN is dropped: a member may accept flows by the
        time that the caller retransmits it.
        """
        ctx = self._ctx
        ctx.table.remove(new_flow.flow_id)
        members = ctx.members.of(ctx.service)
        states = [own_report.state, *(m.report.state for m in members)]
        if not ctx.knows_all_members(now) or any(
            s in _MAY_BECOME_READY for s in states
        ):
            return []
        if any(member.is_silent(now) for member in members):
            return []
        why = Reason.NO_SERVER
        if AgentState.READY in states:
            why = Reason.SHED
        return ctx.reset(new_flow.flow_id, new_flow.segment.ack, why)

    def _load_of(self, node: NodeId) -> float:
        member = self._ctx.members.agents.get(node)
        return load(member.report) if member else float("inf")

"""Placement of new flows: which server is offered a SYN."""

import random

import msgspec

from ..effects import Send
from ..ids import NodeId
from ..ids import Seconds
from ..timeline.events import Topic
from ..verdict import Reason
from .choice import Choice
from .choice import FULL_WAITING
from .choice import FULL_YIELDING
from .choice import load
from .choice import Pick
from .effects import Pass
from .effects import RelayEffect
from .flow_context import FlowContext
from .flowtable import Flow
from .forwarded import ForwardedPacket
from .forwarded import ForwardReason
from .messages import AgentReport
from .messages import AgentState
from .messages import FlowHeld
from .segment import FlowId
from .segment import Segment

PASS_ON_GAIN = 1.0
"""A new flow is passed on once if another server's load is lower by this."""
MAX_OFFERS = 8
"""Servers that may decline a new flow before it is refused."""

_COMING = (AgentState.STARTING, AgentState.RESTARTING)


class Opening(msgspec.Struct, frozen=True):
    """A SYN that looks for a server.

    ``declined`` names agents that did not take it, ``via`` the balancer
    that it came through; ``hops`` counts agents passed. If it
    ``low_priority``, more urgent ones go first.
    """

    flow_id: FlowId
    segment: Segment
    declined: tuple[NodeId, ...]
    via: NodeId
    hops: int = 0
    low_priority: bool = False

    def without(self, node: NodeId) -> "Opening":
        """Return the same with one more agent that does not take it."""
        declined = (*self.declined, node)
        return msgspec.structs.replace(self, declined=declined)


class Placement:
    """Places new flows of one service."""

    def __init__(self, ctx: FlowContext, rng: random.Random) -> None:
        self._ctx = ctx
        self._choice = Choice(ctx.node, rng)

    def accept(
        self, now: Seconds, opening: Opening, own: AgentReport
    ) -> list[RelayEffect]:
        """Take a SYN that another agent chose this one for.

        It is passed on where that choice was by an outdated report.
        """
        node = self._ctx.node
        if own.state is not AgentState.READY:
            return self.place(now, opening, own)
        if own.busy < own.slots or node in opening.declined:
            return self._take(now, opening)
        best = self._pick(now, opening, own)
        if best is None or best.node == node:
            gain = 0.0
        else:
            gain = load(own) - self._load_of(best.node)
        if gain >= PASS_ON_GAIN:
            return self.place(now, opening.without(node), own)
        if best is not None and best.full:
            return self._leave(opening)
        return self._take(now, opening)

    def place(
        self, now: Seconds, opening: Opening, own: AgentReport
    ) -> list[RelayEffect]:
        """Give a new flow to the server that has most room."""
        best = self._pick(now, opening, own)
        if best is None or len(opening.declined) >= MAX_OFFERS:
            return self._refuse(now, opening, own)
        if best.full:
            return self._leave(opening)
        if best.node == self._ctx.node:
            return self._take(now, opening)
        return self._hand_over(now, opening, best.node)

    def takes_flows(self, now: Seconds, node: NodeId) -> bool:
        """Return whether another agent's server takes new flows."""
        member = self._ctx.members.agents.get(node)
        if member is None or member.is_silent(now):
            return False
        return member.report.state is AgentState.READY

    def _hand_over(
        self, now: Seconds, opening: Opening, node: NodeId
    ) -> list[RelayEffect]:
        member = self._ctx.members.agents.get(node)
        if member is not None:
            member.assigned += 1
        self._put(now, opening, node)
        wrapped = ForwardedPacket(
            int(ForwardReason.PLACED),
            self._ctx.service,
            opening.segment.data,
            opening.declined,
            via=opening.via,
            hops=opening.hops + 1,
            low_priority=opening.low_priority,
        )
        effects: list[RelayEffect] = [Pass(node, wrapped)]
        if opening.via:
            held = FlowHeld(opening.flow_id, node)
            effects.append(Send(opening.via, held))
        return effects

    def _put(self, now: Seconds, opening: Opening, holder: NodeId) -> Flow:
        """Note who gets a flow, and what a copy of its SYN needs."""
        flow = self._ctx.table.put(
            now, opening.flow_id, holder, opening.declined
        )
        flow.via = opening.via
        flow.low_priority = opening.low_priority
        return flow

    def _pick(
        self, now: Seconds, opening: Opening, own: AgentReport
    ) -> Pick | None:
        members = self._ctx.members
        able = own if own.state is AgentState.READY else None
        others = members.of(self._ctx.service)
        near = members.balancer_places.get(opening.via)
        limit = FULL_YIELDING if opening.low_priority else FULL_WAITING
        return self._choice.pick(
            now, able, others, opening.declined, near, limit
        )

    def _take(self, now: Seconds, opening: Opening) -> list[RelayEffect]:
        ctx = self._ctx
        flow = self._put(now, opening, ctx.node)
        note = ctx.journal.flow(
            Topic.PLACEMENT,
            f"flows: opened with {ctx.table.busy} busy, "
            f"{ctx.table.open} open, declined by {len(opening.declined)}",
            opening.flow_id,
            ctx.service,
            ctx.node,
        )
        return [*ctx.deliver(now, flow, opening.segment), note]

    def _leave(self, opening: Opening) -> list[RelayEffect]:
        """Leave a SYN unanswered, as all servers have their fill.

        Its caller repeats it, which spreads a rush over time; taken now,
        it would make those late that wait already.
        """
        return [
            self._ctx.journal.flow(
                Topic.ADMISSION,
                "flows: left to be repeated",
                opening.flow_id,
                self._ctx.service,
                why=Reason.QUEUE_FULL,
            )
        ]

    def _refuse(
        self, now: Seconds, opening: Opening, own: AgentReport
    ) -> list[RelayEffect]:
        """Reset a flow that no server takes, if that is certain.

        While a member may take flows again soon, the caller's next SYN
        finds it.
        """
        ctx = self._ctx
        ctx.table.remove(opening.flow_id)
        members = ctx.members.of(ctx.service)
        states = [own.state, *(m.report.state for m in members)]
        if not ctx.is_settled(now) or any(s in _COMING for s in states):
            return []
        if any(member.is_silent(now) for member in members):
            return []
        why = Reason.NO_SERVER
        if AgentState.READY in states:
            why = Reason.SHED
        return ctx.reset(opening.flow_id, opening.segment.ack, why)

    def _load_of(self, node: NodeId) -> float:
        member = self._ctx.members.agents.get(node)
        return load(member.report) if member else float("inf")

"""An agent's packets: to its server, to its callers, to other agents."""

import random

from ..effects import Send
from ..ids import Seconds
from ..packets import Flag
from ..verdict import Reason
from .effects import RelayEffect
from .effects import ToCaller
from .events import PassedOn
from .finder import Finder
from .flow_context import FlowContext
from .flowtable import Flow
from .forwarded import ForwardReason
from .messages import AgentReport
from .messages import AgentState
from .messages import FlowHeld
from .messages import OtherService
from .placement import Opening
from .placement import Placement
from .segment import Segment

TRUSTED_HOPS = 3
"""A packet that was passed on more often is searched for anew."""
MAX_HOPS = 12
"""Agents that a packet passes at the most."""

_SYN = int(Flag.SYN)


class AgentFlows:
    """The flow part of an agent's reducer."""

    def __init__(self, ctx: FlowContext, rng: random.Random) -> None:
        self.finder = Finder(ctx)
        self._ctx = ctx
        self._placement = Placement(ctx, rng)

    def expire(self, now: Seconds, idle_s: float) -> list[RelayEffect]:
        """Forget what is no longer needed."""
        self._ctx.table.expire(now, idle_s)
        return self.finder.expire(now)

    def passed_on(self, now: Seconds, event: PassedOn) -> list[RelayEffect]:
        """Take a packet of a flow that is open somewhere."""
        flow_id = event.segment.inward
        flow = self._ctx.table.get(flow_id)
        wrapped = event.wrapped
        if wrapped.hops > MAX_HOPS:
            return [self._too_far(event)]
        if flow is not None and flow.holder == self._ctx.node:
            effects = self._ctx.deliver(now, flow, event.segment)
            if wrapped.reason == ForwardReason.LOOKUP:
                held = FlowHeld(flow_id, self._ctx.node)
                effects.append(Send(event.src, held))
            return effects
        if wrapped.reason == ForwardReason.LOOKUP:
            return self.finder.asked(now, event)
        if flow is None:
            return self.finder.search(now, event.segment, wrapped, event.src)
        if event.src == flow.holder or wrapped.hops >= TRUSTED_HOPS:
            # The agents' tables send the packet in a circle.
            self._ctx.table.remove(flow_id)
            return self.finder.search(now, event.segment, wrapped)
        return self._to_holder(now, event, flow)

    def opened(
        self, now: Seconds, event: PassedOn, own: AgentReport
    ) -> list[RelayEffect]:
        """Take a SYN; ``own`` is this agent's report."""
        ctx = self._ctx
        flow_id = event.segment.inward
        flow = ctx.table.get(flow_id)
        wrapped = event.wrapped
        if wrapped.hops > MAX_HOPS:
            return [self._too_far(event)]
        if flow is not None and flow.holder == ctx.node:
            return self._opened_here(now, event.segment, flow, own)
        if wrapped.service != ctx.service:
            return [Send(event.src, OtherService(wrapped.service, own))]
        if flow is not None and flow.holder not in wrapped.declined:
            return self._opened_elsewhere(now, event, flow, own)
        routed = wrapped.reason == ForwardReason.ROUTED
        via = event.src if routed else wrapped.via
        opening = Opening(
            flow_id,
            event.segment,
            wrapped.declined,
            via,
            wrapped.hops,
            wrapped.low_priority,
        )
        if routed:
            return self._placement.place(now, opening, own)
        return self._placement.accept(now, opening, own)

    def returned(self, now: Seconds, segment: Segment) -> list[RelayEffect]:
        """Take a packet that the own server sent."""
        table = self._ctx.table
        flow_id = segment.outward
        flow = table.get(flow_id)
        effects: list[RelayEffect] = [ToCaller(segment.dst, segment.data)]
        if flow is None or flow.holder != self._ctx.node:
            flow = table.put(now, flow_id, self._ctx.node)
            flow.answered = True
            flow.proven = not segment.flags & _SYN
            flow.sent = segment.ack
            flow.asked = segment.ack
            flow.acked = segment.seq
            effects += self.finder.came_back(now, flow_id, flow)
        table.returned(now, flow, segment)
        return effects

    def declined(
        self, now: Seconds, segment: Segment, own: AgentReport
    ) -> list[RelayEffect]:
        """Take back a SYN that the own server did not accept."""
        flow = self._forget_own(segment)
        if flow is None:
            return []
        opening = _again(segment, flow).without(self._ctx.node)
        return self._placement.place(now, opening, own)

    def bounced(self, now: Seconds, segment: Segment) -> list[RelayEffect]:
        """Take back a packet of a flow that the own server does not hold."""
        self._forget_own(segment)
        return self.finder.bounced(now, segment)

    def _forget_own(self, segment: Segment) -> Flow | None:
        """Forget and return a flow that is believed to be here."""
        flow = self._ctx.table.get(segment.inward)
        if flow is None or flow.holder != self._ctx.node:
            return None
        self._ctx.table.remove(segment.inward)
        return flow

    def server_ended(self, at: Seconds) -> list[RelayEffect]:
        """Reset the flows of a server that has ended.

        Those opened later than ``at`` may be its successor's, which took
        them before it announced itself; if they are not, it returns
        their next packet. Those whose caller has not gone on may have
        been opened at another server by a copy of their SYN.
        """
        effects: list[RelayEffect] = []
        for flow_id, flow in self._ctx.table.own():
            if flow.opened_at > at:
                continue
            self._ctx.table.remove(flow_id)
            if flow.proven:
                effects += self._ctx.reset(
                    flow_id, flow.acked, Reason.SERVER_DIED
                )
        return effects

    def _to_holder(
        self, now: Seconds, event: PassedOn, flow: Flow
    ) -> list[RelayEffect]:
        """Pass a packet to the agent that holds its flow."""
        flow.at = now
        hops = event.wrapped.hops + 1
        effects: list[RelayEffect] = [
            self._ctx.pass_on(
                flow.holder,
                ForwardReason.PLACED,
                event.segment,
                flow.declined,
                hops,
            )
        ]
        if (
            event.wrapped.reason == ForwardReason.ROUTED
            and event.src != flow.via
        ):
            flow.via = event.src
            held = FlowHeld(event.segment.inward, flow.holder)
            effects.append(Send(event.src, held))
        return effects

    def _opened_here(
        self, now: Seconds, segment: Segment, flow: Flow, own: AgentReport
    ) -> list[RelayEffect]:
        """Deliver the copy of a SYN, unless the server leaves meanwhile."""
        if flow.answered or own.state is AgentState.READY:
            return self._ctx.deliver(now, flow, segment)
        opening = _again(segment, flow).without(self._ctx.node)
        return self._placement.place(now, opening, own)

    def _opened_elsewhere(
        self, now: Seconds, event: PassedOn, flow: Flow, own: AgentReport
    ) -> list[RelayEffect]:
        """Pass on the copy of a SYN, or place it anew if its agent left."""
        if self._placement.takes_flows(now, flow.holder):
            return self._to_holder(now, event, flow)
        opening = _again(event.segment, flow, event.wrapped.hops)
        opening = opening.without(flow.holder)
        return self._placement.place(now, opening, own)

    def _too_far(self, event: PassedOn) -> RelayEffect:
        text = "flows: dropped after too many hops"
        return self._ctx.note(event.segment.inward, text)


def _again(segment: Segment, flow: Flow, hops: int = 0) -> Opening:
    """Return the SYN of a flow that looks for a server once more."""
    return Opening(
        segment.inward,
        segment,
        flow.declined,
        flow.via,
        hops,
        flow.low_priority,
    )

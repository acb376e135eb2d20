"""Finds the holder of flows that an agent does not know."""

import msgspec

from ..effects import Send
from ..ids import NodeId
from ..ids import Seconds
from ..limits import TokenBucket
from ..packets import Flag
from ..verdict import Reason
from .effects import RelayEffect
from .events import PassedOn
from .flow_context import FlowContext
from .flowtable import Flow
from .forwarded import ForwardedPacket
from .forwarded import ForwardReason
from .members import Member
from .messages import AgentState
from .messages import FlowAsked
from .messages import FlowHeld
from .messages import FlowUnknown
from .search import PACKETS_KEPT
from .search import Search
from .search import Searches
from .segment import FlowId
from .segment import Segment

ASKER_KEPT_S = 1.0
"""A server bounces what it does not hold long before this."""
QUESTIONS_PER_S = 400.0
"""Packets that ask agents which must ask their servers. After a loss of
all tables each flow asks its whole service."""
QUESTIONS_AT_ONCE = 400.0
NOBODY = NodeId("")


class _Asker(msgspec.Struct, frozen=True):
    """An agent that waits for the own server's answer on a flow."""

    node: NodeId
    at: float


class Finder:
    """Asks others about flows, and answers what others ask."""

    def __init__(self, ctx: FlowContext) -> None:
        self._ctx = ctx
        self._searches = Searches()
        self._askers: dict[FlowId, _Asker] = {}
        self._questions = TokenBucket(QUESTIONS_PER_S, QUESTIONS_AT_ONCE)

    def expire(self, now: Seconds) -> list[RelayEffect]:
        """Forget questions without an answer; note who gave none."""
        self._askers = {
            flow_id: asker
            for flow_id, asker in self._askers.items()
            if now - asker.at <= ASKER_KEPT_S
        }
        return [
            self._ctx.note(
                late.flow_id,
                "flows: search ended without an answer of "
                f"{', '.join(late.awaited) or 'the own server'}",
            )
            for late in self._searches.expire(now)
        ]

    def search(
        self,
        now: Seconds,
        segment: Segment,
        wrapped: ForwardedPacket,
        via: NodeId = NOBODY,
        own_denied: bool = False,
    ) -> list[RelayEffect]:
        """Ask all who may hold a flow; keep its packets meanwhile.

        ``via`` is the balancer to be told the holder; ``own_denied``
        tells that the own server has bounced the packet.
        """
        flow_id = segment.inward
        if segment.flags & Flag.RST:
            return []
        running = self._searches.running(now, flow_id)
        if running is not None:
            if len(running.waiting) < PACKETS_KEPT:
                running.waiting.append(segment)
            running.acked = segment.ack
            return []
        if self._searches.full():
            text = "flows: dropped, too many searches"
            return [self._ctx.note(flow_id, text)]
        asked = self._all_members(wrapped)
        given = {m.report.id for m in asked if not m.report.knows_all_flows}
        if not self._questions.take(now, min(len(given), QUESTIONS_AT_ONCE)):
            text = "flows: dropped, too many questions"
            return [self._ctx.note(flow_id, text)]
        offers = not own_denied and not self._ctx.neighbour.knows_all(now)
        if offers:
            given.add(self._ctx.node)
        search = Search(
            began=now,
            awaited={member.report.id for member in asked},
            own=offers,
            provable=self._ctx.is_settled(now),
            waiting=[segment],
            given=given,
            acked=segment.ack,
            via=via if wrapped.reason == ForwardReason.ROUTED else NOBODY,
        )
        self._searches.begin(flow_id, search)
        effects = [self._question(member, segment) for member in asked]
        if offers:
            effects.append(self._ctx.offer(segment))
        text = f"flows: unknown, asked {len(asked)} agents"
        effects.append(self._ctx.note(flow_id, text))
        return effects + self._conclude(flow_id, search)

    def asked(self, now: Seconds, event: PassedOn) -> list[RelayEffect]:
        """Answer whether the own server holds a flow.

        What this agent believes of others is no answer: they are asked
        too.
        """
        flow_id = event.segment.inward
        if self._ctx.neighbour.knows_all(now):
            return [Send(event.src, FlowUnknown(flow_id))]
        self._askers[flow_id] = _Asker(event.src, now)
        return [self._ctx.offer(event.segment)]

    def asked_by_name(
        self, now: Seconds, flow_id: FlowId, src: NodeId
    ) -> list[RelayEffect]:
        """Answer whether the own server holds a flow, by the table alone.

        An agent that has lost its table since is silent; it is asked
        with a packet once its reports have told so.
        """
        flow = self._ctx.table.get(flow_id)
        if flow is not None and flow.holder == self._ctx.node:
            return [Send(src, FlowHeld(flow_id, self._ctx.node))]
        if self._ctx.neighbour.knows_all(now):
            return [Send(src, FlowUnknown(flow_id))]
        return []

    def found(
        self, now: Seconds, flow_id: FlowId, holder: NodeId
    ) -> list[RelayEffect]:
        """Take the word of the agent whose server holds a flow."""
        search = self._searches.end(flow_id)
        if search is None or holder == self._ctx.node:
            return []
        self._ctx.table.put(now, flow_id, holder)
        effects: list[RelayEffect] = [
            self._ctx.pass_on(holder, ForwardReason.PLACED, segment)
            for segment in search.left_for(holder)
        ]
        if search.via:
            effects.append(Send(search.via, FlowHeld(flow_id, holder)))
        effects.append(self._ctx.note(flow_id, "flows: found", holder))
        return effects

    def denied(
        self, now: Seconds, flow_id: FlowId, src: NodeId
    ) -> list[RelayEffect]:
        """Take the word of an agent whose server does not hold a flow."""
        search = self._searches.get(flow_id)
        if search is None:
            return []
        search.awaited.discard(src)
        return self._conclude(flow_id, search)

    def bounced(self, now: Seconds, segment: Segment) -> list[RelayEffect]:
        """Take the own server's word that it does not hold a flow."""
        flow_id = segment.inward
        asker = self._askers.pop(flow_id, None)
        if asker is not None:
            return [Send(asker.node, FlowUnknown(flow_id))]
        search = self._searches.get(flow_id)
        if search is not None:
            search.own = False
            return self._conclude(flow_id, search)
        wrapped = ForwardedPacket(
            ForwardReason.ROUTED, self._ctx.service, segment.data
        )
        return self.search(now, segment, wrapped, own_denied=True)

    def came_back(
        self, now: Seconds, flow_id: FlowId, flow: Flow
    ) -> list[RelayEffect]:
        """Take back a flow that the own server's packet proves."""
        ctx = self._ctx
        effects: list[RelayEffect] = []
        asker = self._askers.pop(flow_id, None)
        if asker is not None:
            effects.append(Send(asker.node, FlowHeld(flow_id, ctx.node)))
        search = self._searches.end(flow_id)
        if search is not None:
            for waiting in search.left_for(ctx.node):
                effects += ctx.deliver(now, flow, waiting)
        text = "flows: known again by the server's packet"
        effects.append(ctx.note(flow_id, text))
        return effects

    def _question(self, member: Member, segment: Segment) -> RelayEffect:
        """Ask by name where that is enough; packets are larger."""
        node = member.report.id
        if member.report.knows_all_flows:
            return Send(node, FlowAsked(segment.inward))
        return self._ctx.pass_on(node, ForwardReason.LOOKUP, segment)

    def _conclude(self, flow_id: FlowId, search: Search) -> list[RelayEffect]:
        if not search.proves_absence:
            return []
        self._searches.end(flow_id)
        return self._ctx.reset(flow_id, search.acked, Reason.NO_FLOW)

    def _all_members(self, wrapped: ForwardedPacket) -> list[Member]:
        names = {self._ctx.service, wrapped.service, *wrapped.other_services}
        return [
            member
            for name in sorted(names)
            for member in self._ctx.members.of(name)
            if not _has_no_server(member)
        ]


def _has_no_server(member: Member) -> bool:
    """Return whether an agent found nothing where its server would be."""
    report = member.report
    return report.state is AgentState.STARTING and report.knows_all_flows

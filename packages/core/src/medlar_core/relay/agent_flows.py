"""An agent's packets: to its server, to its callers, to other agents."""

import random

import msgspec

from ..effects import Send
from ..ids import NodeId
from ..ids import Seconds
from ..ids import ServiceName
from ..packets import Flag
from ..timeline.events import Topic
from ..verdict import Reason
from .choice import Choice
from .choice import load
from .choice import Pick
from .effects import Pass
from .effects import RelayEffect
from .effects import ToCaller
from .effects import ToServer
from .events import PassedOn
from .flowtable import Flow
from .flowtable import FlowTable
from .journal import Journal
from .members import Member
from .members import Members
from .messages import AgentReport
from .messages import AgentState
from .messages import FlowHeld
from .messages import FlowUnknown
from .messages import OtherService
from .neighbour import Neighbour
from .search import PACKETS_KEPT
from .search import Search
from .search import Searches
from .segment import FlowId
from .segment import Segment
from .segment import SegmentCodec
from .wrapped import Why
from .wrapped import Wrapped

SETTLE_S = 0.1
"""Time for further greetings after the first that named all members."""
PASS_ON_GAIN = 1.0
"""A new flow is passed on once if another server's load is lower by this."""

MAX_OFFERS = 8
"""Servers that may decline a new flow before it is refused."""
TRUSTED_HOPS = 3
"""A packet that was passed on more often is searched for anew."""
MAX_HOPS = 12
"""Agents that a packet passes at the most."""

_SYN = int(Flag.SYN)
_NOBODY = NodeId("")
_COMING = (AgentState.STARTING, AgentState.RESTARTING)


class Opening(msgspec.Struct, frozen=True):
    """A SYN that looks for a server.

    ``declined`` names agents that did not take it, ``via`` the balancer
    that it came through; ``hops`` counts agents passed.
    """

    flow_id: FlowId
    segment: Segment
    declined: tuple[NodeId, ...]
    via: NodeId
    hops: int = 0

    def without(self, node: NodeId) -> "Opening":
        """Return the same with one more agent that does not take it."""
        declined = (*self.declined, node)
        return msgspec.structs.replace(self, declined=declined)


class AgentFlows:
    """The flow part of an agent's reducer."""

    def __init__(
        self,
        node: NodeId,
        service: ServiceName,
        codec: SegmentCodec,
        members: Members,
        neighbour: Neighbour,
        journal: Journal,
        rng: random.Random,
    ) -> None:
        self.service = service
        self.table = FlowTable(node)
        self._node = node
        self._codec = codec
        self._members = members
        self._neighbour = neighbour
        self._journal = journal
        self._choice = Choice(node, rng)
        self._searches = Searches()
        self._askers: dict[FlowId, NodeId] = {}
        self._introduced_at: float | None = None

    def introduced(self, now: Seconds) -> None:
        """Note that a balancer told all members of the service."""
        if self._introduced_at is None:
            self._introduced_at = now

    def expire(self, now: Seconds, idle_s: float) -> list[RelayEffect]:
        """Forget what is no longer needed."""
        self.table.expire(now, idle_s)
        self._askers.clear()
        return [
            self._note(
                late.flow_id,
                "flows: search ended without an answer of "
                f"{', '.join(late.awaited) or 'the own server'}",
            )
            for late in self._searches.expire(now)
        ]

    # Packets from balancers and other agents

    def passed_on(
        self, now: Seconds, event: PassedOn, own: AgentReport
    ) -> list[RelayEffect]:
        """Take a packet that a balancer or another agent handed on."""
        wrapped = event.wrapped
        segment = event.segment
        flow_id = segment.inward
        flow = self.table.get(flow_id)
        opening = bool(segment.flags & _SYN)
        if wrapped.hops > MAX_HOPS:
            return [self._note(flow_id, "flows: dropped after too many hops")]
        if flow is not None and flow.holder == self._node:
            return self._to_holder(now, event, flow_id, flow, own)
        if opening and wrapped.service != self.service:
            return [Send(event.src, OtherService(wrapped.service, own))]
        if wrapped.why == Why.ASKED:
            return self._asked(now, event, flow_id)
        if flow is not None:
            return self._to_other(now, event, flow_id, flow, own)
        if opening:
            return self._open(now, event, flow_id, own)
        return self._search(now, flow_id, segment, wrapped, event.src)

    def _to_holder(
        self,
        now: Seconds,
        event: PassedOn,
        flow_id: FlowId,
        flow: Flow,
        own: AgentReport,
    ) -> list[RelayEffect]:
        """Deliver a packet to the own server, which holds the flow."""
        segment = event.segment
        unanswered = segment.flags & _SYN and not flow.answered
        if unanswered and own.state is not AgentState.READY:
            opening = Opening(flow_id, segment, flow.declined, flow.via)
            return self._place(now, opening.without(self._node), own)
        effects = self._deliver(now, flow, segment)
        if event.wrapped.why == Why.ASKED:
            effects.append(Send(event.src, FlowHeld(flow_id, self._node)))
        return effects

    def _to_other(
        self,
        now: Seconds,
        event: PassedOn,
        flow_id: FlowId,
        flow: Flow,
        own: AgentReport,
    ) -> list[RelayEffect]:
        """Pass a packet to the agent that holds its flow."""
        segment = event.segment
        hops = event.wrapped.hops + 1
        flow.at = now
        if segment.flags & _SYN and flow.holder in event.wrapped.declined:
            self.table.remove(flow_id)
            return self._open(now, event, flow_id, own)
        if not segment.flags & _SYN and (
            event.src == flow.holder or hops > TRUSTED_HOPS
        ):
            # The agents' tables send the packet in a circle.
            self.table.remove(flow_id)
            return self._search(now, flow_id, segment, event.wrapped)
        if segment.flags & _SYN and not self._takes_flows(now, flow.holder):
            opening = Opening(flow_id, segment, flow.declined, flow.via, hops)
            return self._place(now, opening.without(flow.holder), own)
        effects: list[RelayEffect] = [
            self._pass(flow.holder, Why.PLACED, segment, flow.declined, hops)
        ]
        if event.wrapped.why == Why.ROUTED and event.src != flow.via:
            flow.via = event.src
            effects.append(Send(event.src, FlowHeld(flow_id, flow.holder)))
        return effects

    def _deliver(
        self, now: Seconds, flow: Flow, segment: Segment
    ) -> list[RelayEffect]:
        self.table.delivered(now, flow, segment)
        return [ToServer(self._codec.offered(segment.data))]

    # New flows

    def _open(
        self, now: Seconds, event: PassedOn, flow_id: FlowId, own: AgentReport
    ) -> list[RelayEffect]:
        wrapped = event.wrapped
        routed = wrapped.why == Why.ROUTED
        via = event.src if routed else wrapped.via
        opening = Opening(
            flow_id, event.segment, wrapped.declined, via, wrapped.hops
        )
        if routed or own.state is not AgentState.READY:
            return self._place(now, opening, own)
        # Another agent chose this one by a report that may be outdated.
        if own.busy >= own.slots and self._node not in opening.declined:
            best = self._pick(now, opening, own)
            if best is not None and best.node != self._node:
                gain = load(own) - self._load_of(best.node)
                if gain >= PASS_ON_GAIN:
                    return self._place(now, opening.without(self._node), own)
            if best is not None and best.full:
                return self._leave(opening)
        return self._take(now, opening)

    def _place(
        self, now: Seconds, opening: Opening, own: AgentReport
    ) -> list[RelayEffect]:
        """Give a new flow to the server that has most room."""
        best = self._pick(now, opening, own)
        if best is None or len(opening.declined) >= MAX_OFFERS:
            return self._refuse(now, opening, own)
        if best.full:
            return self._leave(opening)
        if best.node == self._node:
            return self._take(now, opening)
        flow_id = opening.flow_id
        flow = self.table.put(now, flow_id, best.node, opening.declined)
        flow.via = opening.via
        wrapped = Wrapped(
            int(Why.PLACED),
            self.service,
            opening.segment.data,
            opening.declined,
            via=opening.via,
            hops=opening.hops + 1,
        )
        effects: list[RelayEffect] = [Pass(best.node, wrapped)]
        if opening.via:
            effects.append(Send(opening.via, FlowHeld(flow_id, best.node)))
        return effects

    def _pick(
        self, now: Seconds, opening: Opening, own: AgentReport
    ) -> Pick | None:
        able = own if own.state is AgentState.READY else None
        others = self._members.of(self.service)
        near = self._members.places.get(opening.via)
        return self._choice.pick(now, able, others, opening.declined, near)

    def _take(self, now: Seconds, opening: Opening) -> list[RelayEffect]:
        flow = self.table.put(
            now, opening.flow_id, self._node, opening.declined
        )
        flow.via = opening.via
        note = self._journal.flow(
            Topic.PLACEMENT,
            f"flows: opened with {self.table.busy} busy, "
            f"{self.table.open} open, declined by {len(opening.declined)}",
            opening.flow_id,
            self.service,
            self._node,
        )
        return [*self._deliver(now, flow, opening.segment), note]

    def _leave(self, opening: Opening) -> list[RelayEffect]:
        """Leave a SYN unanswered, as all servers have their fill.

        Its caller repeats it, which spreads a rush over time; taken now,
        it would make those late that wait already.
        """
        return [
            self._journal.flow(
                Topic.ADMISSION,
                "flows: left to be repeated",
                opening.flow_id,
                self.service,
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
        self.table.remove(opening.flow_id)
        members = self._members.of(self.service)
        states = [own.state, *(m.report.state for m in members)]
        if not self._is_settled(now) or any(s in _COMING for s in states):
            return []
        if any(member.is_silent(now) for member in members):
            return []
        why = Reason.NO_SERVER
        if AgentState.READY in states:
            why = Reason.SHED
        return self._reset(opening.flow_id, opening.segment.ack, why)

    # Flows that this agent does not know

    def _search(
        self,
        now: Seconds,
        flow_id: FlowId,
        segment: Segment,
        wrapped: Wrapped,
        via: NodeId = _NOBODY,
        own_denied: bool = False,
    ) -> list[RelayEffect]:
        """Ask all who may hold a flow; keep its packets meanwhile."""
        if segment.flags & Flag.RST:
            return []
        running = self._searches.running(now, flow_id)
        if running is not None:
            if len(running.waiting) < PACKETS_KEPT:
                running.waiting.append(segment)
            running.acked = segment.ack
            return []
        if self._searches.full():
            return [self._note(flow_id, "flows: dropped, too many searches")]
        asked = self._all_members(wrapped)
        offers = not own_denied and not self._neighbour.knows_all(now)
        search = Search(
            began=now,
            awaited={m.report.id for m in asked},
            own=offers,
            provable=self._is_settled(now),
            waiting=[],
            acked=segment.ack,
            via=via if wrapped.why == Why.ROUTED else _NOBODY,
        )
        self._searches.begin(flow_id, search)
        effects: list[RelayEffect] = [
            self._pass(m.report.id, Why.ASKED, segment, ()) for m in asked
        ]
        if offers:
            effects.append(ToServer(self._codec.offered(segment.data)))
        effects.append(
            self._note(flow_id, f"flows: unknown, asked {len(asked)} agents")
        )
        return effects + self._conclude(flow_id, search)

    def _asked(
        self, now: Seconds, event: PassedOn, flow_id: FlowId
    ) -> list[RelayEffect]:
        """Answer whether the own server holds a flow.

        What this agent believes of others is no answer: they are asked
        too.
        """
        if self._neighbour.knows_all(now):
            return [Send(event.src, FlowUnknown(flow_id))]
        self._askers[flow_id] = event.src
        return [ToServer(self._codec.offered(event.segment.data))]

    def found(
        self, now: Seconds, flow_id: FlowId, holder: NodeId
    ) -> list[RelayEffect]:
        """Take the word of the agent whose server holds a flow."""
        search = self._searches.end(flow_id)
        if search is None or holder == self._node:
            return []
        self.table.put(now, flow_id, holder)
        effects: list[RelayEffect] = [
            self._pass(holder, Why.PLACED, segment, ())
            for segment in search.waiting
        ]
        if search.via:
            effects.append(Send(search.via, FlowHeld(flow_id, holder)))
        effects.append(self._note(flow_id, "flows: found", holder))
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

    def _conclude(self, flow_id: FlowId, search: Search) -> list[RelayEffect]:
        if not search.proves_absence:
            return []
        self._searches.end(flow_id)
        return self._reset(flow_id, search.acked, Reason.NO_FLOW)

    # Packets from the own server

    def returned(
        self, now: Seconds, segment: Segment, own: AgentReport | None
    ) -> list[RelayEffect]:
        """Take a packet that the server sent, or did not accept."""
        if segment.flags & Flag.BOUNCED:
            assert own is not None
            return self._bounced(now, segment, own)
        flow_id = segment.outward
        flow = self.table.get(flow_id)
        effects: list[RelayEffect] = [ToCaller(segment.dst, segment.data)]
        if flow is None or flow.holder != self._node:
            flow = self.table.put(now, flow_id, self._node)
            effects += self._came_back(now, flow_id, flow, segment)
        self.table.returned(now, flow, segment)
        return effects

    def _came_back(
        self, now: Seconds, flow_id: FlowId, flow: Flow, segment: Segment
    ) -> list[RelayEffect]:
        """Take back a flow that the server's own packet proves."""
        flow.answered = True
        flow.sent = segment.ack
        flow.acked = segment.seq
        effects: list[RelayEffect] = []
        asker = self._askers.pop(flow_id, None)
        if asker is not None:
            effects.append(Send(asker, FlowHeld(flow_id, self._node)))
        search = self._searches.end(flow_id)
        if search is not None:
            for waiting in search.waiting:
                effects += self._deliver(now, flow, waiting)
        effects.append(
            self._note(flow_id, "flows: known again by the server's packet")
        )
        return effects

    def _bounced(
        self, now: Seconds, segment: Segment, own: AgentReport
    ) -> list[RelayEffect]:
        """Take back a packet that the own server did not accept."""
        flow_id = segment.inward
        flow = self.table.get(flow_id)
        held = flow is not None and flow.holder == self._node
        if segment.flags & _SYN:
            if not held or flow is None:
                return []
            opening = Opening(flow_id, segment, flow.declined, flow.via)
            self.table.remove(flow_id)
            return self._place(now, opening.without(self._node), own)
        asker = self._askers.pop(flow_id, None)
        if asker is not None:
            return [Send(asker, FlowUnknown(flow_id))]
        search = self._searches.get(flow_id)
        if search is not None:
            search.own = False
            return self._conclude(flow_id, search)
        if held:
            self.table.remove(flow_id)
        wrapped = Wrapped(Why.ROUTED, self.service, segment.data)
        return self._search(now, flow_id, segment, wrapped, own_denied=True)

    def server_replaced(self, now: Seconds) -> list[RelayEffect]:
        """Reset the flows of a server that has ended."""
        effects: list[RelayEffect] = []
        for flow_id, flow in self.table.own():
            self.table.remove(flow_id)
            effects += self._reset(flow_id, flow.acked, Reason.SERVER_DIED)
        return effects

    # Helpers

    def _all_members(self, wrapped: Wrapped) -> list[Member]:
        names = {self.service, wrapped.service, *wrapped.elsewhere}
        return [
            member
            for name in sorted(names)
            for member in self._members.of(name)
            if not _has_no_server(member)
        ]

    def _is_settled(self, now: Seconds) -> bool:
        since = self._introduced_at
        return since is not None and now - since >= SETTLE_S

    def _takes_flows(self, now: Seconds, node: NodeId) -> bool:
        member = self._members.agents.get(node)
        if member is None or member.is_silent(now):
            return False
        return member.report.state is AgentState.READY

    def _load_of(self, node: NodeId) -> float:
        member = self._members.agents.get(node)
        return load(member.report) if member else float("inf")

    def _pass(
        self,
        dst: NodeId,
        why: Why,
        segment: Segment,
        declined: tuple[NodeId, ...] = (),
        hops: int = 1,
    ) -> Pass:
        wrapped = Wrapped(
            int(why), self.service, segment.data, declined, hops=hops
        )
        return Pass(dst, wrapped)

    def _reset(
        self, flow_id: FlowId, seq: int, why: Reason
    ) -> list[RelayEffect]:
        data = self._codec.reset(flow_id, seq)
        note = self._journal.flow(
            Topic.PACKET, "flows: reset", flow_id, self.service, why=why
        )
        return [ToCaller(flow_id.caller, data), note]

    def _note(
        self, flow_id: FlowId, text: str, server: str = ""
    ) -> RelayEffect:
        return self._journal.flow(
            Topic.HANDOVER, text, flow_id, self.service, server
        )


def _has_no_server(member: Member) -> bool:
    """Return whether an agent found nothing where its server would be."""
    report = member.report
    return report.state is AgentState.STARTING and report.whole

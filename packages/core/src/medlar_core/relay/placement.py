"""Placement of new flows: which server a SYN is delivered to."""

import random

import msgspec

from ..effects import Send
from ..ids import NodeId
from ..ids import Seconds
from ..timeline.events import Topic
from ..verdict import Reason
from .admission.local_starts import can_hold
from .admission.local_starts import LocalStarts
from .balance.choice import Choice
from .balance.choice import has_recent_load
from .balance.choice import load
from .balance.choice import MAX_WAITING_PER_SLOT
from .balance.choice import MAX_WAITING_PER_SLOT_LOW_PRIORITY
from .balance.choice import Selection
from .effects import ForwardToAgent
from .effects import RelayEffect
from .flow_context import FlowContext
from .health.ejection import Ejection
from .lookup.forwarded import ForwardedPacket
from .lookup.forwarded import ForwardReason
from .member import Member
from .messages import AgentReport
from .messages import AgentState
from .messages import FlowHeld
from .new_flow import NewFlow
from .report_sender import ReadReport
from .segment import FlowId

MIN_FORWARD_GAIN = 1.0
"""A new flow that another agent placed here is forwarded once if another
server's load is lower by this."""
MAX_FORWARDS = 2
"""A flow that so many busy servers have passed on waits at the next one."""
MAX_DECLINES = 8
"""Number of servers that may decline a new flow before it is refused."""

REQUEST_TIMEOUT_S = 0.03
"""A flow is placed without the loads that are not known after this."""
MAX_PENDING = 2_000
CONFIRMATION_TIMEOUT_S = 0.1
"""An agent confirms a flow that is placed there well within this time."""

_MAY_BECOME_READY = (AgentState.STARTING, AgentState.RESTARTING)


class _PendingFlow(msgspec.Struct):
    """A new flow that waits for the loads of some agents."""

    new_flow: NewFlow
    requested_at: float
    candidates: list[NodeId]
    awaiting: set[NodeId]


class Placement:
    """Places new flows of one service.

    Answers short work in a burst at servers of one slot: a flow goes to the
    least loaded of some servers by loads that are at most
    ``RECENT_LOAD_S`` old. In a large service, where periodic reports are
    older, the loads are requested for the flow.
    """

    def __init__(self, ctx: FlowContext, rng: random.Random) -> None:
        self._ctx = ctx
        self._choice = Choice(ctx.node, rng)
        self._ejection = Ejection()
        self.starts = LocalStarts(ctx)
        self._pending: dict[FlowId, _PendingFlow] = {}

    def gauges(self) -> dict[str, float]:
        """Return current gauge values by metric name."""
        return {
            "flows_placing": len(self._pending),
            **self._ejection.gauges(),
        }

    def handle_placed(
        self, now: Seconds, new_flow: NewFlow, own_report: AgentReport
    ) -> list[RelayEffect]:
        """Handle a SYN that another agent has placed here.

        It is forwarded if that agent used an outdated report.
        """
        node = self._ctx.node
        if not self.may_open_here(new_flow, own_report):
            return self.place_elsewhere(now, new_flow, own_report)
        if own_report.busy < own_report.slots or node in new_flow.declined:
            return self.starts.admit(now, new_flow, own_report)
        if _can_wait(new_flow) and len(new_flow.declined) >= MAX_FORWARDS:
            return self.starts.admit(now, new_flow, own_report)
        peers = self._members_for(new_flow)
        recent = [m for m in peers if has_recent_load(now, m)]
        best = self._select(now, new_flow, own_report, recent)
        if best is None or best.node == node:
            gain = 0.0
        else:
            gain = load(own_report) - self._load_of(best.node)
        if gain >= MIN_FORWARD_GAIN:
            return self.place(now, new_flow.declined_by(node), own_report)
        if best is not None and best.full and not _can_wait(new_flow):
            return self._defer(new_flow)
        return self.starts.admit(now, new_flow, own_report)

    def may_open_here(
        self, new_flow: NewFlow, own_report: AgentReport
    ) -> bool:
        """Return whether the local server may get a new flow."""
        if not own_report.accepts_flows:
            return False
        return self._is_in_home(own_report, new_flow)

    def _is_in_home(self, own_report: AgentReport, new_flow: NewFlow) -> bool:
        return self._ctx.homes.allow(own_report.place, new_flow.regions)

    def _members_for(self, new_flow: NewFlow) -> list[Member]:
        """Return the members whose places may get a new flow."""
        members = self._ctx.members.of(self._ctx.service)
        regions = new_flow.regions
        if not regions:
            return members
        homes = self._ctx.homes
        return [m for m in members if homes.allow(m.report.place, regions)]

    def place_elsewhere(
        self, now: Seconds, new_flow: NewFlow, own_report: AgentReport
    ) -> list[RelayEffect]:
        """Place a new flow that the local server must not get.

        Nobody who does not know this yet sends it back here.
        """
        if own_report.evacuated:
            self._ctx.own_place.declined_count += 1
        if own_report.state is AgentState.READY:
            new_flow = new_flow.declined_by(self._ctx.node)
        return self.place(now, new_flow, own_report)

    def place(
        self, now: Seconds, new_flow: NewFlow, own_report: AgentReport
    ) -> list[RelayEffect]:
        """Place a new flow at the least loaded of the compared servers."""
        if len(new_flow.declined) >= MAX_DECLINES:
            return self._refuse(now, new_flow, own_report)
        members = self._members_for(new_flow)
        own = own_report if self._is_in_home(own_report, new_flow) else None
        members = self._ejection.usable(now, own, members, new_flow)
        if self._is_empty(own_report, new_flow):
            return self.starts.admit(now, new_flow, own_report)
        candidates = self._choice.sample(now, members, new_flow.declined)
        outdated = {
            member.report.id
            for member in candidates
            if not has_recent_load(now, member)
        }
        if not outdated or len(self._pending) >= MAX_PENDING:
            return self._decide(now, new_flow, own_report, candidates)
        self._pending[new_flow.flow_id] = _PendingFlow(
            new_flow, now, [m.report.id for m in candidates], outdated
        )
        for node in outdated:
            self._ctx.members.request_report(now, node)
        return list(self._ctx.members.pop_requests(now))

    def handle_load(
        self, now: Seconds, node: NodeId, read_report: ReadReport
    ) -> list[RelayEffect]:
        """Handle that the current load of an agent is known."""
        complete: list[_PendingFlow] = []
        for pending in self._pending.values():
            if node in pending.awaiting:
                pending.awaiting.discard(node)
                if not pending.awaiting:
                    complete.append(pending)
        return self._decide_all(now, complete, read_report)

    def place_late(
        self, now: Seconds, read_report: ReadReport
    ) -> list[RelayEffect]:
        """Place the flows for which some loads were not received in time."""
        late = [
            pending
            for pending in self._pending.values()
            if now - pending.requested_at >= REQUEST_TIMEOUT_S
        ]
        return self._decide_all(now, late, read_report)

    def _decide_all(
        self,
        now: Seconds,
        pendings: list[_PendingFlow],
        read_report: ReadReport,
    ) -> list[RelayEffect]:
        effects: list[RelayEffect] = []
        agents = self._ctx.members.agents
        for pending in pendings:
            del self._pending[pending.new_flow.flow_id]
            candidates = [
                agents[node]
                for node in pending.candidates
                if node in agents and node not in pending.awaiting
            ]
            effects += self._decide(
                now, pending.new_flow, read_report(now), candidates
            )
        return effects

    def _decide(
        self,
        now: Seconds,
        new_flow: NewFlow,
        own_report: AgentReport,
        candidates: list[Member],
    ) -> list[RelayEffect]:
        """Place a new flow at the best of the compared servers."""
        best = self._select(now, new_flow, own_report, candidates)
        if best is None and self._may_hold(own_report, new_flow):
            return self.starts.admit(now, new_flow, own_report)
        if best is None:
            members = self._members_for(new_flow)
            if self._choice.sample(now, members, new_flow.declined):
                return self._drop(new_flow, "loads unknown")
            return self._refuse(now, new_flow, own_report)
        if best.full and not _can_wait(new_flow):
            return self._defer(new_flow)
        if best.node == self._ctx.node:
            return self.starts.admit(now, new_flow, own_report)
        return self._forward(now, new_flow, best.node)

    def review_held(
        self, now: Seconds, own_report: AgentReport
    ) -> list[RelayEffect]:
        """Start, refuse or keep the flows held for the local server.

        They move to others once it gets no new ones.
        """
        if can_hold(own_report):
            return self.starts.review_held(now, own_report)
        effects: list[RelayEffect] = []
        for new_flow in self.starts.pop_all():
            # Others that declined it were busier than this server then.
            moved = msgspec.structs.replace(
                new_flow, declined=(self._ctx.node,), hops=0
            )
            effects += self.place(now, moved, own_report)
        return effects

    def _may_hold(self, own_report: AgentReport, new_flow: NewFlow) -> bool:
        """Return whether a flow may wait for the local server to have room."""
        if self._ctx.node in new_flow.declined or not _can_wait(new_flow):
            return False
        if not self._is_in_home(own_report, new_flow):
            return False
        return can_hold(own_report)

    def _is_empty(self, own_report: AgentReport, new_flow: NewFlow) -> bool:
        """Return whether no server can be better than the local one."""
        if not self.may_open_here(new_flow, own_report):
            return False
        if self._ctx.node in new_flow.declined:
            return False
        if not self._ejection.admits(self._ctx.node, new_flow):
            return False
        return not own_report.busy and not own_report.flows

    def has_other_server(self, now: Seconds, new_flow: NewFlow) -> bool:
        """Return whether a server that did not decline a flow may get it."""
        members = self._members_for(new_flow)
        return bool(self._choice.sample(now, members, new_flow.declined))

    def accepts_flows(self, now: Seconds, node: NodeId, since: float) -> bool:
        """Return whether another agent handles the copies of a flow's SYN.

        ``since`` is when a flow was placed there, which the agent has to
        confirm by any message. The agent of a server that gets no new flows
        places it elsewhere, unless its server has accepted it.
        """
        member = self._ctx.members.agents.get(node)
        if member is None or member.is_silent(now):
            return False
        is_late = now - since >= CONFIRMATION_TIMEOUT_S
        if is_late and member.silent_s(now) > now - since:
            return False
        return member.report.state is AgentState.READY

    def _forward(
        self, now: Seconds, new_flow: NewFlow, node: NodeId
    ) -> list[RelayEffect]:
        self._ctx.members.record_assigned(now, node)
        self._ctx.add_flow(now, new_flow, node)
        packet = ForwardedPacket(
            reason=int(ForwardReason.PLACED),
            service=self._ctx.service,
            data=new_flow.segment.data,
            declined=new_flow.declined,
            via=new_flow.via,
            hops=new_flow.hops + 1,
            low_priority=new_flow.low_priority,
            scope=new_flow.scope,
            terms=new_flow.terms,
            regions=new_flow.regions,
        )
        effects: list[RelayEffect] = [ForwardToAgent(node, packet)]
        if new_flow.via:
            held = FlowHeld(new_flow.flow_id, node)
            effects.append(Send(new_flow.via, held))
        return effects

    def _select(
        self,
        now: Seconds,
        new_flow: NewFlow,
        own_report: AgentReport,
        others: list[Member],
    ) -> Selection | None:
        """Return the best server; an own one that is left out comes last."""
        is_eligible = self.may_open_here(new_flow, own_report)
        eligible = own_report if is_eligible else None
        if self._ejection.admits(self._ctx.node, new_flow):
            return self._compare(now, new_flow, eligible, others)
        best = self._compare(now, new_flow, None, others)
        if best is not None or eligible is None:
            return best
        return self._compare(now, new_flow, eligible, [])

    def _compare(
        self,
        now: Seconds,
        new_flow: NewFlow,
        own_report: AgentReport | None,
        others: list[Member],
    ) -> Selection | None:
        via = self._ctx.members.balancers.get(new_flow.via)
        limit = (
            MAX_WAITING_PER_SLOT_LOW_PRIORITY
            if new_flow.low_priority
            else MAX_WAITING_PER_SLOT
        )
        return self._choice.select(
            now,
            own_report,
            others,
            new_flow.declined,
            via.place if via else None,
            limit,
        )

    def _defer(self, new_flow: NewFlow) -> list[RelayEffect]:
        """Drop a SYN, as all compared servers are full.

        The caller retransmits it, which spreads a burst over time.
        Opened now, the flow would delay those that wait already.
        """
        return self._drop(new_flow, "servers full")

    def _drop(self, new_flow: NewFlow, text: str) -> list[RelayEffect]:
        return [
            self._ctx.event_factory.flow_event(
                Topic.ADMISSION,
                f"flows: SYN dropped until it is retransmitted, {text}",
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
        members = self._members_for(new_flow)
        reports = [own_report, *(m.report for m in members)]
        states = [r.state for r in reports if not r.evacuated]
        if not ctx.knows_all_members(now) or any(
            s in _MAY_BECOME_READY for s in states
        ):
            return []
        if any(m.is_silent(now) and not m.report.evacuated for m in members):
            return []
        if ctx.own_place.is_unknown(now):
            return []
        is_evacuated = any(r.evacuated for r in reports)
        if is_evacuated and new_flow.segment.ack:
            # An earlier copy may have opened the flow before.
            return self._drop(new_flow, "places evacuated")
        if any(not r.room and not r.evacuated for r in reports):
            return self._drop(new_flow, "no room at cold servers")
        why = Reason.NO_SERVER
        if AgentState.READY in states:
            why = Reason.SHED
        return ctx.reset(new_flow.flow_id, new_flow.segment.ack, why)

    def _load_of(self, node: NodeId) -> float:
        member = self._ctx.members.agents.get(node)
        return load(member.report) if member else float("inf")


def _can_wait(new_flow: NewFlow) -> bool:
    """Return whether the agent of a full server decides how long it waits."""
    return bool(new_flow.terms.timeout_ms)

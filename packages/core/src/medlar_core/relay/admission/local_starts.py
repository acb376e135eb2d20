"""Start of new flows at the local server of an agent, now or later."""

from ...effects import Send
from ...ids import Seconds
from ...timeline.events import Topic
from ...verdict import Reason
from ..effects import RelayEffect
from ..flow_context import FlowContext
from ..flow_table import Flow
from ..messages import AgentReport
from ..messages import AgentState
from ..messages import FlowHeld
from ..new_flow import NewFlow
from ..segment import FlowId
from ..segment import Segment
from .admission import Admission
from .admission import Decision
from .admission import Outcome
from .capacity import ServerLoad
from .held import hold


class LocalStarts:
    """Starts the flows that are placed at the local server.

    A flow whose route tells a timeout waits here until the server has room;
    others are delivered at once.
    """

    def __init__(self, ctx: FlowContext) -> None:
        self._ctx = ctx
        self._admission = Admission(ctx.held)

    def admit(
        self, now: Seconds, new_flow: NewFlow, own_report: AgentReport
    ) -> list[RelayEffect]:
        """Start a flow at the local server, hold it or refuse it."""
        if not new_flow.terms.timeout_ms:
            return self.open(now, new_flow)
        decisions = self._admission.offer(
            now,
            hold(now, new_flow),
            self._load(now, own_report),
            _limit(own_report),
        )
        return self._apply(now, decisions)

    def start_held(
        self, now: Seconds, own_report: AgentReport
    ) -> list[RelayEffect]:
        """Start the held flows that the server has room for."""
        decisions = self._admission.start(
            now, self._load(now, own_report), _limit(own_report)
        )
        return self._apply(now, decisions)

    def review_held(
        self, now: Seconds, own_report: AgentReport
    ) -> list[RelayEffect]:
        """Start held flows as above, and refuse those without a chance."""
        decisions = self._admission.decide(
            now, self._load(now, own_report), _limit(own_report)
        )
        return self._apply(now, decisions)

    def pop_all(self) -> list[NewFlow]:
        """Return all held flows, which are held no longer."""
        held_flows = list(self._admission.held)
        for held in held_flows:
            self._admission.held.remove(held.flow_id)
        return [held.new_flow for held in held_flows]

    def is_held(self, flow_id: FlowId) -> bool:
        """Return whether a flow waits here."""
        return self._admission.held.get(flow_id) is not None

    def record_copy(self, segment: Segment) -> None:
        """Record a retransmitted SYN of a held flow, which keeps its place."""
        held = self._admission.held.get(segment.inward)
        if held is not None:
            held.record_copy(segment.ack)

    def discard(self, flow_id: FlowId) -> None:
        """Hold a flow no longer, as it was opened at another server."""
        self._admission.held.remove(flow_id)

    def record_established(self, now: Seconds, flow: Flow) -> None:
        """Record that the caller has just finished a handshake."""
        self._admission.timings.record_round_trip(now - flow.opened_at)

    def record_answer(self, now: Seconds, flow: Flow) -> None:
        """Record that the server has just answered a request."""
        timings = self._admission.timings
        server = self._ctx.local_server.server
        if flow.established and server is not None:
            pending = self._pending(now)
            timings.record_answer(
                now, flow.last_data_at, pending, server.slots
            )

    def open(self, now: Seconds, new_flow: NewFlow) -> list[RelayEffect]:
        """Deliver the SYN of a flow to the local server."""
        ctx = self._ctx
        flow = ctx.add_flow(now, new_flow, ctx.node)
        ctx.own_place.cold.record_opened(now)
        event = ctx.event_factory.flow_event(
            Topic.PLACEMENT,
            f"flows: opened with {ctx.table.busy_count} busy, "
            f"{ctx.table.open_count} open, "
            f"declined by {len(new_flow.declined)}",
            new_flow.flow_id,
            ctx.service,
            ctx.node,
        )
        effects = [*ctx.deliver(now, flow, new_flow.segment), event]
        if new_flow.via and not new_flow.hops:
            held = FlowHeld(new_flow.flow_id, ctx.node)
            effects.append(Send(new_flow.via, held))
        return effects

    def _load(self, now: Seconds, own_report: AgentReport) -> ServerLoad:
        timings = self._admission.timings
        return ServerLoad(
            self._pending(now),
            own_report.slots,
            own_report.service_ms / 1_000 or timings.service_s,
            timings.round_trip_s,
        )

    def _pending(self, now: Seconds) -> int:
        timings = self._admission.timings
        return self._ctx.table.pending_count(
            now, timings.handshake_s, timings.request_s
        )

    def _apply(
        self, now: Seconds, decisions: list[Decision]
    ) -> list[RelayEffect]:
        effects: list[RelayEffect] = []
        for decision in decisions:
            new_flow = decision.held.new_flow
            match decision.outcome:
                case Outcome.STARTED:
                    if decision.waited_s:
                        effects.append(self._event(decision, "opened"))
                    effects += self.open(now, new_flow)
                case Outcome.HELD:
                    effects.append(self._event(decision, "held"))
                case Outcome.REFUSED:
                    event = self._event(decision, "refused", Reason.DEADLINE)
                    effects.append(event)
                    effects += self._ctx.reset(
                        new_flow.flow_id,
                        new_flow.segment.ack,
                        Reason.DEADLINE,
                    )
                case Outcome.DROPPED:
                    event = self._event(
                        decision, "SYN dropped", Reason.DEADLINE
                    )
                    effects.append(event)
        return effects

    def _event(
        self,
        decision: Decision,
        what: str,
        why: Reason | None = None,
    ) -> RelayEffect:
        held = decision.held
        text = (
            f"flows: {what}, waited {decision.waited_s:.3f} s, expected wait "
            f"{decision.wait_s:.3f} s, rank {held.terms.rank} with "
            f"{decision.share:.2f} of the starts, "
            f"{len(self._admission.held)} held"
        )
        return self._ctx.event_factory.flow_event(
            Topic.ADMISSION,
            text,
            held.flow_id,
            self._ctx.service,
            self._ctx.node,
            why,
        )


def can_hold(own_report: AgentReport) -> bool:
    """Return whether a flow may wait for the local server.

    A cold server without room gets no flow now, but may soon.
    """
    return own_report.state is AgentState.READY and not own_report.evacuated


def _limit(own_report: AgentReport) -> int:
    """Return how many flows may start now, negative for any number."""
    return own_report.room if own_report.accepts_flows else 0

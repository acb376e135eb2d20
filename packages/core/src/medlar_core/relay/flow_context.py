"""What all parts of an agent's flow handling share."""

from ..ids import NodeId
from ..ids import Seconds
from ..ids import ServiceName
from ..timeline.events import Topic
from ..verdict import Reason
from .effects import Pass
from .effects import RelayEffect
from .effects import ToCaller
from .effects import ToServer
from .event_factory import EventFactory
from .flowtable import Flow
from .flowtable import FlowTable
from .forwarded import ForwardedPacket
from .forwarded import ForwardReason
from .members import Members
from .neighbour import Neighbour
from .segment import FlowId
from .segment import Segment
from .segment import SegmentCodec

SETTLE_S = 0.1
"""Time for further greetings after the first that named all members."""


class FlowContext:
    """The table of flows, who else is there, and the usual effects."""

    def __init__(
        self,
        node: NodeId,
        service: ServiceName,
        codec: SegmentCodec,
        members: Members,
        neighbour: Neighbour,
        journal: EventFactory,
    ) -> None:
        self.node = node
        self.service = service
        self.members = members
        self.neighbour = neighbour
        self.journal = journal
        self.table = FlowTable(node)
        self._codec = codec
        self._introduced_at: float | None = None

    def introduced(self, now: Seconds) -> None:
        """Note that a balancer told all members of the service."""
        if self._introduced_at is None:
            self._introduced_at = now

    def is_settled(self, now: Seconds) -> bool:
        """Return whether this agent knows all members of its service."""
        since = self._introduced_at
        return since is not None and now - since >= SETTLE_S

    def deliver(
        self, now: Seconds, flow: Flow, segment: Segment
    ) -> list[RelayEffect]:
        """Hand a packet of an own flow to the server."""
        self.table.delivered(now, flow, segment)
        return [self.offer(segment)]

    def offer(self, segment: Segment) -> ToServer:
        """Hand a packet to the server, which may bounce it."""
        return ToServer(self._codec.without_bounce_marks(segment.data))

    def pass_on(
        self,
        dst: NodeId,
        why: ForwardReason,
        segment: Segment,
        declined: tuple[NodeId, ...] = (),
        hops: int = 1,
    ) -> Pass:
        """Hand a packet to another agent."""
        wrapped = ForwardedPacket(
            int(why), self.service, segment.data, declined, hops=hops
        )
        return Pass(dst, wrapped)

    def reset(
        self, flow_id: FlowId, seq: int, why: Reason
    ) -> list[RelayEffect]:
        """Reset a flow towards its caller."""
        data = self._codec.reset(flow_id, seq)
        note = self.journal.flow(
            Topic.PACKET, "flows: reset", flow_id, self.service, why=why
        )
        return [ToCaller(flow_id.caller, data), note]

    def note(
        self, flow_id: FlowId, text: str, server: str = ""
    ) -> RelayEffect:
        """Note a step on the way of a flow."""
        return self.journal.flow(
            Topic.HANDOVER, text, flow_id, self.service, server
        )

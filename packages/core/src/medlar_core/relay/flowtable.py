"""The flows that an agent knows: those of its server, and where others are."""

from collections.abc import Iterator

import msgspec

from ..ids import NodeId
from ..ids import Seconds
from ..packets import Flag
from .segment import FlowId
from .segment import is_later
from .segment import Segment

CLOSED_KEPT_S = 5.0
"""Late packets of a flow that ended still find its server."""
FED_S = 0.015
"""A caller that sent nothing for this long has sent its whole request."""
SMALL_BYTES = 4_000
"""A request of up to this size comes at once."""
BUSY_LIMIT_S = 10.0
"""A caller that waits for longer is taken to wait no more."""
UNPROVEN_LIMIT_S = 1.0
"""A caller that sent a SYN and no more sends nothing after this."""
DEFAULT_IDLE_S = 60.0

_END = int(Flag.FIN | Flag.RST)
_SYN = int(Flag.SYN)


class Flow(msgspec.Struct):
    """One flow and its holder.

    ``sent`` is the position that the caller has sent up to, ``acked``
    what it has received; ``fed_at`` is when it last sent something new
    and ``asked`` the position where its request began. ``opened_at`` is
    when its last SYN went to the server.
    ``busy`` tells that the caller sent a request and has had nothing
    back, ``answered`` that the server accepted the flow, ``proven`` that
    its caller went on after that. ``declined`` names agents whose
    servers did not accept it, ``via`` the balancer that knows the
    holder; ``low_priority`` tells that more urgent ones are opened first.
    """

    holder: NodeId
    at: float
    opened_at: float
    sent: int = 0
    acked: int = 0
    fed_at: float = 0.0
    asked: int = 0
    busy: bool = False
    answered: bool = False
    proven: bool = False
    ended: bool = False
    declined: tuple[NodeId, ...] = ()
    via: NodeId = NodeId("")
    low_priority: bool = False


class FlowTable:
    """Flows by id; counts those of the own server."""

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self._flows: dict[FlowId, Flow] = {}
        self._busy: dict[int, Flow] = {}
        self.open = 0

    @property
    def busy(self) -> int:
        """Flows of the own server whose callers have had no answer yet."""
        return len(self._busy)

    def waiting(self, now: Seconds) -> int:
        """Return how many of the busy ones send no more: they wait."""
        return sum(_waits(now, flow) for flow in self._busy.values())

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, flow_id: FlowId) -> Flow | None:
        """Return what is known of a flow."""
        return self._flows.get(flow_id)

    def put(
        self,
        now: Seconds,
        flow_id: FlowId,
        holder: NodeId,
        declined: tuple[NodeId, ...] = (),
    ) -> Flow:
        """Note who holds a flow, in place of what was known."""
        self.remove(flow_id)
        flow = Flow(holder, now, now, declined=declined)
        self._flows[flow_id] = flow
        if holder == self._node:
            self.open += 1
        return flow

    def remove(self, flow_id: FlowId) -> None:
        """Forget a flow."""
        flow = self._flows.pop(flow_id, None)
        if flow is None or flow.holder != self._node:
            return
        self._set_busy(flow, False)
        if not flow.ended:
            self.open -= 1

    def delivered(self, now: Seconds, flow: Flow, segment: Segment) -> None:
        """Note a packet that goes to the own server."""
        flow.at = now
        if segment.flags & _SYN:
            # Callers open a flow when they have something to send.
            flow.opened_at = now
            flow.sent = segment.seq
            flow.asked = segment.seq
            flow.fed_at = now
            self._set_busy(flow, True)
            return
        flow.proven = True
        flow.acked = segment.ack
        end = (segment.seq + segment.size) & 0xFFFFFFFF
        if segment.size and is_later(end, flow.sent):
            flow.sent = end
            flow.fed_at = now
            self._set_busy(flow, True)
        if segment.flags & Flag.RST:
            self._end(flow)

    def returned(self, now: Seconds, flow: Flow, segment: Segment) -> None:
        """Note a packet that the own server sent."""
        flow.at = now
        if segment.flags & _SYN:
            flow.answered = True
        if segment.size or segment.flags & _END:
            flow.asked = flow.sent
            self._set_busy(flow, False)
        if segment.flags & _END:
            self._end(flow)

    def own(self) -> Iterator[tuple[FlowId, Flow]]:
        """Return the own server's flows that have not ended."""
        for flow_id, flow in list(self._flows.items()):
            if flow.holder == self._node and not flow.ended:
                yield flow_id, flow

    def expire(self, now: Seconds, idle_s: float) -> None:
        """Forget flows that ended or were idle for longer."""
        gone = []
        for flow_id, flow in self._flows.items():
            quiet = now - flow.at
            if quiet > (CLOSED_KEPT_S if flow.ended else idle_s):
                gone.append(flow_id)
            elif flow.busy and quiet > _busy_limit(flow):
                self._set_busy(flow, False)
        for flow_id in gone:
            self.remove(flow_id)

    def _set_busy(self, flow: Flow, busy: bool) -> None:
        flow.busy = busy
        if busy:
            self._busy[id(flow)] = flow
        else:
            self._busy.pop(id(flow), None)

    def _end(self, flow: Flow) -> None:
        if not flow.ended:
            flow.ended = True
            self.open -= 1


def _waits(now: Seconds, flow: Flow) -> bool:
    size = (flow.sent - flow.asked) & 0xFFFFFFFF
    return size <= SMALL_BYTES or now - flow.fed_at > FED_S


def _busy_limit(flow: Flow) -> float:
    return BUSY_LIMIT_S if flow.proven else UNPROVEN_LIMIT_S

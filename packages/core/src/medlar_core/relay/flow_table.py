"""Flow table of an agent: flows of its server and holders of others."""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from ..ids import NodeId
from ..ids import Seconds
from ..packets import Flag
from .balance.expected_wait import expected_wait_ms
from .balance.service_time import ServiceTime
from .segment import FlowId
from .segment import is_later
from .segment import Segment
from .terms import DEFAULT_TERMS
from .terms import FlowTerms

CLOSED_TTL_S = 5.0
"""Late packets of a closed flow are delivered for this long."""
REQUEST_GAP_S = 0.015
"""A request is complete if its caller has sent nothing for this long."""
SMALL_REQUEST_BYTES = 4_000
"""A request of up to this size counts as complete at once."""
REQUEST_TIMEOUT_S = 10.0
"""A request without a response counts as abandoned after this."""
HALF_OPEN_TIMEOUT_S = 1.0
"""The same for a flow whose caller has sent only a SYN."""
DEFAULT_IDLE_S = 60.0

_END_FLAGS = int(Flag.FIN | Flag.RST)
_SYN = int(Flag.SYN)
_RST = int(Flag.RST)


class Flow(msgspec.Struct):
    """One flow and its holder.

    ``sent_seq`` is the position up to which the caller has sent,
    ``acked_seq`` the position that it has acknowledged, ``request_seq``
    the position where its current request began. ``last_data_at`` is
    when it last sent new data, ``opened_at`` when its latest SYN was
    delivered. A flow is ``busy`` while a request has no response,
    ``accepted`` once the server has answered its SYN, with ``server_seq``,
    and ``established`` once the caller has acknowledged that. It is
    ``closed`` once either end has sent its last packet; ``caller_done`` and
    ``server_done`` tell which. ``declined`` names agents whose servers did
    not accept it, ``terms`` are those of its route, ``via`` is the balancer
    that was last notified of the holder, at ``notified_at``.
    ``low_priority`` is set if room has to be left at a server for flows of
    higher priority. ``regions`` are those of its route, empty for all.
    ``judged`` is set once the current request has counted against the
    server.
    """

    holder: NodeId
    last_packet_at: float
    opened_at: float
    sent_seq: int = 0
    acked_seq: int = 0
    server_seq: int = 0
    last_data_at: float = 0.0
    request_seq: int = 0
    busy: bool = False
    accepted: bool = False
    established: bool = False
    closed: bool = False
    caller_done: bool = False
    server_done: bool = False
    declined: tuple[NodeId, ...] = ()
    via: NodeId = NodeId("")
    notified_at: float = 0.0
    low_priority: bool = False
    terms: FlowTerms = DEFAULT_TERMS
    regions: tuple[str, ...] = ()
    judged: bool = False


class FlowTable:
    """Flows by id, with counts of those that the local server holds."""

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self._flows: dict[FlowId, Flow] = {}
        self._busy: dict[int, Flow] = {}
        self.open_count = 0
        self.service_time = ServiceTime()

    @property
    def busy_count(self) -> int:
        """Number of local flows with a request that has no response."""
        return len(self._busy)

    def busy_flows(self) -> Iterable[Flow]:
        """Return the local flows with a request that has no response."""
        return self._busy.values()

    def waiting_count(self, now: Seconds) -> int:
        """Return how many of the busy flows have sent their whole request."""
        return sum(_is_waiting(now, flow) for flow in self._busy.values())

    def pending_count(
        self, now: Seconds, handshake_s: float, request_s: float
    ) -> int:
        """Return how many flows occupy the local server or will soon.

        Left out are handshakes and requests that take longer than the times
        given: their caller may be gone.
        """
        return sum(
            _is_waiting(now, flow)
            and now - flow.last_data_at
            <= (request_s if flow.established else handshake_s)
            for flow in self._busy.values()
        )

    def expected_wait_ms(self, now: Seconds, held: int) -> float:
        """Return how long a new flow waits for the server, in ms.

        ``held`` flows wait for it at the agent.
        """
        service_time = self.service_time
        return expected_wait_ms(
            self.busy_count + held,
            service_time.slots,
            service_time.mean_ms(now),
            service_time.longest_ms(now),
        )

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, flow_id: FlowId) -> Flow | None:
        """Return the entry of a flow."""
        return self._flows.get(flow_id)

    def put(
        self,
        now: Seconds,
        flow_id: FlowId,
        holder: NodeId,
        declined: tuple[NodeId, ...] = (),
    ) -> Flow:
        """Add a flow with its holder; replaces an earlier entry."""
        self.remove(flow_id)
        flow = Flow(holder, now, now, declined=declined, notified_at=now)
        self._flows[flow_id] = flow
        if holder == self._node:
            self.open_count += 1
        return flow

    def redirect(self, flow_id: FlowId, old: NodeId, new: NodeId) -> None:
        """Change the holder of a flow from one other agent to another."""
        flow = self._flows.get(flow_id)
        if flow is not None and flow.holder == old and new != self._node:
            flow.holder = new

    def remove(self, flow_id: FlowId) -> None:
        """Remove a flow, if it is known."""
        flow = self._flows.pop(flow_id, None)
        if flow is None or flow.holder != self._node:
            return
        self._set_busy(flow, False)
        self.service_time.remove(flow.last_packet_at, id(flow))
        if not flow.closed:
            self.open_count -= 1

    def record_delivered(
        self, now: Seconds, flow: Flow, segment: Segment
    ) -> None:
        """Update a flow for a packet delivered to the local server."""
        flow.last_packet_at = now
        if segment.flags & _SYN:
            # Callers open a flow only when they have a request to send.
            flow.opened_at = now
            flow.sent_seq = segment.seq
            flow.request_seq = segment.seq
            flow.last_data_at = now
            self._set_busy(flow, True)
            return
        if not flow.established:
            flow.established = _is_opened_by(flow, segment)
        flow.acked_seq = segment.ack
        end = (segment.seq + segment.size) & 0xFFFFFFFF
        if segment.size and is_later(end, flow.sent_seq):
            flow.sent_seq = end
            flow.last_data_at = now
            self._set_busy(flow, True)
            self.service_time.record_request(now, id(flow))
        if segment.flags & _END_FLAGS:
            flow.caller_done = True
        if segment.flags & _RST:
            flow.server_done = True
            self._close(now, flow)

    def record_server_packet(
        self, now: Seconds, flow: Flow, segment: Segment
    ) -> None:
        """Update a flow for a packet that the local server sent."""
        flow.last_packet_at = now
        if segment.flags & _SYN:
            flow.accepted = True
            flow.server_seq = segment.seq
        if segment.size:
            self.service_time.record_response(now, id(flow))
        if segment.size or segment.flags & _END_FLAGS:
            flow.request_seq = flow.sent_seq
            self._set_busy(flow, False)
        if segment.flags & _END_FLAGS:
            flow.server_done = True
            self._close(now, flow)
        if segment.flags & _RST:
            flow.caller_done = True

    def local_flows(self) -> Iterator[tuple[FlowId, Flow]]:
        """Yield the flows that the local server holds and that are open."""
        for flow_id, flow in list(self._flows.items()):
            if flow.holder == self._node and not flow.closed:
                yield flow_id, flow

    def expire(self, now: Seconds, idle_s: float) -> list[Flow]:
        """Remove closed flows and those idle for over ``idle_s`` seconds.

        Returns those that the local server may still hold.
        """
        expired = []
        for flow_id, flow in self._flows.items():
            idle_for_s = now - flow.last_packet_at
            if idle_for_s > _time_to_live_s(flow, idle_s):
                expired.append(flow_id)
            elif flow.busy and idle_for_s > _busy_timeout(flow):
                self._set_busy(flow, False)
                self.service_time.remove(now, id(flow))
        dropped = [
            flow
            for flow in map(self._flows.__getitem__, expired)
            if flow.holder == self._node and not is_done(flow)
        ]
        for flow_id in expired:
            self.remove(flow_id)
        return dropped

    def _set_busy(self, flow: Flow, busy: bool) -> None:
        flow.busy = busy
        if busy:
            self._busy[id(flow)] = flow
        else:
            self._busy.pop(id(flow), None)

    def _close(self, now: Seconds, flow: Flow) -> None:
        if not flow.closed:
            flow.closed = True
            self.service_time.remove(now, id(flow))
            self.open_count -= 1


def _is_opened_by(flow: Flow, segment: Segment) -> bool:
    """Return whether a caller's packet opens a flow at the local server.

    Copies of a SYN may be accepted by several servers. The flow opens at
    the one whose sequence number the caller acknowledges.
    """
    acked = (segment.ack - flow.server_seq) & 0xFFFFFFFF
    return flow.accepted and acked <= 1


def _is_waiting(now: Seconds, flow: Flow) -> bool:
    size = (flow.sent_seq - flow.request_seq) & 0xFFFFFFFF
    return (
        size <= SMALL_REQUEST_BYTES or now - flow.last_data_at > REQUEST_GAP_S
    )


def is_done(flow: Flow) -> bool:
    """Return whether both ends have sent their last packet."""
    return flow.caller_done and flow.server_done


def _time_to_live_s(flow: Flow, idle_s: float) -> float:
    """Return after how many idle seconds an entry is removed.

    A flow is open until both ends have sent their last packet.
    """
    return min(CLOSED_TTL_S, idle_s) if is_done(flow) else idle_s


def _busy_timeout(flow: Flow) -> float:
    return REQUEST_TIMEOUT_S if flow.established else HALF_OPEN_TIMEOUT_S

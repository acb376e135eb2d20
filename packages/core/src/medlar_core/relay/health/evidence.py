"""Evidence for and against a server, from the packets of its flows.

Answers servers that announce themselves as ready while they fail a part of
their requests. Payloads are never read.
"""

import bisect
from collections.abc import Iterable
import enum

import msgspec

from ...ids import Seconds
from ...packets import Flag
from ..flow_table import Flow
from ..segment import Endpoint
from ..segment import FlowId
from ..segment import is_later
from ..segment import Segment
from .usual import UsualResponse

SYN_TIMEOUT_S = 0.15
"""A server beside its agent answers a SYN well within this, and a caller
does not yet send its first copy."""
DEFAULT_TARGET_S = 0.5
"""Used for routes without a latency target."""
OVERTAKEN_FACTOR = 4.0
"""Least time of an overtaken request, in usual response times."""
LONGEST_FACTOR = 1.5
"""Least time of an overtaken request, in the longest recent response time or
pause within a request: well servers answer short work beside long work, and
short uploads beside long ones."""
LONGEST_KEPT = 0.98
"""Part of the longest response time that each further response leaves: some
work may take long again after some dozens of short ones."""
STALL_FACTOR = 10.0
"""Least time of a request while the server answers nothing, in usual service
times: longer than that of a server that has only become slow."""
MAX_SCAN_GAP_S = 0.25
"""After a longer time between two scans, packets of the server may wait to be
read by this process."""
MAX_ADDRESSES = 512
MAX_OVERTAKERS = 16

_SYN = int(Flag.SYN)
_FIN = int(Flag.FIN)
_RST = int(Flag.RST)


class Signal(enum.Enum):
    """What the packets of a flow show of its server."""

    ANSWERED = "response"
    SYN_UNANSWERED = "SYN unanswered"
    OVERDUE = "response overdue"
    RESET = "reset"
    ENDED = "ended without a response"
    DECLINED = "declined with free slots"
    BRIEF = "response far faster and smaller than usual"


class Observation(msgspec.Struct, frozen=True):
    """One outcome of a flow's request; ``weight`` is at most 1."""

    signal: Signal
    weight: float = 1.0

    @property
    def is_failure(self) -> bool:
        """Whether it speaks against the server."""
        return self.signal is not Signal.ANSWERED


class FlowEvidence:
    """Derives observations from the local server's flows.

    A request is overdue if others that came later were answered before it,
    or if the server answers nothing at all. A server that is only slow or
    full answers in order, and is not taken to fail.
    """

    def __init__(self) -> None:
        self._observed_since = float("-inf")
        self._scanned_at = float("-inf")
        self._answered_at = float("-inf")
        self._server_packet_at = float("-inf")
        self._overall = UsualResponse()
        self._usual: dict[Endpoint, UsualResponse] = {}
        self._overtakers: list[float] = []
        self._longest_s = 0.0

    def restart(self, now: Seconds) -> None:
        """Start anew: flows of before are not judged.

        Called after a pause of this process, and for a new server.
        """
        self._observed_since = now
        self._overtakers.clear()

    def record_server_packet(
        self,
        now: Seconds,
        flow_id: FlowId,
        flow: Flow,
        segment: Segment,
    ) -> Observation | None:
        """Return what a packet that the local server sent shows.

        Called before the flow table records the packet.
        """
        self._server_packet_at = now
        if not flow.busy or segment.flags & _SYN:
            return None
        if segment.flags & _RST:
            has_ended = flow.caller_done or flow.server_done or flow.judged
            return None if has_ended else Observation(Signal.RESET)
        size = _response_size(flow, segment)
        if size:
            return self._answered(now, flow_id, flow, size)
        if flow.caller_done or flow.judged or not segment.flags & _FIN:
            return None
        return Observation(Signal.ENDED) if _has_request(flow) else None

    def record_caller_packet(
        self, now: Seconds, flow: Flow, segment: Segment
    ) -> None:
        """Record that a caller goes on with a request, perhaps after a pause.

        Called before the flow table records the packet. Data that the caller
        repeats, as its server may not answer, tells of no pause.
        """
        end = (segment.seq + segment.size) & 0xFFFFFFFF
        if not segment.size or not is_later(end, flow.sent_seq):
            return
        if flow.busy and _has_request(flow):
            self._longest_s = max(self._longest_s, now - flow.last_data_at)

    def is_syn_unanswered(self, now: Seconds, flow: Flow) -> bool:
        """Return whether the server should have accepted a flow by now."""
        if flow.accepted or flow.opened_at < self._observed_since:
            return False
        return now - flow.opened_at >= SYN_TIMEOUT_S

    def is_silent_since(self, at: float) -> bool:
        """Return whether the server has sent no packet since then."""
        return self._server_packet_at < at

    def scan(
        self, now: Seconds, flows: Iterable[Flow], slots: int
    ) -> list[Observation]:
        """Return what the flows that wait for the server show since before.

        ``slots`` is how many requests the server works on at a time.
        """
        gap_s, self._scanned_at = now - self._scanned_at, now
        if gap_s > MAX_SCAN_GAP_S:
            return []
        found = []
        for flow in flows:
            if flow.judged or flow.caller_done:
                continue
            if self.is_syn_unanswered(now, flow):
                flow.judged = True
                found.append(Observation(Signal.SYN_UNANSWERED))
            elif self._is_overdue(now, flow, slots):
                flow.judged = True
                found.append(Observation(Signal.OVERDUE))
        return found

    def _is_overdue(self, now: Seconds, flow: Flow, slots: int) -> bool:
        asked_at = flow.last_data_at
        if not flow.established or not _has_request(flow):
            return False
        if asked_at < self._observed_since:
            return False
        waited_s = now - asked_at
        target_s = flow.terms.target_ms / 1_000 or DEFAULT_TARGET_S
        if waited_s < target_s:
            return False
        if self._answered_at < asked_at:
            return waited_s >= STALL_FACTOR * self._overall.service_s
        if waited_s < OVERTAKEN_FACTOR * self._overall.response_s:
            return False
        if waited_s < LONGEST_FACTOR * self._longest_s:
            return False
        overtakers = len(self._overtakers) - bisect.bisect_right(
            self._overtakers, asked_at
        )
        return overtakers > min(slots, MAX_OVERTAKERS - 1)

    def _answered(
        self,
        now: Seconds,
        flow_id: FlowId,
        flow: Flow,
        size: int,
    ) -> Observation | None:
        flow.judged = False
        if not _has_request(flow):
            return None
        response_s = now - flow.last_data_at
        service_s = now - max(flow.last_data_at, self._answered_at)
        self._answered_at = now
        self._longest_s = max(response_s, LONGEST_KEPT * self._longest_s)
        bisect.insort(self._overtakers, flow.last_data_at)
        if len(self._overtakers) > MAX_OVERTAKERS:
            del self._overtakers[0]
        usual = self._usual_of(flow_id.address)
        is_brief = usual.is_brief(response_s, size)
        weight = usual.brief_weight
        usual.record(response_s, service_s, size, is_brief)
        self._overall.record(response_s, service_s, size, is_brief)
        if is_brief and weight:
            return Observation(Signal.BRIEF, weight)
        return Observation(Signal.ANSWERED)

    def _usual_of(self, address: Endpoint) -> UsualResponse:
        usual = self._usual.get(address)
        if usual is None:
            if len(self._usual) >= MAX_ADDRESSES:
                del self._usual[next(iter(self._usual))]
            usual = self._usual[address] = UsualResponse()
        return usual


def _response_size(flow: Flow, segment: Segment) -> int:
    """Return how much of a response a server's packet shows, in bytes.

    Packets are received in any order: the last one shows the whole size,
    also if it only ends the flow.
    """
    end = (segment.seq + segment.size) & 0xFFFFFFFF
    if not is_later(end, flow.acked_seq):
        return 0
    return (end - flow.acked_seq) & 0xFFFFFFFF


def _has_request(flow: Flow) -> bool:
    """Return whether the caller has sent data since the last response."""
    return flow.sent_seq != flow.request_seq

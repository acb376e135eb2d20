"""Lookups that are repeated without a further packet of the caller.

Answers the start of all processes at once: for some tenths of a second the
agents do not know the same members, and prove nothing. A caller that has
waited for its answer since before then repeats its packet only every 1.6 s.
"""

import msgspec

from ...ids import NodeId
from ...ids import Seconds
from ..segment import FlowId
from ..segment import Segment
from .forwarded import ForwardedPacket

FIRST_INTERVAL_S = 0.2
MAX_RETRIES = 4
"""Each retry comes twice as long after the one before it."""
MAX_FLOWS = 2_000
EXPIRY_S = 4.0
"""Later than the last retry; a lookup after it starts with new retries."""

_IN_PROGRESS = float("inf")
"""Time of the next retry while the lookup runs."""


class LookupRequest(msgspec.Struct, frozen=True):
    """A packet whose flow is looked up, and the process that sent it."""

    segment: Segment
    packet: ForwardedPacket
    src: NodeId


class _Retry(msgspec.Struct):
    request: LookupRequest
    added_at: float
    next_at: float
    count: int = 0


class LookupRetries:
    """Lookups that ended without a result and are to be repeated."""

    def __init__(self) -> None:
        self._retries: dict[FlowId, _Retry] = {}

    def add(self, now: Seconds, request: LookupRequest) -> None:
        """Repeat a lookup later, unless it has been repeated often."""
        flow_id = request.segment.inward
        retry = self._retries.get(flow_id)
        if retry is None:
            if len(self._retries) < MAX_FLOWS:
                next_at = now + FIRST_INTERVAL_S
                self._retries[flow_id] = _Retry(request, now, next_at)
            return
        retry.request = request
        if retry.next_at == _IN_PROGRESS and retry.count < MAX_RETRIES:
            retry.next_at = now + FIRST_INTERVAL_S * 2**retry.count

    def remove(self, flow_id: FlowId) -> None:
        """Forget a flow whose lookup has a result."""
        self._retries.pop(flow_id, None)

    def due(self, now: Seconds) -> list[LookupRequest]:
        """Return the lookups to repeat now."""
        for flow_id, retry in list(self._retries.items()):
            if now - retry.added_at > EXPIRY_S:
                del self._retries[flow_id]
        ready = [r for r in self._retries.values() if r.next_at <= now]
        for retry in ready:
            retry.count += 1
            retry.next_at = _IN_PROGRESS
        return [retry.request for retry in ready]

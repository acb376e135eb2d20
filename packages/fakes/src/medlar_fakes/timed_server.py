"""Server of the relay's simulation that takes time for its requests."""

import collections
from collections.abc import Callable

from medlar_core.packets import Flag
from medlar_core.relay.segment import FlowId
from medlar_core.relay.segment import Segment

from .clock import Clock
from .relay import FakeServer


class TimedServer(FakeServer):
    """Works on one request after the other, ``service_s`` seconds each.

    ``delivered_at`` tells when each SYN came, ``started`` the flows in the
    order in which it worked on them, ``most_queued`` the most requests that
    waited at once, ``busy_s`` the time that it worked.
    """

    def __init__(
        self, clock: Clock, send: Callable[[Segment], None], service_s: float
    ) -> None:
        super().__init__()
        self.service_s = service_s
        self.started: list[FlowId] = []
        self.delivered_at: dict[FlowId, float] = {}
        self.most_queued = 0
        self.busy_s = 0.0
        self._clock = clock
        self._send = send
        self._queue: collections.deque[FlowId] = collections.deque()
        self._is_busy = False

    def handle(self, segment: Segment) -> list[Segment]:
        """Return the packets that the server sends at once."""
        flow = segment.inward
        if segment.flags & Flag.SYN:
            self.delivered_at.setdefault(flow, self._clock.now)
        if not segment.size or flow not in self.flows:
            return super().handle(segment)
        self._queue.append(flow)
        self.most_queued = max(self.most_queued, len(self._queue))
        if not self._is_busy:
            self._start_next()
        return []

    def _start_next(self) -> None:
        self._is_busy = bool(self._queue)
        if not self._is_busy:
            return
        flow = self._queue.popleft()
        self.started.append(flow)
        self.busy_s += self.service_s
        self._clock.after(self.service_s, lambda: self._end(flow))

    def _end(self, flow: FlowId) -> None:
        self._send(self._response(flow, Flag.ACK | Flag.FIN, 100))
        self._start_next()

"""Callers that open flows, send requests and check the responses."""

import asyncio
from collections.abc import Callable
import contextlib
import itertools
import random
import socket
import time

from medlar_core.packets import Flag
from medlar_core.relay.segment import Endpoint
from medlar_core.relay.segment import endpoint
from medlar_core.relay.segment import FlowId

from . import wire
from .checker import Checker
from .router import Router

SYN_WAITS_S = (0.2, 0.4, 0.8)
"""Waits after a SYN and after each of its two retransmissions."""
RETRANSMIT_S = 0.2
DEADLINE_S = 2.5
REQUEST_GAP_S = 0.4
"""Time between the requests of a long flow."""
REQUESTS_PER_LONG_FLOW = 8
LONG_FLOW_SHARE = 0.4
PAUSE_S = 4.0
PAUSING_SHARE = 0.1
"""Share of flows whose callers pause once between two requests."""
FLOWS_PER_S = 40.0
ADDRESS = "198.18.0.1"
ISN = 1_000


class CallerFlow:
    """State of a flow at its caller."""

    def __init__(self, caller: Endpoint, port: int) -> None:
        self.id = FlowId(caller, endpoint(ADDRESS, port))
        self.port = port
        self.seq = ISN
        self.server_isn: int | None = None
        self.ended = False
        self.last_packet_at = time.monotonic()
        self.idle_since = self.last_packet_at
        """Time of its last packet before the request in progress."""
        self.response: tuple[int, str] | None = None
        self.updated = asyncio.Event()


class Callers:
    """All callers of one host; each flow has its own port."""

    def __init__(
        self,
        checker: Checker,
        rng: random.Random,
        sock: socket.socket,
        router: Router,
        must_stay_open: Callable[[FlowId, float], bool],
    ) -> None:
        self.ports: list[int] = []
        """Ports of the address to which flows are opened."""
        self.removed: set[int] = set()
        self._checker = checker
        self._rng = rng
        self._sock = sock
        self._router = router
        self._must_stay_open = must_stay_open
        self._host = sock.getsockname()[0]
        self._numbers = itertools.cycle(range(10_000, 60_000))
        self._flows: dict[FlowId, CallerFlow] = {}

    def read(self) -> None:
        """Handle all received packets."""
        with contextlib.suppress(BlockingIOError):
            while True:
                self._handle(wire.decode(self._sock.recv(2_048)))

    async def open_flows(self) -> None:
        """Open flows until cancelled."""
        every = round(1 / PAUSING_SHARE)
        pauses = itertools.cycle([True] + [False] * (every - 1))
        async with asyncio.TaskGroup() as tasks:
            while True:
                number = next(self._numbers)
                port = self._rng.choice(self.ports)
                flow = CallerFlow(endpoint(self._host, number), port)
                is_long = self._rng.random() < LONG_FLOW_SHARE
                requests = REQUESTS_PER_LONG_FLOW if is_long else 1
                gap_s = REQUEST_GAP_S
                if not is_long and next(pauses):
                    requests, gap_s = 2, PAUSE_S
                tasks.create_task(self._run(flow, requests, gap_s))
                await asyncio.sleep(self._rng.expovariate(FLOWS_PER_S))

    def _handle(self, packet: wire.Packet) -> None:
        now = time.monotonic()
        segment = packet.segment
        flow = self._flows.get(segment.outward)
        if packet.is_reset and not packet.is_intact:
            if flow is not None:
                self._on_reset(now, flow)
            return
        if not packet.is_intact:
            detail = f"a caller received a modified packet: {segment}"
            self._checker.add_violation(now, "whole packets", detail)
            return
        if flow is None:
            return
        flow.last_packet_at = now
        if segment.flags & Flag.SYN:
            if flow.server_isn is None:
                flow.server_isn = segment.seq
                flow.updated.set()
        elif packet.payload:
            flow.response = (segment.ack, packet.payload.decode())
            flow.updated.set()

    def _on_reset(self, now: float, flow: CallerFlow) -> None:
        must_stay = self._must_stay_open(flow.id, flow.idle_since)
        if must_stay and flow.port not in self.removed:
            detail = f"{flow.id} was reset although its server holds it"
            self._checker.add_violation(now, "open flow", detail)
        flow.ended = True
        flow.updated.set()

    async def _run(
        self, flow: CallerFlow, requests: int, gap_s: float
    ) -> None:
        self._flows[flow.id] = flow
        started_at = time.monotonic()
        prefix = f"r{flow.id.caller & 0xFFFF}.{started_at:.3f}"
        if flow.port not in self.removed:
            self._checker.first_sent_at[f"{prefix}.0"] = started_at
        if await self._open_flow(flow):
            for number in range(requests):
                req = f"{prefix}.{number}"
                self._checker.first_sent_at[req] = time.monotonic()
                if not await self._send_request(flow, req):
                    break
                if number + 1 < requests:
                    await asyncio.sleep(gap_s)
            self._send(flow, Flag.FIN | Flag.ACK)
        elif flow.ended:
            self._checker.on_flow_reset(
                time.monotonic(), flow.port, started_at
            )
        await asyncio.sleep(RETRANSMIT_S)
        del self._flows[flow.id]

    async def _open_flow(self, flow: CallerFlow) -> bool:
        for attempt, wait_s in enumerate(SYN_WAITS_S):
            data = wire.encode(*flow.id, Flag.SYN, ISN, attempt)
            self._router.send(flow.id, data)
            await self._wait(flow, wait_s)
            if flow.server_isn is not None or flow.ended:
                break
        return flow.server_isn is not None and not flow.ended

    async def _send_request(self, flow: CallerFlow, req: str) -> bool:
        payload = req.encode()
        flow.response = None
        seq = flow.seq
        flow.seq += len(payload)
        flow.idle_since = flow.last_packet_at
        deadline = time.monotonic() + DEADLINE_S
        while time.monotonic() < deadline and not flow.ended:
            self._send(flow, Flag.ACK, seq, payload)
            await self._wait(flow, RETRANSMIT_S)
            if flow.response is not None and flow.response[0] == seq:
                now = time.monotonic()
                self._checker.on_response(now, req, flow.response[1])
                return True
        return False

    def _send(
        self, flow: CallerFlow, flags: Flag, seq: int = 0, payload: bytes = b""
    ) -> None:
        flow.last_packet_at = time.monotonic()
        isn = flow.server_isn or 0
        data = wire.encode(*flow.id, flags, seq or flow.seq, isn, payload)
        self._router.send(flow.id, data)

    async def _wait(self, flow: CallerFlow, seconds: float) -> None:
        flow.updated.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(flow.updated.wait(), seconds)

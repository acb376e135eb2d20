"""Callers: they open flows, send requests and judge what comes back."""

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
from .ledger import Ledger
from .router import Router

COPIES_S = (0.2, 0.4, 0.8)
"""Waits after a SYN and its two copies."""
AGAIN_S = 0.2
DEADLINE_S = 2.5
PAUSE_S = 0.4
"""Between the requests of a long flow."""
REQUESTS = 8
LONG_SHARE = 0.4
FLOWS_PER_S = 40.0
ADDRESS = "198.18.0.1"
ISN = 1_000


class Call:
    """A flow as its caller sees it."""

    def __init__(self, caller: Endpoint, port: int) -> None:
        self.flow = FlowId(caller, endpoint(ADDRESS, port))
        self.port = port
        self.seq = ISN
        self.server_isn: int | None = None
        self.ended = False
        self.answer: tuple[int, str] | None = None
        self.news = asyncio.Event()


class Callers:
    """All callers of one host; each flow has a port of its own."""

    def __init__(
        self,
        ledger: Ledger,
        rng: random.Random,
        sock: socket.socket,
        router: Router,
        is_safe: Callable[[FlowId], bool],
    ) -> None:
        self.ports: list[int] = []
        """Ports of the address that are called."""
        self.removed: set[int] = set()
        self._ledger = ledger
        self._rng = rng
        self._sock = sock
        self._router = router
        self._is_safe = is_safe
        self._host = sock.getsockname()[0]
        self._numbers = itertools.cycle(range(10_000, 60_000))
        self._calls: dict[FlowId, Call] = {}

    def read(self) -> None:
        """Take what has come."""
        with contextlib.suppress(BlockingIOError):
            while True:
                self._take(wire.read(self._sock.recv(2_048)))

    async def calling(self) -> None:
        """Open flows until cancelled; flows go on to their ends."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                number = next(self._numbers)
                port = self._rng.choice(self.ports)
                call = Call(endpoint(self._host, number), port)
                is_long = self._rng.random() < LONG_SHARE
                requests = REQUESTS if is_long else 1
                tasks.create_task(self._run(call, requests))
                await asyncio.sleep(self._rng.expovariate(FLOWS_PER_S))

    def _take(self, came: wire.Packet) -> None:
        now = time.monotonic()
        segment = came.segment
        call = self._calls.get(segment.outward)
        if came.is_reset and not came.is_own:
            if call is not None:
                self._was_reset(now, call)
            return
        if not came.is_own:
            what = f"a caller got a packet that nobody sent: {segment}"
            self._ledger.breaks(now, "whole packets", what)
            return
        if call is None:
            return
        if segment.flags & Flag.SYN:
            if call.server_isn is None:
                call.server_isn = segment.seq
                call.news.set()
        elif came.payload:
            call.answer = (segment.ack, came.payload.decode())
            call.news.set()

    def _was_reset(self, now: float, call: Call) -> None:
        if self._is_safe(call.flow) and call.port not in self.removed:
            what = f"{call.flow} was reset, though its server holds it"
            self._ledger.breaks(now, "open flow", what)
        call.ended = True
        call.news.set()

    async def _run(self, call: Call, requests: int) -> None:
        self._calls[call.flow] = call
        began = time.monotonic()
        first = f"r{call.flow.caller & 0xFFFF}.{began:.3f}"
        if call.port not in self.removed:
            self._ledger.asked[f"{first}.0"] = began
        if await self._open(call):
            for number in range(requests):
                req = f"{first}.{number}"
                self._ledger.asked[req] = time.monotonic()
                if not await self._ask(call, req):
                    break
                if number + 1 < requests:
                    await asyncio.sleep(PAUSE_S)
            self._send(call, Flag.FIN | Flag.ACK)
        elif call.ended:
            self._ledger.refused(time.monotonic(), call.port, began)
        await asyncio.sleep(AGAIN_S)
        del self._calls[call.flow]

    async def _open(self, call: Call) -> bool:
        for copy, wait_s in enumerate(COPIES_S):
            data = wire.write(*call.flow, Flag.SYN, ISN, copy)
            self._router.send(call.flow, data)
            await self._wait(call, wait_s)
            if call.server_isn is not None or call.ended:
                break
        return call.server_isn is not None and not call.ended

    async def _ask(self, call: Call, req: str) -> bool:
        payload = req.encode()
        call.answer = None
        seq = call.seq
        call.seq += len(payload)
        until = time.monotonic() + DEADLINE_S
        while time.monotonic() < until and not call.ended:
            self._send(call, Flag.ACK, seq, payload)
            await self._wait(call, AGAIN_S)
            if call.answer is not None and call.answer[0] == seq:
                now = time.monotonic()
                self._ledger.answered(now, req, call.answer[1])
                return True
        return False

    def _send(
        self, call: Call, flags: Flag, seq: int = 0, payload: bytes = b""
    ) -> None:
        isn = call.server_isn or 0
        data = wire.write(*call.flow, flags, seq or call.seq, isn, payload)
        self._router.send(call.flow, data)

    async def _wait(self, call: Call, seconds: float) -> None:
        call.news.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(call.news.wait(), seconds)

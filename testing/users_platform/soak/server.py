"""A server beside an agent: announces itself, serves flows."""

import asyncio
import contextlib
import json
import random
import socket
import time

from medlar_core.packets import Flag
from medlar_core.relay.segment import FlowId
from medlar_node.relay.http import HttpClient
from medlar_node.relay.http import HttpError
from medlar_node.relay.http import Request

from . import wire
from .ledger import Ledger

BEAT_S = 0.4
ACK_S = 1.0
WORK_S = 0.008
DRAIN_S = 2.0


class Flow:
    """What a server knows of a flow."""

    def __init__(self, isn: int) -> None:
        self.isn = isn
        self.open = False
        self.answers: dict[int, bytes] = {}
        """Answers given, by the position of their request."""


class Server:
    """One place for servers; each start there is a new incarnation."""

    def __init__(
        self,
        ledger: Ledger,
        rng: random.Random,
        service: str,
        app: tuple[str, int],
        agent: str,
        outbound: tuple[str, int],
    ) -> None:
        self.service = service
        self.name = ""
        self.state = "down"
        self.flows: dict[FlowId, Flow] = {}
        self._ledger = ledger
        self._rng = rng
        self._app = app
        self._agent = agent
        self._outbound = outbound
        self._stack = contextlib.AsyncExitStack()
        self._starts = 0

    async def start(self, clock_back_s: float = 0.0) -> None:
        """Start an incarnation, by a clock that may be set back."""
        self._starts += 1
        self.name = f"i-{self._app[0]}-{self._starts}"
        self.state = "ready"
        self.flows = {}
        born_ms = int((time.time() - clock_back_s) * 1_000)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(self._app)
        listener = await asyncio.start_server(_hang_up, *self._app)
        loop = asyncio.get_running_loop()
        loop.add_reader(sock, self._read, sock)
        self._stack = contextlib.AsyncExitStack()
        self._stack.callback(sock.close)
        self._stack.callback(loop.remove_reader, sock)
        self._stack.callback(listener.close)
        task = asyncio.create_task(self._announce(born_ms))
        self._stack.callback(task.cancel)

    async def crash(self) -> None:
        """End without a word."""
        self.state = "down"
        self.flows = {}
        await self._stack.aclose()

    async def drain(self) -> None:
        """Say to leave, serve on for a while, and go."""
        self.state = "draining"
        await asyncio.sleep(DRAIN_S)
        if self.state != "draining":
            return
        self.flows = {}
        await self._call("Leave", {})
        await self.crash()

    def holds(self, flow: FlowId) -> bool:
        """Return whether a flow is open here."""
        known = self.flows.get(flow)
        return known is not None and known.open

    async def _announce(self, born_ms: int) -> None:
        sequence = 0
        while True:
            sequence += 1
            state = self.state
            beat = {
                "service": self.service,
                "state": state,
                "slots": 2,
                "sequence": sequence,
                "born": born_ms,
            }
            if await self._call("Heartbeat", beat) and state == "draining":
                self._ledger.leaves(time.monotonic(), self.name)
            await asyncio.sleep(BEAT_S)

    async def _call(self, verb: str, body: dict[str, object]) -> bool:
        path = f"/-/Instances.{verb}/{self.name}"
        client = HttpClient(self._agent)
        req = Request("POST", path, json.dumps(body).encode())
        try:
            return (await client.call(req, ACK_S)).status == 200
        except HttpError:
            return False
        finally:
            client.close()

    def _read(self, sock: socket.socket) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                self._take(sock, sock.recv(2_048))

    def _take(self, sock: socket.socket, data: bytes) -> None:
        now = time.monotonic()
        came = wire.read(data)
        segment = came.segment
        if not came.is_own or segment.flags & Flag.BOUNCED:
            what = f"{self.name} got a packet that nobody sent: {segment}"
            self._ledger.breaks(now, "whole packets", what)
            return
        flow = segment.inward
        known = self.flows.get(flow)
        if segment.flags & Flag.SYN:
            if known is None:
                known = Flow(self._rng.randrange(1, 1 << 31))
                self.flows[flow] = known
                sent_at = now - (0.0, 0.2, 0.6)[segment.ack]
                port = wire.port_of(flow)
                self._ledger.opened(now, port, self.name, sent_at)
            flags = Flag.SYN | Flag.ACK
            self._send(sock, flow, flags, known.isn, segment.seq)
        elif known is None or segment.ack != known.isn:
            sock.sendto(wire.bounced(data), self._outbound)
        else:
            known.open = True
            self._serve(sock, flow, known, came)

    def _serve(
        self, sock: socket.socket, flow: FlowId, known: Flow, came: wire.Packet
    ) -> None:
        segment = came.segment
        if segment.flags & Flag.FIN:
            del self.flows[flow]
            return
        if not came.payload:
            return
        answer = known.answers.get(segment.seq)
        if answer is None:
            req = came.payload.decode()
            self._ledger.ran(time.monotonic(), req, self.name)
            answer = f"{req} by {self.name}".encode()
            known.answers[segment.seq] = answer
        loop = asyncio.get_running_loop()
        loop.call_later(
            WORK_S, self._answer, sock, flow, known, segment.seq, answer
        )

    def _answer(
        self,
        sock: socket.socket,
        flow: FlowId,
        known: Flow,
        seq: int,
        answer: bytes,
    ) -> None:
        if self.flows.get(flow) is known and sock.fileno() >= 0:
            self._send(sock, flow, Flag.ACK, known.isn, seq, answer)

    def _send(
        self,
        sock: socket.socket,
        flow: FlowId,
        flags: Flag,
        seq: int,
        ack: int,
        payload: bytes = b"",
    ) -> None:
        data = wire.write(flow.address, flow.caller, flags, seq, ack, payload)
        sock.sendto(data, self._outbound)


async def _hang_up(
    _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.close()

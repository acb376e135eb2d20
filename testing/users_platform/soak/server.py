"""Stand-in for a server: announces itself to its agent and serves flows."""

import asyncio
import collections
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

from ..standin import COLD_OVERAGE
from ..standin import COLD_SLACK
from . import wire
from .checker import Checker

HEARTBEAT_S = 0.4
CALL_LIMIT_S = 1.0
WORK_S = 0.008
DRAIN_S = 2.0
COLD_S = 2.0
COLD_PER_S = 6.0
COLD_FLOWS_MAX = COLD_PER_S * COLD_OVERAGE + COLD_SLACK


class ServerFlow:
    """State of a flow at its server."""

    def __init__(self, isn: int) -> None:
        self.isn = isn
        self.open = False
        self.responses: dict[int, bytes] = {}
        """Responses sent, by the sequence number of their request."""


class Server:
    """Server address beside one agent; each start is a new incarnation."""

    def __init__(
        self,
        checker: Checker,
        rng: random.Random,
        service: str,
        app: tuple[str, int],
        agent: str,
        outbound: tuple[str, int],
        zone: str = "z",
    ) -> None:
        self.service = service
        self.zone = zone
        self.hangs = False
        """Whether it accepts flows and answers none of their requests."""
        self.name = ""
        self.state = "down"
        self.flows: dict[FlowId, ServerFlow] = {}
        self.is_known = False
        """Whether its agent has acknowledged a heartbeat."""
        self._checker = checker
        self._rng = rng
        self._app = app
        self._agent = agent
        self._outbound = outbound
        self._stack = contextlib.AsyncExitStack()
        self._starts = 0
        self._cold_until = 0.0
        self._opened_cold: collections.deque[float] = collections.deque()
        """When it accepted flows lately while it was cold."""

    async def start(self, clock_back_s: float = 0.0) -> None:
        """Start an incarnation with its clock set back by ``clock_back_s``."""
        self._starts += 1
        self.name = f"i-{self._app[0]}-{self._starts}"
        self.state = "ready"
        self.flows = {}
        self.become_cold()
        born_ms = int((time.time() - clock_back_s) * 1_000)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(self._app)
        stack = self._stack = contextlib.AsyncExitStack()
        stack.callback(sock.close)
        listener = await asyncio.start_server(_close, *self._app)
        if self._stack is not stack:
            # It has crashed meanwhile.
            listener.close()
            return
        loop = asyncio.get_running_loop()
        loop.add_reader(sock, self._read, sock)
        stack.callback(loop.remove_reader, sock)
        stack.callback(listener.close)
        task = asyncio.create_task(self._announce(born_ms))
        stack.callback(task.cancel)

    async def crash(self) -> None:
        """Stop without an announcement."""
        self.state = "down"
        self.flows = {}
        stack, self._stack = self._stack, contextlib.AsyncExitStack()
        await stack.aclose()

    async def drain(self) -> None:
        """Announce draining, serve for ``DRAIN_S`` seconds, then leave."""
        self.state = "draining"
        await asyncio.sleep(DRAIN_S)
        if self.state != "draining":
            return
        self.flows = {}
        await self._call("Leave", {})
        await self.crash()

    def become_cold(self) -> None:
        """Bear ``COLD_PER_S`` new flows a second only for some time."""
        self._cold_until = time.monotonic() + COLD_S

    def holds(self, flow: FlowId) -> bool:
        """Return whether the flow is open at this server."""
        held = self.flows.get(flow)
        return held is not None and held.open

    async def _announce(self, born_ms: int) -> None:
        sequence = 0
        while True:
            sequence += 1
            state = self.state
            heartbeat = {
                "service": self.service,
                "state": state,
                "slots": 2,
                "cold_remaining_ms": self._cold_remaining_ms(),
                "sequence": sequence,
                "born": born_ms,
            }
            is_acknowledged = await self._call("Heartbeat", heartbeat)
            self.is_known = self.is_known or is_acknowledged
            if is_acknowledged and state == "draining":
                self._checker.on_drain(time.monotonic(), self.name)
            await asyncio.sleep(HEARTBEAT_S)

    def _cold_remaining_ms(self) -> int:
        return int(1_000 * max(0.0, self._cold_until - time.monotonic()))

    def _count_cold(self, now: float) -> None:
        """Check the number of flows in the last second while it is cold."""
        if now >= self._cold_until:
            self._opened_cold.clear()
            return
        opened = self._opened_cold
        opened.append(now)
        while now - opened[0] > 1.0:
            opened.popleft()
        if len(opened) > COLD_FLOWS_MAX:
            what = f"{self.name} received {len(opened)} flows in a second"
            self._checker.add_violation(now, "cold", what)

    async def _call(self, method: str, body: dict[str, object]) -> bool:
        path = f"/-/Instances.{method}/{self.name}"
        client = HttpClient(self._agent)
        req = Request("POST", path, json.dumps(body).encode())
        try:
            return (await client.call(req, CALL_LIMIT_S)).status == 200
        except HttpError:
            return False
        finally:
            client.close()

    def _read(self, sock: socket.socket) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                self._handle(sock, sock.recv(2_048))

    def _handle(self, sock: socket.socket, data: bytes) -> None:
        now = time.monotonic()
        packet = wire.decode(data)
        segment = packet.segment
        if not packet.is_intact or segment.flags & Flag.BOUNCED:
            detail = f"{self.name} received a modified packet: {segment}"
            self._checker.add_violation(now, "whole packets", detail)
            return
        flow = segment.inward
        held = self.flows.get(flow)
        if segment.flags & Flag.SYN:
            if held is None:
                held = ServerFlow(self._rng.randrange(1, 1 << 31))
                self.flows[flow] = held
                # The ack of a SYN counts its retransmissions, which the caller
                # sends 0.2 s and 0.6 s after the first SYN.
                syn_sent_at = now - (0.0, 0.2, 0.6)[segment.ack]
                self._count_cold(now)
                self._checker.on_zone_flow(now, self.zone, self.name)
                port = wire.port_of(flow)
                self._checker.on_flow_opened(
                    now, port, self.name, self.service, syn_sent_at
                )
            flags = Flag.SYN | Flag.ACK
            self._send(sock, flow, flags, held.isn, segment.seq)
        elif held is None or segment.ack != held.isn:
            sock.sendto(wire.bounced(data), self._outbound)
        else:
            held.open = True
            self._serve(sock, flow, held, packet)

    def _serve(
        self,
        sock: socket.socket,
        flow: FlowId,
        held: ServerFlow,
        packet: wire.Packet,
    ) -> None:
        segment = packet.segment
        if segment.flags & Flag.FIN:
            del self.flows[flow]
            return
        if not packet.payload:
            return
        response = held.responses.get(segment.seq)
        if response is None:
            req = packet.payload.decode()
            self._checker.on_request_run(time.monotonic(), req, self.name)
            response = f"{req} by {self.name}".encode()
            held.responses[segment.seq] = response
        if self.hangs:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(
            WORK_S,
            self._send_response,
            sock,
            flow,
            held,
            segment.seq,
            response,
        )

    def _send_response(
        self,
        sock: socket.socket,
        flow: FlowId,
        held: ServerFlow,
        seq: int,
        response: bytes,
    ) -> None:
        if self.flows.get(flow) is held and sock.fileno() >= 0:
            self._send(sock, flow, Flag.ACK, held.isn, seq, response)

    def _send(
        self,
        sock: socket.socket,
        flow: FlowId,
        flags: Flag,
        seq: int,
        ack: int,
        payload: bytes = b"",
    ) -> None:
        data = wire.encode(flow.address, flow.caller, flags, seq, ack, payload)
        sock.sendto(data, self._outbound)


async def _close(
    _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.close()

"""Stand-in for a server beside an agent."""

import asyncio
import json
import random
import socket
import time

from . import http
from . import wire

ACK_LIMIT_S = 1.0
RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
MAX_RETRANSMISSIONS = 8


class ServerFlow:
    """A flow that the server has answered; ``is_open`` after its handshake."""

    def __init__(self, seq: int, client_seq: int) -> None:
        self.seq = seq
        self.expected = client_seq
        self.is_open = False
        self.opened_at = 0.0
        self.received = b""
        self.unacked: tuple[bytes, int] | None = None
        """The last response's datagram, and the ack that confirms it."""


class Server:
    """One address; each start is a new incarnation with a new id."""

    def __init__(
        self,
        record,
        service: str,
        zone: str,
        app: tuple[str, int],
        control: tuple[str, int],
        outbound: tuple[str, int],
        beat_s: float,
        slots: int = 3,
        work_s: float = 0.01,
    ) -> None:
        self.service = service
        self.zone = zone
        self.id = ""
        self.state = "down"
        self.flows: dict[wire.FlowId, ServerFlow] = {}
        self.runs: list[tuple[float, str, str, wire.FlowId]] = []
        """Time, service, request id and flow of everything that ran here."""
        self.taken: list[tuple[float, str, wire.FlowId]] = []
        """Time, service and flow of each opening packet that it took."""
        self.acked_states: list[tuple[float, str]] = []
        self.damaged: list[str] = []
        self.resets_sent: set[wire.FlowId] = set()
        self._record = record
        self._app = app
        self._control = control
        self._outbound = outbound
        self._beat_s = beat_s
        self._slots = slots
        self._work_s = work_s
        self._starts = 0
        self._sequence = 0
        self._born = 0
        self._sock: socket.socket | None = None
        self._tasks: list[asyncio.Task] = []
        self._health: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Its address as text."""
        return f"{self._app[0]}:{self._app[1]}"

    async def start(self, service: str = "") -> None:
        """Start an incarnation; ``service`` tells that it is another one."""
        self.service = service or self.service
        self._starts += 1
        self.id = f"i-{self.service}-{self._app[0]}-{self._starts}"
        self.state = "ready"
        self.flows = {}
        self._sequence = 0
        self._born = time.time_ns() // 1_000_000
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(self._app)
        loop.add_reader(sock, self._read, sock)
        self._sock = sock
        self._health = await asyncio.start_server(self._check, *self._app)
        self._record(f"server {self.id} starts at {self.address}")
        self._tasks = [asyncio.create_task(self._beat())]

    def crash(self) -> None:
        """End without a word; all flows are gone."""
        if self._sock is None:
            return
        asyncio.get_running_loop().remove_reader(self._sock)
        self._sock.close()
        self._sock = None
        self._health.close()
        for task in self._tasks:
            task.cancel()
        self.state, self.flows = "down", {}
        self._record(f"server {self.id} ends at {self.address}")

    async def leave(self) -> None:
        """Say that it leaves, then end."""
        body = json.dumps({"born": self._born}).encode()
        path = f"/-/Instances.Leave/{self.id}"
        status = await http.call(self._control, "POST", path, body)
        self._record(f"server {self.id} said that it leaves: {status}")
        self.crash()

    def heartbeat(self) -> dict:
        """Return the fields of the next heartbeat."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self._slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }

    async def _beat(self) -> None:
        while True:
            state = self.state
            body = json.dumps(self.heartbeat()).encode()
            path = f"/-/Instances.Heartbeat/{self.id}"
            status = await http.call(
                self._control, "POST", path, body, ACK_LIMIT_S
            )
            if 200 <= status < 300:
                if not self.acked_states or self.acked_states[-1][1] != state:
                    self._record(f"server {self.id}: {state} acknowledged")
                self.acked_states.append((time.monotonic(), state))
            await asyncio.sleep(self._beat_s * random.uniform(0.95, 1.05))

    async def _check(self, reader, writer) -> None:
        if await http.read_message(reader) is not None:
            status = 200 if self.state == "ready" else 503
            writer.write(http.message(f"HTTP/1.1 {status} -", b""))
        writer.close()

    def _read(self, sock: socket.socket) -> None:
        while True:
            try:
                datagram = sock.recv(2_048)
            except BlockingIOError:
                return
            self._handle(datagram)

    def _handle(self, datagram: bytes) -> None:
        packet = wire.decode(datagram)
        is_forged = (
            not packet.is_genuine
            or packet.flags & wire.BOUNCED
            or packet.echo
            or packet.flags & (wire.SYN | wire.ACK) == wire.SYN | wire.ACK
        )
        if is_forged:
            self.damaged.append(str(packet))
            self._record(f"server {self.id} got a forged packet: {packet}")
            return
        flow_id = wire.FlowId(packet.src, packet.dst)
        flow = self.flows.get(flow_id)
        if packet.flags & wire.SYN:
            self._take(flow_id, flow, packet)
        elif flow is None or (not flow.is_open and packet.ack != flow.seq):
            self._sock.sendto(wire.bounced(datagram), self._outbound)
        else:
            self._receive(flow_id, flow, packet)

    def _take(self, flow_id, flow, packet) -> None:
        if flow is None:
            flow = ServerFlow(random.randrange(1 << 32), packet.seq)
            self.flows[flow_id] = flow
            self.taken.append((time.monotonic(), self.service, flow_id))
            self._record(f"server {self.id} takes {flow_id.client[1]}")
        if not flow.is_open:
            flags = wire.SYN | wire.ACK
            self._send(flow_id, flags, flow.seq, packet.seq)

    def _receive(self, flow_id, flow, packet) -> None:
        if not flow.is_open:
            flow.is_open = True
            flow.opened_at = time.monotonic()
        if packet.flags & wire.RST:
            del self.flows[flow_id]
            return
        if flow.unacked is not None and packet.ack == flow.unacked[1]:
            flow.unacked = None
        if packet.flags & wire.FIN:
            self._send(flow_id, wire.FIN | wire.ACK, flow.seq, packet.seq)
            del self.flows[flow_id]
            return
        if not packet.data:
            return
        if packet.seq != flow.expected:
            if flow.unacked is not None:
                self._sock.sendto(flow.unacked[0], self._outbound)
            return
        flow.expected = (packet.seq + len(packet.data)) & 0xFFFFFFFF
        flow.received += packet.data
        self._send(flow_id, wire.ACK, flow.seq, flow.expected)
        while b"\r\n\r\n" in flow.received:
            head, _, flow.received = flow.received.partition(b"\r\n\r\n")
            request = head.decode().partition("X-Request-Id: ")[2].split()[0]
            self.runs.append(
                (time.monotonic(), self.service, request, flow_id)
            )
            self._record(f"server {self.id} runs {request}")
            self._tasks.append(
                asyncio.create_task(self._work(flow_id, flow, request))
            )

    async def _work(self, flow_id, flow, request: str) -> None:
        await asyncio.sleep(self._work_s)
        text = f"{request} by {self.id}"
        body = (
            f"HTTP/1.1 200 OK\r\nX-Response-Signature: {text}\r\n"
            f"Content-Length: {len(text)}\r\n\r\n{text}"
        ).encode()
        seq = flow.seq
        flow.seq = (flow.seq + len(body)) & 0xFFFFFFFF
        datagram = wire.encode(
            flow_id.address,
            flow_id.client,
            wire.ACK,
            seq,
            flow.expected,
            body,
        )
        flow.unacked = (datagram, flow.seq)
        wait_s = RETRANSMIT_S
        for _ in range(MAX_RETRANSMISSIONS + 1):
            if self.flows.get(flow_id) is not flow or flow.unacked is None:
                return
            if flow.unacked[0] is not datagram:
                return
            self._sock.sendto(datagram, self._outbound)
            await asyncio.sleep(wait_s)
            wait_s = min(2 * wait_s, MAX_RETRANSMIT_S)

    def _send(self, flow_id, flags, seq, ack) -> None:
        datagram = wire.encode(
            flow_id.address, flow_id.client, flags, seq, ack
        )
        self._sock.sendto(datagram, self._outbound)

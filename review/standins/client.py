"""Stand-in for clients: flows on one host, through the routers."""

import asyncio
import random
import time

from . import wire

SYN_WAITS_S = (0.2, 0.4, 0.8)
"""Waits after a SYN and after each of its two copies."""
RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
RESET_WINDOW = 76_800


class ClientFlow:
    """One flow; a request is one packet, and so is its response."""

    def __init__(self, host: "ClientHost", address: tuple[str, int]) -> None:
        self.id = wire.FlowId((host.ip, host.next_port()), address)
        self.state = "closed"
        """``closed``, ``opening``, ``open``, ``reset`` or ``failed``."""
        self.opened_at = 0.0
        self.last_packet_at = 0.0
        self.longest_idle_s = 0.0
        """Longest time without a packet of either end."""
        self._host = host
        self._seq = random.randrange(1 << 32)
        self._ack = 0
        self._response: bytes | None = None
        self._changed = asyncio.Event()
        host.flows[self.id] = self

    async def open(self) -> bool:
        """Open the flow; return whether a server has accepted it."""
        self.state = "opening"
        for number, wait_s in enumerate(SYN_WAITS_S):
            self._send(wire.SYN, number)
            if await self._wait(lambda: self.state != "opening", wait_s):
                break
        if self.state == "opening":
            self.state = "failed"
        self._host.record(f"client {self.id.client[1]}: flow is {self.state}")
        return self.state == "open"

    async def request(self, name: str, deadline_s: float = 2.5) -> bool:
        """Send a request; return whether its own answer came in time."""
        self._host.record(f"client {self.id.client[1]} sends {name}")
        is_answered = await self._request(name, deadline_s)
        end = "is answered" if is_answered else f"no answer, {self.state}"
        self._host.record(f"client {self.id.client[1]}: {name}: {end}")
        return is_answered

    async def _request(self, name: str, deadline_s: float) -> bool:
        data = (
            f"GET /{name} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {name}\r\n\r\n"
        ).encode()
        self._response = None
        until = time.monotonic() + deadline_s
        seq, wait_s = self._seq, RETRANSMIT_S
        self._seq = (self._seq + len(data)) & 0xFFFFFFFF
        while time.monotonic() < until and self.state == "open":
            self._send(wire.ACK, self._ack, seq, data)
            left_s = min(wait_s, until - time.monotonic())
            if await self._wait(self._is_answered, left_s):
                break
            wait_s = min(2 * wait_s, MAX_RETRANSMIT_S)
        if self._response is None:
            return False
        text = self._response.decode()
        if f"\r\n\r\n{name} by " not in text:
            self._host.foreign.append(f"{name} was answered by {text!r}")
            return False
        return True

    def close(self) -> None:
        """Send a FIN."""
        if self.state == "open":
            self._send(wire.FIN | wire.ACK, self._ack)
            self.state = "closed"

    def receive(self, packet: wire.Packet) -> None:
        """Handle a packet from the address of the flow."""
        self._note_packet()
        if packet.flags & wire.RST:
            self._handle_reset(packet)
        elif packet.flags & wire.SYN:
            if self.state == "opening":
                self.state = "open"
                self.opened_at = time.monotonic()
                self._ack = packet.seq
                self._send(wire.ACK, self._ack)
        elif packet.data and self.state == "open":
            if packet.seq == self._ack:
                self._ack = (packet.seq + len(packet.data)) & 0xFFFFFFFF
                self._response = packet.data
            self._send(wire.ACK, self._ack)
        self._changed.set()

    def _handle_reset(self, packet: wire.Packet) -> None:
        if self.state == "open":
            distance = (packet.seq - self._ack) & 0xFFFFFFFF
            distance = min(distance, (1 << 32) - distance)
            if packet.is_system_reset and distance > RESET_WINDOW:
                return
        elif self.state != "opening":
            return
        was_open = self.state == "open"
        self.state = "reset"
        if packet.is_system_reset and was_open:
            self._host.on_reset(self)

    def _note_packet(self) -> None:
        now = time.monotonic()
        if self.last_packet_at:
            idle_s = now - self.last_packet_at
            self.longest_idle_s = max(self.longest_idle_s, idle_s)
        self.last_packet_at = now

    def _is_answered(self) -> bool:
        return self._response is not None or self.state != "open"

    async def _wait(self, is_done, seconds: float) -> bool:
        until = time.monotonic() + seconds
        while not is_done():
            left_s = until - time.monotonic()
            if left_s <= 0:
                return False
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass
        return True

    def _send(self, flags, ack, seq=None, data=b"") -> None:
        self._note_packet()
        seq = self._seq if seq is None else seq
        datagram = wire.encode(*self.id, flags, seq, ack, data)
        self._host.send(self.id, datagram)


class ClientHost:
    """All clients of one zone, at one address.

    ``on_reset`` is called with each open flow that the system resets.
    """

    def __init__(self, ip: str, sock, send, on_reset, record) -> None:
        self.ip = ip
        self.send = send
        self.on_reset = on_reset
        self.flows: dict[wire.FlowId, ClientFlow] = {}
        self.foreign: list[str] = []
        self.damaged: list[str] = []
        self.record = record
        self._ports = iter(range(20_000, 60_000))
        self._sock = sock
        asyncio.get_running_loop().add_reader(sock, self._read)

    def next_port(self) -> int:
        """Return a port that no flow had before."""
        return next(self._ports)

    def flow(self, address: tuple[str, int]) -> ClientFlow:
        """Return a new flow to an address."""
        return ClientFlow(self, address)

    def _read(self) -> None:
        while True:
            try:
                datagram = self._sock.recv(2_048)
            except BlockingIOError:
                return
            packet = wire.decode(datagram)
            if not packet.is_genuine and not packet.is_system_reset:
                self.damaged.append(str(packet))
                self.record(f"client got a packet nobody wrote: {packet}")
                continue
            flow = self.flows.get(wire.FlowId(packet.dst, packet.src))
            if flow is not None:
                flow.receive(packet)

"""The UDP port of a process: packets of flows and small control messages.

The first byte tells which of the two a datagram carries.
"""

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec

from medlar_core.ids import NodeId
from medlar_core.packets import decode
from medlar_core.packets import encode
from medlar_core.packets import Packet

from .addresses import split_endpoint
from .metrics import Metrics

PACKET_MARK = b"P"
CONTROL_MARK = b"C"
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


class Datagrams(asyncio.DatagramProtocol):
    """Takes datagrams and hands on what they carry."""

    def __init__(
        self,
        on_packet: Callable[[Packet], None],
        on_control: Callable[[bytes], None],
        metrics: Metrics,
    ) -> None:
        self._on_packet = on_packet
        self._on_control = on_control
        self._metrics = metrics
        self._transport: asyncio.DatagramTransport | None = None

    async def listen(self, node: NodeId) -> None:
        """Open the port.

        :raises OSError: if the address is in use or not of this machine.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_endpoint(node)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, to send by."""
        # The loop's transport is one in all but its class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand on a packet or a control message, or count it as bad."""
        match data[:1]:
            case b"P":
                self._packet(data[1:])
            case b"C":
                self._on_control(data[1:])
            case _:
                self._metrics.bad_input("datagram", "unknown-mark")

    def error_received(self, exc: Exception) -> None:
        """Count what the system tells of earlier datagrams."""
        self._metrics.bad_input("datagram", "socket-error")

    def send_packet(self, dst: str, packet: Packet) -> None:
        """Send a packet to ``ip:port``."""
        self._send(dst, PACKET_MARK + encode(packet))

    def send_control(self, dst: str, sealed: bytes) -> None:
        """Send a sealed control message to ``ip:port``."""
        self._send(dst, CONTROL_MARK + sealed)

    def close(self) -> None:
        """Close the port."""
        if self._transport is not None:
            self._transport.close()

    def _packet(self, data: bytes) -> None:
        try:
            packet = decode(data)
        except msgspec.DecodeError:
            self._metrics.bad_input("packet", "malformed")
            return
        self._on_packet(packet)

    def _send(self, dst: str, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, split_endpoint(dst))

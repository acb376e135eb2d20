"""UDP socket of a process, for packets and small control messages.

The first byte of a datagram marks which of the two it carries.
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


class DatagramSocket(asyncio.DatagramProtocol):
    """Decodes received datagrams and passes them to callbacks."""

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
        """Open the socket.

        :raises OSError: if the address is in use or not local.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_endpoint(node)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        # The event loop's transport has the methods but not the base class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Dispatch a packet or control message; count any other datagram."""
        match data[:1]:
            case b"P":
                self._packet(data[1:])
            case b"C":
                self._on_control(data[1:])
            case _:
                self._metrics.bad_input("datagram", "unknown-mark")

    def error_received(self, exc: Exception) -> None:
        """Count an error that the system reports for an earlier datagram."""
        self._metrics.bad_input("datagram", "socket-error")

    def send_packet(self, dst: str, packet: Packet) -> None:
        """Send a packet to ``ip:port``."""
        self._send(dst, PACKET_MARK + encode(packet))

    def send_control(self, dst: str, sealed: bytes) -> None:
        """Send a sealed control message to ``ip:port``."""
        self._send(dst, CONTROL_MARK + sealed)

    def close(self) -> None:
        """Close the socket."""
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

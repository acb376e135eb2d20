"""UDP ports that hand on what they read in turns."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket

DATAGRAMS_A_TURN = 64
"""Read at once, so that other work gets its turn under load."""
DATAGRAM_BYTES = 65_535

OnDatagram = Callable[[bytes, str], None]
"""Takes a datagram and the ``ip:port`` that sent it."""


class UdpPort:
    """One UDP socket; ``dropped`` counts what could not be sent."""

    def __init__(self, sock: socket.socket, on_datagram: OnDatagram) -> None:
        self._sock = sock
        self._on_datagram = on_datagram
        self.dropped = 0

    def send(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram; it may be lost, as on any network."""
        try:
            self._sock.sendto(data, (host, port))
        except OSError:
            self.dropped += 1

    def read(self) -> None:
        """Read what has come, up to a limit a turn."""
        for _ in range(DATAGRAMS_A_TURN):
            try:
                data, (host, port) = self._sock.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue  # an earlier datagram met a closed port
            self._on_datagram(data, f"{host}:{port}")


@contextlib.contextmanager
def udp_port(address: str, on_datagram: OnDatagram) -> Iterator[UdpPort]:
    """Listen at ``ip:port`` while the context is open.

    :raises OSError: if the address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.bind((host, int(port)))
        opened = UdpPort(sock, on_datagram)
        loop.add_reader(sock, opened.read)
        try:
            yield opened
        finally:
            loop.remove_reader(sock)
    finally:
        sock.close()

"""UDP ports that hand on what they read in turns."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket
import time

from ..addresses import split

DATAGRAMS_A_TURN = 64
"""Read at once, so that other work gets its turn under load."""
BURST_S = 0.002
"""Datagrams this close together are read in one turn; a lone one is not
followed by a second read, which would find nothing."""
DATAGRAM_BYTES = 65_535

DISCARDED_AT_MOST = 20_000
"""More than a socket's buffer holds; bounds the turn."""

OnDatagram = Callable[[bytes, str], None]
"""Takes a datagram and the ``ip:port`` that sent it."""


def _since_boot() -> float:
    """Return seconds that count on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class UdpPort:
    """One UDP socket.

    ``dropped`` counts what could not be sent, ``stale`` what was thrown
    away because the process had stood still for ``stale_s`` seconds.
    """

    def __init__(
        self,
        sock: socket.socket,
        on_datagram: OnDatagram,
        stale_s: float = float("inf"),
        clock: Callable[[], float] = _since_boot,
    ) -> None:
        self._sock = sock
        self._on_datagram = on_datagram
        self._stale_s = stale_s
        self._clock = clock
        self._ran_at = clock()
        self._read_at = float("-inf")
        self.dropped = 0
        self.stale = 0

    def send(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram; it may be lost, as on any network."""
        try:
            self._sock.sendto(data, (host, port))
        except OSError:
            self.dropped += 1

    def runs(self) -> None:
        """Note that the process runs."""
        self._ran_at = self._clock()

    def read(self) -> None:
        """Read what has come, up to a limit a turn."""
        began = self._clock()
        if began - self._ran_at > self._stale_s:
            self._discard()
        is_burst = began - self._read_at < BURST_S
        self._ran_at = self._read_at = began
        for _ in range(DATAGRAMS_A_TURN if is_burst else 1):
            try:
                data, (host, port) = self._sock.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue  # an earlier datagram met a closed port
            self._on_datagram(data, f"{host}:{port}")

    def _discard(self) -> None:
        """Throw away what came while the process stood still."""
        for _ in range(DISCARDED_AT_MOST):
            try:
                self._sock.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue
            self.stale += 1


@contextlib.contextmanager
def udp_port(
    address: str, on_datagram: OnDatagram, stale_s: float = float("inf")
) -> Iterator[UdpPort]:
    """Listen at ``ip:port`` while the context is open.

    :raises OSError: if the address cannot be bound.
    """
    host, port = split(address)
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.bind((host, port))
        opened = UdpPort(sock, on_datagram, stale_s)
        loop.add_reader(sock, opened.read)
        try:
            yield opened
        finally:
            loop.remove_reader(sock)
    finally:
        sock.close()

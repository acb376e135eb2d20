"""UDP sockets read by the event loop in bounded batches."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket
import time

from ..addresses import split_endpoint

DATAGRAMS_PER_READ = 64
"""Limit of one batch, so that other work is not starved under load."""
BURST_S = 0.002
"""Reads closer together than this are part of a burst and read a whole
batch. Otherwise one datagram is read, which avoids a second system call
that would find an empty buffer."""
DATAGRAM_BYTES = 65_535

DISCARD_LIMIT = 20_000
"""More datagrams than a socket buffer holds; bounds the loop."""

OnDatagram = Callable[[bytes, str], None]
"""Called with a datagram and the ``ip:port`` of its sender."""


def _since_boot() -> float:
    """Return seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class UdpPort:
    """UDP socket that discards datagrams queued during a long pause.

    A pause is a time in which the process does not run, such as a suspend.
    If one is longer than ``max_pause_s`` seconds, the datagrams that were
    queued during it are discarded and counted in ``discarded``.
    ``send_failures`` counts datagrams that could not be sent.
    """

    def __init__(
        self,
        sock: socket.socket,
        on_datagram: OnDatagram,
        max_pause_s: float = float("inf"),
        clock: Callable[[], float] = _since_boot,
    ) -> None:
        self._sock = sock
        self._on_datagram = on_datagram
        self._max_pause_s = max_pause_s
        self._clock = clock
        self._running_at = clock()
        self._read_at = float("-inf")
        self.send_failures = 0
        self.discarded = 0

    def send(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram; it may be lost, as on any network."""
        try:
            self._sock.sendto(data, (host, port))
        except OSError:
            self.send_failures += 1

    def mark_running(self) -> None:
        """Record that the process is running, for pause detection."""
        self._running_at = self._clock()

    def read(self) -> None:
        """Read received datagrams, up to the limit of a batch."""
        now = self._clock()
        if now - self._running_at > self._max_pause_s:
            self._discard_queued()
        is_burst = now - self._read_at < BURST_S
        self._running_at = self._read_at = now
        for _ in range(DATAGRAMS_PER_READ if is_burst else 1):
            try:
                data, (host, port) = self._sock.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue  # ICMP error: an earlier send hit a closed port
            self._on_datagram(data, f"{host}:{port}")

    def _discard_queued(self) -> None:
        """Discard the datagrams queued during a pause of the process."""
        for _ in range(DISCARD_LIMIT):
            try:
                self._sock.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue
            self.discarded += 1


@contextlib.contextmanager
def udp_port(
    address: str, on_datagram: OnDatagram, max_pause_s: float = float("inf")
) -> Iterator[UdpPort]:
    """Listen at ``ip:port`` while the context is open.

    :raises OSError: if the address cannot be bound.
    """
    host, port = split_endpoint(address)
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.bind((host, port))
        udp = UdpPort(sock, on_datagram, max_pause_s)
        loop.add_reader(sock, udp.read)
        try:
            yield udp
        finally:
            loop.remove_reader(sock)
    finally:
        sock.close()

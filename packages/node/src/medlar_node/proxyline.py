"""PROXY protocol, version 1, at the start of each request connection.

A balancer accepts connections for all addresses on one port, so the
fabric sends the caller and the called address in a PROXY line.
"""

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec

from .metrics import Metrics

MAX_LINE_BYTES = 107
"""Longest line that version 1 of the protocol allows."""


class Destination(msgspec.Struct, frozen=True):
    """The caller and the address that it called, each ``ip:port``."""

    caller: str
    address: str


def parse_proxy_line(line: bytes) -> Destination | None:
    """Return the content of a PROXY line, or None if it is malformed."""
    words = line.decode("ascii", "replace").split()
    if len(words) != 6 or words[:2] != ["PROXY", "TCP4"]:
        return None
    _, _, caller, address, caller_port, port = words
    if not (caller_port.isdigit() and port.isdigit()):
        return None
    return Destination(f"{caller}:{caller_port}", f"{address}:{port}")


class ProxyLineProtocol(asyncio.Protocol):
    """Reads the PROXY line, then passes the data to an HTTP protocol."""

    def __init__(
        self,
        make_http: Callable[[], asyncio.Protocol],
        destinations: dict[asyncio.BaseTransport, Destination],
        metrics: Metrics,
    ) -> None:
        self._make_http = make_http
        self._destinations = destinations
        self._metrics = metrics
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self._http: asyncio.Protocol | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport until the line has been received."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Buffer the line; pass the data after it to the HTTP protocol."""
        if self._http is not None:
            self._http.data_received(data)
            return
        self._buffer += data
        line, found, rest = self._buffer.partition(b"\r\n")
        if not found and len(self._buffer) <= MAX_LINE_BYTES:
            return
        destination = parse_proxy_line(line) if found else None
        if destination is None:
            self._refuse()
            return
        self._switch(destination, rest)

    def eof_received(self) -> bool | None:
        """Report the end of the caller's stream to the HTTP protocol."""
        return self._http.eof_received() if self._http else None

    def pause_writing(self) -> None:
        """Pause the HTTP protocol: the send buffer is full."""
        if self._http is not None:
            self._http.pause_writing()

    def resume_writing(self) -> None:
        """Resume the HTTP protocol: the send buffer has drained."""
        if self._http is not None:
            self._http.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection's destination and report its end."""
        if self._transport is not None:
            self._destinations.pop(self._transport, None)
        if self._http is not None:
            self._http.connection_lost(exc)

    def _switch(self, destination: Destination, rest: bytes) -> None:
        assert self._transport is not None
        self._destinations[self._transport] = destination
        self._http = self._make_http()
        self._http.connection_made(self._transport)
        if rest:
            self._http.data_received(rest)

    def _refuse(self) -> None:
        self._metrics.bad_input("request", "no-proxy-line")
        if self._transport is not None:
            self._transport.close()

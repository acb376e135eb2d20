"""The fabric's line before each request connection.

The fabric tells the caller and the address it called by the PROXY
protocol, version 1, since a balancer takes connections for all
addresses on one port.
"""

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec

from .metrics import Metrics

MAX_LINE_BYTES = 107
"""Longest line that version 1 of the protocol allows."""


class Destination(msgspec.Struct, frozen=True):
    """Who called (``ip:port``) and which address (``ip:port``)."""

    caller: str
    address: str


def parse_proxy_line(line: bytes) -> Destination | None:
    """Return what a PROXY line tells, or None if it is no such line."""
    words = line.decode("ascii", "replace").split()
    if len(words) != 6 or words[:2] != ["PROXY", "TCP4"]:
        return None
    _, _, caller, address, caller_port, port = words
    if not (caller_port.isdigit() and port.isdigit()):
        return None
    return Destination(f"{caller}:{caller_port}", f"{address}:{port}")


class ProxyLineProtocol(asyncio.Protocol):
    """Reads the line, then gives the connection to an HTTP protocol."""

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
        """Keep the transport until the line has come."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Collect the line; pass on what comes after it."""
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
        """Pass on the end of the caller's stream."""
        return self._http.eof_received() if self._http else None

    def pause_writing(self) -> None:
        """Pass on that the caller reads slowly."""
        if self._http is not None:
            self._http.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the caller reads again."""
        if self._http is not None:
            self._http.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
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

"""The local server of an agent: packets, health and open flows."""

import asyncio
import contextlib

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
import msgspec

from medlar_core.events import ServerConnections
from medlar_core.events import ServerProbed
from medlar_core.events import ServerSent
from medlar_core.packets import decode
from medlar_core.packets import encode
from medlar_core.packets import Packet

from .addresses import split_endpoint
from .process import Process

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 2.0
FAILED_PROBES_UNTIL_DOWN = 2
"""Consecutive connection errors after which the server counts as dead."""


class LocalServerClient(asyncio.DatagramProtocol):
    """Exchanges packets with the local server and probes its health."""

    def __init__(self, process: Process, server: str) -> None:
        self._process = process
        self._server = server
        self._transport: asyncio.DatagramTransport | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the socket and start probing the server."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, remote_addr=split_endpoint(self._server)
        )
        self._task = asyncio.create_task(self._probe_loop())

    async def stop(self) -> None:
        """Stop probing and close the socket."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        if self._transport is not None:
            self._transport.close()

    def deliver(self, packet: Packet) -> None:
        """Deliver a packet to the server."""
        if self._transport is not None:
            self._transport.sendto(encode(packet))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Dispatch a packet that the server sends to a caller."""
        try:
            packet = decode(data)
        except msgspec.DecodeError:
            self._process.metrics.bad_input("server", "malformed")
            return
        self._process.dispatch(ServerSent(packet))

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: the probe decides whether the server is alive."""

    async def _probe_loop(self) -> None:
        timeout = ClientTimeout(total=PROBE_TIMEOUT_S)
        failures = 0
        connections_known = False
        async with ClientSession(timeout=timeout) as session:
            while True:
                probe = await self._probe_health(session)
                failures = 0 if probe.alive else failures + 1
                if probe.alive and not connections_known:
                    connections_known = await self._read_connections(session)
                if probe.alive or failures >= FAILED_PROBES_UNTIL_DOWN:
                    self._process.dispatch(probe)
                    connections_known = connections_known and probe.alive
                await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe_health(self, session: ClientSession) -> ServerProbed:
        """Probe the server; only a connection error counts as dead."""
        try:
            async with session.get(f"http://{self._server}/health") as res:
                return ServerProbed(alive=True, ready=res.status == 200)
        except TimeoutError:
            return ServerProbed(alive=True, ready=False)
        except (ClientError, OSError):
            return ServerProbed(alive=False, ready=False)

    async def _read_connections(self, session: ClientSession) -> bool:
        url = f"http://{self._server}/connections"
        try:
            async with session.get(url) as res:
                pairs = msgspec.json.decode(
                    await res.read(), type=tuple[tuple[str, str], ...]
                )
        except (ClientError, OSError, TimeoutError, msgspec.DecodeError):
            return False
        self._process.dispatch(ServerConnections(pairs))
        return True

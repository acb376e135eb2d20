"""Stand-in of a backend server: slots for requests, UDP for feeds.

Requests are HTTP. The response holds the digest of the complete body and
``/runs`` how often each piece of work ran. Closing the connection cancels
the work. Feeds are packets from the agent; each data packet is echoed.
"""

import asyncio
import collections
import hashlib
import math
import random
from typing import cast

from aiohttp import web
import msgspec

from medlar_core.packets import decode
from medlar_core.packets import encode
from medlar_core.packets import Flag
from medlar_core.packets import Packet

from .serving import json_response
from .serving import serve_until_stopped

WORK_HEADER = "X-Medlar-Work"
CALL_HEADER = "X-Call"
KIND_HEADER = "Medlarstage-Kind"
MAX_BODY_BYTES = 8 * 1024 * 1024
SIGMA = 0.5
"""Spread of the log-normal service times."""
LOAD_SAMPLE_PERIOD_S = 0.1
DEFAULT_MEAN_S = 0.04

Means = dict[str, float]
"""Mean service time of each kind of work, in seconds."""


class ServerFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Injected faults of the server.

    ``slow`` multiplies service times (a cold start), ``shed`` refuses
    all work, ``lag_s`` delays the reported load in seconds, and ``lies``
    makes the load endpoint always report an idle server.
    """

    slow: float = 1.0
    shed: bool = False
    healthy: bool = True
    lag_s: float = 0.0
    lies: bool = False


class WorkResult(msgspec.Struct, frozen=True):
    """Response to a request: the work, its server and the body's digest."""

    work: str
    server: str
    kind: str
    digest: str
    size: int


class LoadResponse(msgspec.Struct, frozen=True):
    """Response of the load endpoint: busy slots and all slots."""

    busy: int
    slots: int


class RunCount(msgspec.Struct, frozen=True):
    """How often each keyed work ran here, and flows opened so far.

    ``calls`` counts by the id that a caller gives each of its calls, so
    that a retry under the same key is distinguished from the first call.
    """

    runs: dict[str, int]
    calls: dict[str, int]
    cancelled: int
    opened: int


class Server:
    """State of one server: slots, what ran, and its open flows."""

    def __init__(self, name: str, slots: int, means: Means, seed: int) -> None:
        self.name = name
        self.means = means
        self.slots = asyncio.Semaphore(slots)
        self.faults = ServerFaults()
        self.busy = 0
        self.size = slots
        self.cancelled = 0
        self.opened = 0
        self.runs: collections.Counter[str] = collections.Counter()
        self.calls: collections.Counter[str] = collections.Counter()
        self.flows: set[tuple[str, str]] = set()
        self._rng = random.Random(seed)
        self._load_samples: collections.deque[tuple[float, LoadResponse]]
        self._load_samples = collections.deque(maxlen=1000)

    def service_s(self, mean_s: float) -> float:
        """Return a service time around a mean, in seconds."""
        mu = math.log(mean_s) - SIGMA * SIGMA / 2
        return self._rng.lognormvariate(mu, SIGMA) * self.faults.slow

    async def work(self, work: str, call: str, kind: str) -> None:
        """Hold a slot for the service time of one piece of work."""
        mean_s = self.means.get(kind, DEFAULT_MEAN_S)
        async with self.slots:
            self.runs[work] += 1
            self.calls[call] += 1
            self.busy += 1
            try:
                await asyncio.sleep(self.service_s(mean_s))
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
            finally:
                self.busy -= 1

    def sample(self, now: float) -> None:
        """Record the load, for delayed load responses."""
        self._load_samples.append((now, LoadResponse(self.busy, self.size)))

    def load(self, now: float) -> LoadResponse:
        """Return the response of the load endpoint at a time."""
        if self.faults.lies:
            return LoadResponse(0, self.size)
        old = [
            load
            for at, load in self._load_samples
            if at <= now - self.faults.lag_s
        ]
        return old[-1] if old else LoadResponse(self.busy, self.size)

    def packet(self, packet: Packet) -> Packet | None:
        """Process a packet of a feed and return the response, if any."""
        pair = (packet.caller, packet.address)
        if packet.flags & (Flag.FIN | Flag.RST):
            self.flows.discard(pair)
            return self._reply(packet, Flag.FIN | Flag.ACK, b"")
        if packet.flags & Flag.SYN:
            self.opened += pair not in self.flows
            self.flows.add(pair)
            return self._reply(packet, Flag.SYN | Flag.ACK, b"")
        if pair not in self.flows:
            return self._reply(packet, Flag.RST, b"")
        if not packet.payload:
            return None
        return self._reply(packet, Flag.ACK, packet.payload)

    def _reply(self, packet: Packet, flags: Flag, payload: bytes) -> Packet:
        return Packet(packet.caller, packet.address, int(flags), payload)


class _Feeds(asyncio.DatagramProtocol):
    def __init__(self, server: Server) -> None:
        self._server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            packet = decode(data)
        except msgspec.DecodeError:
            return
        reply = self._server.packet(packet)
        if reply is not None:
            self._transport.sendto(encode(reply), addr)


def make_app(server: Server) -> web.Application:
    """Return the HTTP service of a server."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_get("/health", _health)
    app.router.add_get("/load", _load)
    app.router.add_get("/connections", _connections)
    app.router.add_get("/runs", _runs)
    app.router.add_post("/v1/faults", _faults)
    app.router.add_route("*", "/{path:.*}", _run)
    app[_SERVER] = server
    return app


_SERVER: web.AppKey[Server] = web.AppKey("server", Server)


async def _health(req: web.Request) -> web.Response:
    healthy = req.app[_SERVER].faults.healthy
    return web.Response(status=200 if healthy else 503)


async def _load(req: web.Request) -> web.Response:
    now = asyncio.get_running_loop().time()
    return json_response(req.app[_SERVER].load(now))


async def _connections(req: web.Request) -> web.Response:
    return json_response(sorted(req.app[_SERVER].flows))


async def _runs(req: web.Request) -> web.Response:
    server = req.app[_SERVER]
    return json_response(
        RunCount(
            dict(server.runs),
            dict(server.calls),
            server.cancelled,
            server.opened,
        )
    )


async def _faults(req: web.Request) -> web.Response:
    try:
        found = msgspec.json.decode(await req.read(), type=ServerFaults)
    except msgspec.DecodeError as exc:
        return web.Response(status=400, text=str(exc))
    req.app[_SERVER].faults = found
    return json_response(found)


async def _run(req: web.Request) -> web.Response:
    server = req.app[_SERVER]
    if server.faults.shed:
        return web.Response(status=503, headers={"Retry-After": "1"})
    digest = hashlib.sha256()
    size = 0
    async for chunk in req.content.iter_chunked(64 * 1024):
        digest.update(chunk)
        size += len(chunk)
    work = req.headers.get(WORK_HEADER, "")
    kind = req.headers.get(KIND_HEADER, "")
    await server.work(work, req.headers.get(CALL_HEADER, ""), kind)
    return json_response(
        WorkResult(work, server.name, kind, digest.hexdigest(), size)
    )


async def serve(
    host: str, port: int, slots: int, means: Means, seed: int
) -> None:
    """Serve a backend server until the process is stopped."""
    server = Server(f"{host}:{port}", slots, means, seed)
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: _Feeds(server), local_addr=(host, port)
    )
    sampling = asyncio.create_task(_sample(server))
    try:
        await serve_until_stopped(make_app(server), host, port, "server")
    finally:
        sampling.cancel()


async def _sample(server: Server) -> None:
    loop = asyncio.get_running_loop()
    while True:
        server.sample(loop.time())
        await asyncio.sleep(LOAD_SAMPLE_PERIOD_S)

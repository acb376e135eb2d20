"""Stand-in of the fabric: forwards packets to random ready balancers.

Callers send datagrams (see segments) to an address of a service; each is
forwarded to a random ready balancer. Request addresses are TCP: a whole
connection is forwarded to a random ready balancer, preceded by a PROXY
protocol version 1 line with the caller and the address.
"""

import asyncio
import collections
import contextlib
import random

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import web
import msgspec

from medlar_core.config.model import Address
from medlar_core.config.model import Configuration
from medlar_core.config.model import Protocol
from medlar_core.ids import NodeId
from medlar_core.packets import decode
from medlar_core.packets import encode
from medlar_core.packets import Packet

from .segments import pack
from .segments import Segment
from .segments import unpack
from .serving import json_response
from .serving import serve_until_stopped

PROBE_PERIOD_S = 0.3
PROBE_TIMEOUT_S = 1.0
COPY_BYTES = 64 * 1024

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Entry(msgspec.Struct, frozen=True):
    """A balancer known to the fabric: its node and request port."""

    node: NodeId
    request_port: int


class FabricCount(msgspec.Struct):
    """Numbers of forwarded, returned and undeliverable packets."""

    packets: int = 0
    returned: int = 0
    connections: int = 0
    nowhere: int = 0


class Fabric:
    """Distributes packets and connections at random over ready balancers."""

    def __init__(self, entries: tuple[Entry, ...], seed: int) -> None:
        self.entries = entries
        self.ready: list[Entry] = []
        self.count = FabricCount()
        self._rng = random.Random(seed)
        self._sockets: dict[str, asyncio.DatagramTransport] = {}
        self._cluster_socket: asyncio.DatagramTransport | None = None

    async def listen(self, host: str, port: int) -> None:
        """Open the port that balancers and agents return packets to."""
        loop = asyncio.get_running_loop()
        self._cluster_socket, _ = await loop.create_datagram_endpoint(
            lambda: _ClusterProtocol(self), local_addr=(host, port)
        )

    async def open(self, address: Address) -> None:
        """Accept packets or connections for an address of a service."""
        match address.protocol:
            case Protocol.FLOW:
                loop = asyncio.get_running_loop()
                sock, _ = await loop.create_datagram_endpoint(
                    lambda: _CallerProtocol(self, address.text),
                    local_addr=(address.ip, address.port),
                )
                self._sockets[address.text] = sock
            case Protocol.REQUEST:
                await asyncio.start_server(
                    self._splice, address.ip, address.port, backlog=1024
                )

    def from_caller(self, caller: str, address: str, data: bytes) -> None:
        """Forward a caller's datagram to a random ready balancer."""
        segment = unpack(data)
        entry = self._pick()
        if segment is None or entry is None or self._cluster_socket is None:
            self.count.nowhere += 1
            return
        packet = Packet(caller, address, segment.flags, segment.payload)
        host, port = entry.node.rsplit(":", 1)
        self.count.packets += 1
        self._cluster_socket.sendto(b"P" + encode(packet), (host, int(port)))

    def to_caller(self, data: bytes) -> None:
        """Forward a returned packet to its caller."""
        try:
            packet = decode(data[1:])
        except msgspec.DecodeError:
            self.count.nowhere += 1
            return
        sock = self._sockets.get(packet.address)
        if sock is None:
            self.count.nowhere += 1
            return
        self.count.returned += 1
        host, port = packet.caller.rsplit(":", 1)
        segment = Segment(packet.flags, packet.payload)
        sock.sendto(pack(segment), (host, int(port)))

    async def probe(self) -> None:
        """Poll the readiness of each balancer until cancelled."""
        timeout = ClientTimeout(total=PROBE_TIMEOUT_S)
        async with ClientSession(timeout=timeout) as session:
            while True:
                asked = [_ready(session, entry) for entry in self.entries]
                found = await asyncio.gather(*asked)
                self.ready = [entry for entry in found if entry]
                await asyncio.sleep(PROBE_PERIOD_S)

    def _pick(self) -> Entry | None:
        return self._rng.choice(self.ready) if self.ready else None

    async def _connect(self) -> Streams | None:
        """Connect to a random ready balancer, skipping unreachable ones."""
        while (entry := self._pick()) is not None:
            host = entry.node.rsplit(":", 1)[0]
            try:
                return await asyncio.open_connection(host, entry.request_port)
            except OSError:
                self.ready = [known for known in self.ready if known != entry]
        return None

    async def _splice(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        opened = await self._connect()
        if opened is None:
            self.count.nowhere += 1
            writer.close()
            return
        inner, outer = opened
        self.count.connections += 1
        outer.write(_proxy_line(writer))
        await asyncio.gather(_copy(reader, outer), _copy(inner, writer))


def _proxy_line(writer: asyncio.StreamWriter) -> bytes:
    caller, caller_port = writer.get_extra_info("peername")[:2]
    address, port = writer.get_extra_info("sockname")[:2]
    line = f"PROXY TCP4 {caller} {address} {caller_port} {port}\r\n"
    return line.encode()


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(COPY_BYTES):
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
            return
    writer.close()


async def _ready(session: ClientSession, entry: Entry) -> Entry | None:
    try:
        async with session.get(f"http://{entry.node}/readyz") as res:
            return entry if res.status == 200 else None
    except (ClientError, TimeoutError):
        return None


class _CallerProtocol(asyncio.DatagramProtocol):
    def __init__(self, fabric: Fabric, address: str) -> None:
        self._fabric = fabric
        self._address = address

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        caller = f"{addr[0]}:{addr[1]}"
        self._fabric.from_caller(caller, self._address, data)


class _ClusterProtocol(asyncio.DatagramProtocol):
    def __init__(self, fabric: Fabric) -> None:
        self._fabric = fabric

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._fabric.to_caller(data)


def _addresses(cfg: Configuration) -> collections.abc.Iterator[Address]:
    for service in cfg.services:
        yield from service.addresses


def make_app(fabric: Fabric) -> web.Application:
    """Return the HTTP service for the fabric's counters and balancers."""
    app = web.Application()

    async def count(req: web.Request) -> web.Response:
        return json_response(fabric.count)

    async def entries(req: web.Request) -> web.Response:
        found = msgspec.json.decode(await req.read(), type=tuple[Entry, ...])
        fabric.entries = found
        return json_response(found)

    app.router.add_get("/v1/count", count)
    app.router.add_post("/v1/entries", entries)
    return app


async def serve(
    cfg: Configuration,
    entries: tuple[Entry, ...],
    host: str,
    port: int,
    seed: int,
) -> None:
    """Serve the fabric until the process is stopped."""
    fabric = Fabric(entries, seed)
    await fabric.listen(host, port)
    for address in _addresses(cfg):
        await fabric.open(address)
    probing = asyncio.create_task(fabric.probe())
    try:
        await serve_until_stopped(make_app(fabric), host, port, "fabric")
    finally:
        probing.cancel()

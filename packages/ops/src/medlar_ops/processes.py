"""Client of the fleet's processes over HTTP and sealed datagrams."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterable
import contextlib
import socket
import time
from typing import Any

import aiohttp
import msgspec

from medlar_core.ids import NodeId
from medlar_core.keys.envelope import seal
from medlar_core.keys.key import Key
from medlar_core.keys.seal import Sealer
from medlar_core.timeline.hlc import Stamp

TIMEOUT_S = 3.0
MAX_CONCURRENT = 64
"""Status requests in flight at the same time."""
MAX_DISCOVERY_ROUNDS = 4
"""Rounds of querying processes found in earlier responses."""
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
DATAGRAM_LIMIT_BYTES = 1200
CONTROL_MARK = b"C"
SENDER = NodeId("medlarctl")


class Member(msgspec.Struct, frozen=True):
    """A process in another process's membership."""

    id: NodeId
    state: str = ""


class ProcessStatus(msgspec.Struct, frozen=True):
    """The status of a process; fields that medlarctl ignores are omitted."""

    node: NodeId
    role: str
    place: str
    ready: bool
    version: int
    open_flows: int = 0
    open_work: int = 0
    service: str = ""
    state: str = ""
    servers: tuple[Member, ...] = ()
    balancers: tuple[Member, ...] = ()


class NoResponse(msgspec.Struct, frozen=True):
    """A process that did not respond, and why."""

    node: NodeId
    why: str


class Response(msgspec.Struct, frozen=True):
    """The status code and text of a process's response."""

    status: int
    text: str


class Processes:
    """Sends requests to processes; sealed ones need the fleet's keys."""

    def __init__(
        self, session: aiohttp.ClientSession, keys: tuple[Key, ...] = ()
    ) -> None:
        self._session = session
        self._limiter = asyncio.Semaphore(MAX_CONCURRENT)
        epoch = time.time_ns() // 1000
        self._sealer = Sealer(keys, SENDER, epoch) if keys else None

    async def statuses(
        self, nodes: Iterable[NodeId], discover: bool = True
    ) -> list[ProcessStatus | NoResponse]:
        """Query processes and, with ``discover``, all members they know."""
        found: dict[NodeId, ProcessStatus | NoResponse] = {}
        pending = set(nodes)
        for _ in range(MAX_DISCOVERY_ROUNDS if discover else 1):
            results = await asyncio.gather(
                *(self.status(node) for node in sorted(pending))
            )
            found.update((status.node, status) for status in results)
            pending = members(results) - found.keys()
            if not pending:
                break
        return [found[node] for node in sorted(found)]

    async def status(self, node: NodeId) -> ProcessStatus | NoResponse:
        """Query the status of a process."""
        try:
            async with (
                self._limiter,
                self._session.get(f"http://{node}/v1/status") as resp,
            ):
                resp.raise_for_status()
                data = await resp.content.read(MAX_RESPONSE_BYTES)
                status = msgspec.json.decode(data, type=ProcessStatus)
        except msgspec.DecodeError as exc:
            return NoResponse(node, f"malformed response: {exc}")
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return NoResponse(node, str(exc) or "no response in time")
        return msgspec.structs.replace(status, node=node)

    async def post(
        self, node: NodeId, path: str, body: Any
    ) -> Response | NoResponse:
        """Send a sealed body to a process by HTTP POST."""
        sealed = self._seal(node, msgspec.json.encode(body))
        try:
            async with self._session.post(
                f"http://{node}{path}", data=sealed
            ) as resp:
                text = await resp.text()
                return Response(resp.status, text.strip())
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return NoResponse(node, str(exc) or "no response in time")

    async def send(self, node: NodeId, msg: msgspec.Struct) -> None:
        """Send a control message; a datagram may be lost."""
        sealed = self._seal(node, msgspec.json.encode(msg))
        if len(sealed) > DATAGRAM_LIMIT_BYTES:
            await self.post(node, "/v1/control", msg)
            return
        host, _, port = node.rpartition(":")
        with (
            contextlib.suppress(OSError),
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock,
        ):
            sock.sendto(CONTROL_MARK + sealed, (host, int(port)))

    def _seal(self, node: NodeId, body: bytes) -> bytes:
        if self._sealer is None:
            raise ValueError("keys: got none; expected the fleet's keys")
        now = time.time()
        return seal(self._sealer, now, Stamp(int(now * 1000), 0), body, node)


@contextlib.asynccontextmanager
async def processes(keys: tuple[Key, ...] = ()) -> AsyncIterator[Processes]:
    """Open a session with the fleet and close it on exit."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield Processes(session, keys)


def members(results: Iterable[ProcessStatus | NoResponse]) -> set[NodeId]:
    """Return the members listed in statuses."""
    return {
        member.id
        for status in results
        if isinstance(status, ProcessStatus)
        for member in (*status.servers, *status.balancers)
    }

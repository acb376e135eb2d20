"""Calls to processes of the fleet over HTTP and sealed datagrams."""

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
AT_ONCE = 64
"""Processes asked at the same time."""
ROUNDS = 4
"""Rounds of asking processes that earlier answers named."""
MAX_ANSWER_BYTES = 8 * 1024 * 1024
DATAGRAM_LIMIT_BYTES = 1200
CONTROL_MARK = b"C"
TOOL = NodeId("medlarctl")


class Member(msgspec.Struct, frozen=True):
    """A process that another one knows."""

    id: NodeId
    state: str = ""


class ProcessStatus(msgspec.Struct, frozen=True):
    """What a process tells of itself; fields not shown are left out."""

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
    """A process that did not answer, and why."""

    node: NodeId
    why: str


class Answer(msgspec.Struct, frozen=True):
    """The status code and text that a process answered."""

    status: int
    text: str


class Processes:
    """Asks processes; sealed calls need the fleet's keys."""

    def __init__(
        self, session: aiohttp.ClientSession, keys: tuple[Key, ...] = ()
    ) -> None:
        self._session = session
        self._slots = asyncio.Semaphore(AT_ONCE)
        epoch = time.time_ns() // 1000
        self._sealer = Sealer(keys, TOOL, epoch) if keys else None

    async def statuses(
        self, nodes: Iterable[NodeId], learn: bool = True
    ) -> list[ProcessStatus | NoResponse]:
        """Ask processes, and with ``learn`` all members they know."""
        found: dict[NodeId, ProcessStatus | NoResponse] = {}
        wanted = set(nodes)
        for _ in range(ROUNDS if learn else 1):
            answers = await asyncio.gather(
                *(self.status(node) for node in sorted(wanted))
            )
            found.update((answer.node, answer) for answer in answers)
            wanted = members(answers) - found.keys()
            if not wanted:
                break
        return [found[node] for node in sorted(found)]

    async def status(self, node: NodeId) -> ProcessStatus | NoResponse:
        """Ask one process how it is."""
        try:
            async with (
                self._slots,
                self._session.get(f"http://{node}/v1/status") as resp,
            ):
                resp.raise_for_status()
                data = await resp.content.read(MAX_ANSWER_BYTES)
                status = msgspec.json.decode(data, type=ProcessStatus)
        except msgspec.DecodeError as exc:
            return NoResponse(node, f"malformed answer: {exc}")
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return NoResponse(node, str(exc) or "no answer in time")
        return msgspec.structs.replace(status, node=node)

    async def post(
        self, node: NodeId, path: str, body: Any
    ) -> Answer | NoResponse:
        """Post a sealed body to a process."""
        sealed = self._seal(node, msgspec.json.encode(body))
        try:
            async with self._session.post(
                f"http://{node}{path}", data=sealed
            ) as resp:
                text = await resp.text()
                return Answer(resp.status, text.strip())
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return NoResponse(node, str(exc) or "no answer in time")

    async def tell(self, node: NodeId, msg: msgspec.Struct) -> None:
        """Send a control message, which may be lost."""
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
            raise ValueError("expected keys, got none")
        now = time.time()
        return seal(self._sealer, now, Stamp(int(now * 1000), 0), body, node)


@contextlib.asynccontextmanager
async def processes(keys: tuple[Key, ...] = ()) -> AsyncIterator[Processes]:
    """Open a session with the fleet and close it at the end."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield Processes(session, keys)


def members(answers: Iterable[ProcessStatus | NoResponse]) -> set[NodeId]:
    """Return the members that statuses name."""
    return {
        member.id
        for answer in answers
        if isinstance(answer, ProcessStatus)
        for member in (*answer.servers, *answer.balancers)
    }

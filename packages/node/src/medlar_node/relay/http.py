"""Small HTTP/1.1 client and server on asyncio streams and h11."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import h11
import msgspec

from ..addresses import split

READ_BYTES = 65_536
IDLE_CONNECTIONS = 4
BODY_LIMIT_BYTES = 8 * 1024 * 1024
JSON = "application/json"


class Request(msgspec.Struct, frozen=True):
    """One request; ``target`` is path and query."""

    method: str
    target: str
    body: bytes = b""


class Response(msgspec.Struct, frozen=True):
    """A whole answer."""

    status: int
    body: bytes = b""
    kind: str = JSON


class HttpError(Exception):
    """A call got no whole answer; what was asked may have been done."""


Handler = Callable[[Request], Awaitable[Response]]


_Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class _Connection:
    """One connection of either side."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        side: type[h11.CLIENT] | type[h11.SERVER],
    ) -> None:
        self.h11 = h11.Connection(side)
        self._reader = reader
        self._writer = writer

    async def send(self, *events: h11.Event) -> None:
        for event in events:
            self._writer.write(self.h11.send(event) or b"")
        await self._writer.drain()

    async def next_event(self) -> _Event:
        while True:
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.h11.receive_data(await self._reader.read(READ_BYTES))

    async def body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > BODY_LIMIT_BYTES:
                    raise HttpError(f"body of over {BODY_LIMIT_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise HttpError("connection closed within a body")

    def reusable(self) -> bool:
        if self.h11.our_state is not h11.DONE:
            return False
        if self.h11.their_state is not h11.DONE:
            return False
        self.h11.start_next_cycle()
        return True

    def close(self) -> None:
        self._writer.close()


class HttpClient:
    """Calls one peer; keeps connections that ended their call well."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._idle: list[_Connection] = []

    async def call(self, req: Request, limit_s: float) -> Response:
        """Return the answer to a request.

        :raises HttpError: if none came within ``limit_s`` seconds.
        """
        try:
            async with asyncio.timeout(limit_s):
                return await self._call(req)
        except TimeoutError as exc:
            raise HttpError(f"no answer within {limit_s} s") from exc
        except (OSError, h11.ProtocolError) as exc:
            raise HttpError(str(exc) or type(exc).__name__) from exc

    def close(self) -> None:
        """Close the connections that are kept."""
        while self._idle:
            self._idle.pop().close()

    async def _call(self, req: Request) -> Response:
        conn = self._idle.pop() if self._idle else await self._connect()
        kept = False
        try:
            headers = [
                ("Host", self._address),
                ("Content-Type", JSON),
                ("Content-Length", str(len(req.body))),
            ]
            head = h11.Request(
                method=req.method, target=req.target, headers=headers
            )
            body = [h11.Data(data=req.body)] if req.body else []
            await conn.send(head, *body, h11.EndOfMessage())
            answer = await conn.next_event()
            if not isinstance(answer, h11.Response):
                raise HttpError("connection closed without an answer")
            response = Response(answer.status_code, await conn.body())
            kept = conn.reusable() and len(self._idle) < IDLE_CONNECTIONS
            if kept:
                self._idle.append(conn)
            return response
        finally:
            if not kept:
                conn.close()

    async def _connect(self) -> _Connection:
        host, port = split(self._address)
        reader, writer = await asyncio.open_connection(host, port)
        return _Connection(reader, writer, h11.CLIENT)


@contextlib.asynccontextmanager
async def serving(address: str, handler: Handler) -> AsyncIterator[None]:
    """Answer requests at ``ip:port`` while the context is open.

    :raises OSError: if the address cannot be listened on.
    """

    tasks: set[asyncio.Task[None]] = set()

    def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A coroutine here is logged as an error if it is cancelled.
        task = asyncio.create_task(_converse(reader, writer, handler))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    host, port = split(address)
    server = await asyncio.start_server(connected, host, port)
    try:
        yield
    finally:
        server.close()


async def _converse(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: Handler,
) -> None:
    """Answer the requests of one connection."""
    conn = _Connection(reader, writer, h11.SERVER)
    with contextlib.suppress(
        OSError, h11.ProtocolError, HttpError, asyncio.CancelledError
    ):
        # A peer that breaks off has nothing more to be told.
        while await _answer(conn, handler):
            pass
    conn.close()


async def _answer(conn: _Connection, handler: Handler) -> bool:
    """Answer one request; return whether another may follow."""
    event = await conn.next_event()
    if not isinstance(event, h11.Request):
        return False
    body = await conn.body()
    req = Request(event.method.decode(), event.target.decode(), body)
    res = await handler(req)
    headers = [
        ("Content-Type", res.kind),
        ("Content-Length", str(len(res.body))),
    ]
    head = h11.Response(status_code=res.status, headers=headers)
    parts = [h11.Data(data=res.body)] if res.body else []
    await conn.send(head, *parts, h11.EndOfMessage())
    return conn.reusable()

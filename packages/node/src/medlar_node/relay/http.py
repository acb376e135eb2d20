"""Minimal HTTP/1.1 client and server on asyncio streams and h11."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import h11
import msgspec

from ..addresses import split_endpoint
from ..logs import part_logger

READ_BYTES = 65_536
IDLE_CONNECTIONS_MAX = 4
BODY_BYTES_MAX = 8 * 1024 * 1024
TRANSFER_MAX_S = 8.0
"""Longest time between the time limit of a call and the end of its answer
while that keeps arriving: a large answer takes long on a slow link."""
JSON = "application/json"

log = part_logger("http")


class Request(msgspec.Struct, frozen=True):
    """HTTP request; ``target`` is path and query."""

    method: str
    target: str
    body: bytes = b""


class Response(msgspec.Struct, frozen=True):
    """Complete HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = JSON


class HttpError(Exception):
    """No complete response received; the request may have been executed."""


Handler = Callable[[Request], Awaitable[Response]]


_Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class _Connection:
    """Connection of a client or a server."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        side: type[h11.CLIENT] | type[h11.SERVER],
    ) -> None:
        self.h11 = h11.Connection(side)
        self._reader = reader
        self._writer = writer
        self._idle_read: asyncio.Task[bytes] | None = None
        self.on_data: Callable[[], None] = lambda: None
        """Called whenever bytes have arrived."""

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
            self.on_data()

    async def read_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > BODY_BYTES_MAX:
                    raise HttpError(f"body of over {BODY_BYTES_MAX} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise HttpError("connection closed within a body")

    def prepare_reuse(self) -> bool:
        if self.h11.our_state is not h11.DONE:
            return False
        if self.h11.their_state is not h11.DONE:
            return False
        if self.h11.trailing_data[0]:
            return False
        self.h11.start_next_cycle()
        return True

    def watch_idle(self) -> None:
        """Begin to watch an idle connection for bytes that nobody expects."""
        self._idle_read = asyncio.create_task(self._reader.read(1))

    async def is_quiet(self) -> bool:
        """Stop watching; return whether nothing came and it is still open.

        A peer that answers twice would otherwise answer the next call with
        the second copy.
        """
        if self._idle_read is None:
            return True
        self._idle_read.cancel()
        await asyncio.wait([self._idle_read])
        return self._idle_read.cancelled()

    def close(self) -> None:
        if self._idle_read is not None:
            self._idle_read.cancel()
        self._writer.close()


class HttpClient:
    """Client of one peer; reuses connections after complete responses."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._idle: list[_Connection] = []

    async def call(self, req: Request, limit_s: float) -> Response:
        """Return the response to a request.

        :raises HttpError: if nothing of the response was received for
            ``limit_s`` seconds, or it is not complete ``TRANSFER_MAX_S``
            later than that.
        """
        loop = asyncio.get_running_loop()
        last_at = loop.time() + limit_s + TRANSFER_MAX_S
        try:
            async with asyncio.timeout(limit_s) as timeout:

                def prolong() -> None:
                    if not timeout.expired():
                        end_at = min(loop.time() + limit_s, last_at)
                        timeout.reschedule(end_at)

                return await self._call(req, prolong)
        except TimeoutError as exc:
            raise HttpError(f"no answer within {limit_s} s") from exc
        except (OSError, h11.ProtocolError) as exc:
            raise HttpError(str(exc) or type(exc).__name__) from exc

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _call(
        self, req: Request, on_data: Callable[[], None]
    ) -> Response:
        conn = await self._open_connection()
        conn.on_data = on_data
        is_reused = False
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
            start = await conn.next_event()
            if not isinstance(start, h11.Response):
                raise HttpError("connection closed without an answer")
            response = Response(start.status_code, await conn.read_body())
            is_reused = (
                conn.prepare_reuse() and len(self._idle) < IDLE_CONNECTIONS_MAX
            )
            if is_reused:
                conn.watch_idle()
                self._idle.append(conn)
            return response
        finally:
            if not is_reused:
                conn.close()

    async def _open_connection(self) -> _Connection:
        """Return an idle connection that is in order, or a new one."""
        while self._idle:
            conn = self._idle.pop()
            if await conn.is_quiet():
                return conn
            conn.close()
        return await self._connect()

    async def _connect(self) -> _Connection:
        host, port = split_endpoint(self._address)
        reader, writer = await asyncio.open_connection(host, port)
        return _Connection(reader, writer, h11.CLIENT)


@contextlib.asynccontextmanager
async def serving(address: str, handler: Handler) -> AsyncIterator[None]:
    """Serve requests at ``ip:port`` while the context is open.

    :raises OSError: if the address cannot be bound.
    """

    tasks: set[asyncio.Task[None]] = set()

    def on_connect(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # asyncio logs an error if a coroutine callback is cancelled, so
        # the callback is a function that starts the task itself.
        task = asyncio.create_task(_serve_connection(reader, writer, handler))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    host, port = split_endpoint(address)
    server = await asyncio.start_server(on_connect, host, port)
    try:
        yield
    finally:
        server.close()


async def _serve_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: Handler,
) -> None:
    """Serve the requests of one connection."""
    conn = _Connection(reader, writer, h11.SERVER)
    with contextlib.suppress(
        OSError, h11.ProtocolError, HttpError, asyncio.CancelledError
    ):
        # Errors of the connection are ignored: no response can be sent.
        while await _serve_request(conn, handler):
            pass
    conn.close()


async def _serve_request(conn: _Connection, handler: Handler) -> bool:
    """Serve one request; return whether the connection can be reused."""
    event = await conn.next_event()
    if not isinstance(event, h11.Request):
        return False
    body = await conn.read_body()
    req = Request(event.method.decode(), event.target.decode(), body)
    res = await _handle(handler, req)
    headers = [
        ("Content-Type", res.content_type),
        ("Content-Length", str(len(res.body))),
    ]
    head = h11.Response(status_code=res.status, headers=headers)
    parts = [h11.Data(data=res.body)] if res.body else []
    await conn.send(head, *parts, h11.EndOfMessage())
    return conn.prepare_reuse()


async def _handle(handler: Handler, req: Request) -> Response:
    """Return the handler's response; its errors fail this request alone."""
    try:
        return await handler(req)
    except Exception:
        log.exception("request failed", extra={"target": req.target})
        return Response(500)

"""Store stand-in with faults, and the proxies through which it is called."""

import asyncio
import contextlib
import enum
import time

from medlar_node.relay.http import Request
from medlar_node.relay.http import Response

from ..standin import StoreStandin

DELAY_S = 0.6
CHUNK_BYTES = 65_536


class FaultyStore:
    """Store that can refuse calls, delay responses, compact and revoke."""

    def __init__(self) -> None:
        self.backend = StoreStandin()
        self.busy_until = 0.0
        self.delay_responses_until = 0.0
        self.compacted_revision = 0
        """Watches from an earlier revision are refused with status 410."""
        self._calls = 0

    async def answer(self, req: Request) -> Response:
        """Respond to a call, or fail it."""
        now = time.monotonic()
        self.backend.expire(now)
        self._calls += 1
        if now < self.busy_until:
            return Response(429 if self._calls % 2 else 503)
        if "/kv-watch" in req.target and self._is_compacted(req.target):
            return Response(410)
        res = await self.backend.answer(req)
        if now < self.delay_responses_until and req.method == "POST":
            await asyncio.sleep(self.delay_responses_until - now)
        return res

    def compact(self) -> None:
        """Compact the history up to the current revision."""
        self.compacted_revision = self.backend.revision

    def revoke(self) -> None:
        """Revoke all leases and remove their items."""
        self.backend.expire(float("inf"))

    def _is_compacted(self, target: str) -> bool:
        after = target.partition("after=")[2].partition("&")[0]
        return int(after) < self.compacted_revision


class ProxyMode(enum.Enum):
    """How a proxy treats the bytes of a connection."""

    OPEN = "open"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one way"
    """Requests are forwarded, responses are dropped."""


class Proxy:
    """TCP proxy between one process and the store."""

    def __init__(self, store: tuple[str, int]) -> None:
        self.mode = ProxyMode.OPEN
        self._store = store
        self._writers: set[asyncio.StreamWriter] = set()

    @contextlib.asynccontextmanager
    async def serving(self, host: str, port: int):
        """Listen while the context is open."""
        listener = await asyncio.start_server(self._connected, host, port)
        try:
            yield
        finally:
            listener.close()
            self.reset()

    def reset(self) -> None:
        """Reset the connections that are open."""
        for writer in self._writers:
            writer.transport.abort()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self.mode is ProxyMode.RESET:
                return
            store_reader, store_writer = await asyncio.open_connection(
                *self._store
            )
            self._writers.add(store_writer)
            try:
                await asyncio.gather(
                    self._copy(reader, store_writer, (ProxyMode.SILENCE,)),
                    self._copy(
                        store_reader,
                        writer,
                        (ProxyMode.SILENCE, ProxyMode.ONE_WAY),
                    ),
                )
            finally:
                self._writers.discard(store_writer)
                store_writer.transport.abort()
        except OSError:
            pass  # either end may close the connection
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropped: tuple[ProxyMode, ...],
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.mode is ProxyMode.DELAY:
                await asyncio.sleep(DELAY_S)
            if self.mode not in dropped:
                writer.write(data)
        writer.transport.abort()

"""The platform's store with faults, and the proxies that lead to it."""

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
    """A store that can refuse, lose answers, forget and revoke."""

    def __init__(self) -> None:
        self.held = StoreStandin()
        self.busy_until = 0.0
        self.loses_until = 0.0
        self.forgotten = 0
        """Watches from before this revision are told to read anew."""
        self._calls = 0

    async def answer(self, req: Request) -> Response:
        """Answer a call, or fail it."""
        now = time.monotonic()
        self.held.expire(now)
        self._calls += 1
        if now < self.busy_until:
            return Response(429 if self._calls % 2 else 503)
        if "/kv-watch" in req.target and self._is_forgotten(req.target):
            return Response(410)
        res = await self.held.answer(req)
        if now < self.loses_until and req.method == "POST":
            await asyncio.sleep(self.loses_until - now)
        return res

    def forget(self) -> None:
        """Drop the history."""
        self.forgotten = self.held.revision

    def revoke(self) -> None:
        """End all leases at once; their items go."""
        self.held.expire(float("inf"))

    def _is_forgotten(self, target: str) -> bool:
        after = target.partition("after=")[2].partition("&")[0]
        return int(after) < self.forgotten


class Way(enum.Enum):
    """What a proxy does with the bytes of a connection."""

    OPEN = "open"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one way"
    """Calls arrive, answers do not."""


class Proxy:
    """Leads one process to the store."""

    def __init__(self, store: tuple[str, int]) -> None:
        self.way = Way.OPEN
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
            if self.way is Way.RESET:
                return
            inner, outer = await asyncio.open_connection(*self._store)
            self._writers.add(outer)
            try:
                await asyncio.gather(
                    self._copy(reader, outer, (Way.SILENCE,)),
                    self._copy(inner, writer, (Way.SILENCE, Way.ONE_WAY)),
                )
            finally:
                self._writers.discard(outer)
                outer.transport.abort()
        except OSError:
            pass  # either end went, as it may
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropped: tuple[Way, ...],
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.way is Way.DELAY:
                await asyncio.sleep(DELAY_S)
            if self.way not in dropped:
                writer.write(data)
        writer.transport.abort()

"""Streaming of a caller's request body to an agent."""

from collections.abc import AsyncIterator
from typing import Protocol

MAX_REPLAY_BYTES = 64 * 1024
"""Bodies up to this size are buffered, so that a retry can resend them."""
CHUNK_BYTES = 64 * 1024


class BodyNotReplayable(Exception):
    """The body was partly sent and not buffered, or its caller aborted."""


class Stream(Protocol):
    """Source of a body, such as aiohttp's ``StreamReader``."""

    def iter_chunked(self, n: int) -> AsyncIterator[bytes]:
        """Return an iterator over chunks of at most ``n`` bytes."""
        ...


class Body:
    """Reads a body once; buffers a small one for replay.

    ``not_replayable`` is true if no further attempt can send all of it.
    """

    def __init__(self, stream: Stream) -> None:
        self.not_replayable = False
        self._stream = stream
        self._replay_buffer = bytearray()
        self._started = False
        self._ended = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from the start.

        :raises BodyNotReplayable: if it can't be sent again from the start.
        """
        if self.not_replayable or (self._started and not self._ended):
            self.not_replayable = True
            raise BodyNotReplayable
        if self._ended:
            yield bytes(self._replay_buffer)
            return
        self._started = True
        async for chunk in self._stream.iter_chunked(CHUNK_BYTES):
            self._buffer_chunk(chunk)
            yield chunk
        self._ended = True

    def _buffer_chunk(self, chunk: bytes) -> None:
        if len(self._replay_buffer) + len(chunk) > MAX_REPLAY_BYTES:
            self.not_replayable = True
            self._replay_buffer.clear()
        if not self.not_replayable:
            self._replay_buffer += chunk

"""A caller's body on its way to an agent, with back-pressure."""

from collections.abc import AsyncIterator
from typing import Protocol

MAX_REPLAY_BYTES = 64 * 1024
"""Bodies up to this size are kept, so that a retry can send them again."""
CHUNK_BYTES = 64 * 1024


class BodyNotReplayable(Exception):
    """The body was sent on in part already, or its caller broke off."""


class Stream(Protocol):
    """What bodies are read from."""

    def iter_chunked(self, n: int) -> AsyncIterator[bytes]:
        """Return an iterator over chunks of at most ``n`` bytes."""
        ...


class Body:
    """Reads a body once; replays it while it is small.

    ``not_replayable`` tells that no further attempt can send it whole.
    """

    def __init__(self, stream: Stream) -> None:
        self.not_replayable = False
        self._stream = stream
        self._replay_buffer = bytearray()
        self._started = False
        self._ended = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start.

        :raises BodyNotReplayable: if it can't be sent from its start any more.
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

"""A caller's body on its way to an agent, with back-pressure."""

from collections.abc import AsyncIterator
from typing import Protocol

KEEP_BYTES = 64 * 1024
"""Bodies up to this size are kept, so that a retry can send them again."""
CHUNK_BYTES = 64 * 1024


class BodyGone(Exception):
    """The body was sent on in part already, or its caller broke off."""


class Stream(Protocol):
    """What bodies are read from."""

    def iter_chunked(self, n: int) -> AsyncIterator[bytes]:
        """Return an iterator over chunks of at most ``n`` bytes."""
        ...


class Body:
    """Reads a body once; replays it while it is small.

    ``gone`` tells that no further attempt can send it whole.
    """

    def __init__(self, stream: Stream) -> None:
        self.gone = False
        self._stream = stream
        self._kept = bytearray()
        self._started = False
        self._ended = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start.

        :raises BodyGone: if it can't be sent from its start any more.
        """
        if self.gone or (self._started and not self._ended):
            self.gone = True
            raise BodyGone
        if self._ended:
            yield bytes(self._kept)
            return
        self._started = True
        async for chunk in self._stream.iter_chunked(CHUNK_BYTES):
            self._keep(chunk)
            yield chunk
        self._ended = True

    def _keep(self, chunk: bytes) -> None:
        if len(self._kept) + len(chunk) > KEEP_BYTES:
            self.gone = True
            self._kept.clear()
        if not self.gone:
            self._kept += chunk

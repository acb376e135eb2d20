import asyncio
from collections.abc import AsyncIterator

import pytest

from medlar_node.bodies import Body
from medlar_node.bodies import BodyNotReplayable
from medlar_node.bodies import MAX_REPLAY_BYTES


class Chunks:
    def __init__(self, *chunks: bytes) -> None:
        self._chunks = chunks

    async def iter_chunked(self, n: int) -> AsyncIterator[bytes]:
        for chunk in self._chunks:
            yield chunk


async def read(body: Body) -> bytes:
    return b"".join([chunk async for chunk in body.chunks()])


def test_small_body_is_resent_by_retry() -> None:
    body = Body(Chunks(b"ab", b"c"))
    assert asyncio.run(read(body)) == b"abc"
    assert asyncio.run(read(body)) == b"abc"


def test_large_body_is_sent_once() -> None:
    body = Body(Chunks(b"x" * MAX_REPLAY_BYTES, b"y"))
    assert len(asyncio.run(read(body))) == MAX_REPLAY_BYTES + 1
    assert body.not_replayable
    with pytest.raises(BodyNotReplayable):
        asyncio.run(read(body))


def test_partly_sent_body_is_not_resent() -> None:
    async def scenario() -> None:
        body = Body(Chunks(b"ab", b"cd"))
        async for _ in body.chunks():
            break
        await read(body)

    with pytest.raises(BodyNotReplayable):
        asyncio.run(scenario())

import asyncio
import socket

import pytest

from medlar_node.relay.http import HttpClient
from medlar_node.relay.http import HttpError
from medlar_node.relay.http import Request
from medlar_node.relay.http import Response
from medlar_node.relay.http import serving


async def echo(req: Request) -> Response:
    return Response(200, req.method.encode() + req.body)


def address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def test_calls_share_a_connection():
    where = address()
    connections = []

    async def run():
        async with serving(where, echo):
            client = HttpClient(where)
            for _ in range(3):
                res = await client.call(Request("POST", "/", b"x"), 1.0)
                assert res.body == b"POSTx"
                connections.append(client._idle[0])
            client.close()
            await asyncio.sleep(0.01)

    asyncio.run(run())
    assert len(set(map(id, connections))) == 1


def test_a_server_that_never_answers_is_given_up():
    where = address()

    async def hang(req: Request) -> Response:
        await asyncio.sleep(9.0)
        return Response(200)

    async def run():
        async with serving(where, hang):
            await HttpClient(where).call(Request("GET", "/"), 0.1)

    with pytest.raises(HttpError, match=r"0\.1 s"):
        asyncio.run(run())


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        b"not http\r\n\r\n",
    ],
)
def test_a_broken_answer_is_an_error(sent):
    where = address()
    host, _, port = where.rpartition(":")

    async def answer(reader, writer):
        await reader.read(100)
        writer.write(sent)
        await writer.drain()
        writer.close()

    async def run():
        server = await asyncio.start_server(answer, host, int(port))
        async with server:
            await HttpClient(where).call(Request("GET", "/"), 1.0)

    with pytest.raises(HttpError):
        asyncio.run(run())


def test_nobody_listening_is_an_error():
    with pytest.raises(HttpError):
        asyncio.run(HttpClient(address()).call(Request("GET", "/"), 1.0))


@pytest.mark.filterwarnings("ignore::ResourceWarning")
def test_a_connection_that_comes_at_the_end_is_no_error(caplog):
    async def end_after(turns: int) -> None:
        loop = asyncio.get_running_loop()
        where = address()
        host, _, port = where.rpartition(":")
        with socket.socket() as caller:
            caller.setblocking(False)
            async with serving(where, echo):
                await loop.sock_connect(caller, (host, int(port)))
                for _ in range(turns):
                    await asyncio.sleep(0)

    for turns in range(12):
        asyncio.run(end_after(turns))
    assert [r.getMessage() for r in caplog.records] == []

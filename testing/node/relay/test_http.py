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


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def test_calls_reuse_connection():
    address = free_address()
    connections = []

    async def run():
        async with serving(address, echo):
            client = HttpClient(address)
            for _ in range(3):
                res = await client.call(Request("POST", "/", b"x"), 1.0)
                assert res.body == b"POSTx"
                connections.append(client._idle[0])
            client.close()
            await asyncio.sleep(0.01)

    asyncio.run(run())
    assert len(set(map(id, connections))) == 1


def test_call_without_response_times_out():
    address = free_address()

    async def hang(req: Request) -> Response:
        await asyncio.sleep(9.0)
        return Response(200)

    async def run():
        async with serving(address, hang):
            await HttpClient(address).call(Request("GET", "/"), 0.1)

    with pytest.raises(HttpError, match=r"0\.1 s"):
        asyncio.run(run())


async def call_slow_link(parts, gap_s, limit_s):
    """Return the response to a call whose response comes part by part."""

    async def answer(reader, writer):
        await reader.read(100)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {parts}\r\n\r\n"
        writer.write(head.encode())
        for _ in range(parts):
            await asyncio.sleep(gap_s)
            if not reader.at_eof():
                writer.write(b"x")
        writer.close()
        ended.set()

    ended = asyncio.Event()
    address = free_address()
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(answer, host, int(port))
    client = HttpClient(address)
    try:
        return await client.call(Request("GET", "/"), limit_s)
    finally:
        client.close()
        await ended.wait()
        server.close()
        await asyncio.sleep(0.01)


def test_a_response_that_keeps_arriving_may_take_longer_than_the_limit():
    res = asyncio.run(call_slow_link(parts=10, gap_s=0.1, limit_s=0.4))
    assert res.body == 10 * b"x"


def test_a_response_that_stalls_midway_times_out():
    with pytest.raises(HttpError, match=r"0\.2 s"):
        asyncio.run(call_slow_link(parts=2, gap_s=1.0, limit_s=0.2))


def test_a_response_that_never_ends_times_out(monkeypatch):
    monkeypatch.setattr("medlar_node.relay.http.TRANSFER_MAX_S", 0.3)
    with pytest.raises(HttpError):
        asyncio.run(call_slow_link(parts=20, gap_s=0.05, limit_s=0.2))


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        b"not http\r\n\r\n",
    ],
)
def test_invalid_response_raises(sent):
    address = free_address()
    host, _, port = address.rpartition(":")

    async def answer(reader, writer):
        await reader.read(100)
        writer.write(sent)
        await writer.drain()
        writer.close()

    async def run():
        server = await asyncio.start_server(answer, host, int(port))
        async with server:
            await HttpClient(address).call(Request("GET", "/"), 1.0)

    with pytest.raises(HttpError):
        asyncio.run(run())


def test_refused_connection_raises():
    with pytest.raises(HttpError):
        asyncio.run(HttpClient(free_address()).call(Request("GET", "/"), 1.0))


@pytest.mark.filterwarnings("ignore::ResourceWarning")
def test_connection_during_shutdown_logs_no_error(caplog):
    async def end_after(loop_turns: int) -> None:
        loop = asyncio.get_running_loop()
        address = free_address()
        host, _, port = address.rpartition(":")
        with socket.socket() as caller:
            caller.setblocking(False)
            async with serving(address, echo):
                await loop.sock_connect(caller, (host, int(port)))
                for _ in range(loop_turns):
                    await asyncio.sleep(0)

    for loop_turns in range(12):
        asyncio.run(end_after(loop_turns))
    assert [r.getMessage() for r in caplog.records] == []


def answers_per_call(repeat_after_s, *, closes=False):
    """Return the answers to two calls of a server that repeats the first.

    It sends the second copy after a time, or at once with the first if
    that is None. If ``closes`` is set, it closes the connection instead.
    """
    address = free_address()
    host, _, port = address.rpartition(":")
    calls = []

    def response(text):
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n"
        return head.encode() + text.encode()

    async def answer(reader, writer):
        while await reader.read(1_000):
            calls.append("call")
            data = response(f"answer {len(calls)}")
            if len(calls) == 1 and repeat_after_s is None:
                data *= 2
            writer.write(data)
            if len(calls) == 1 and repeat_after_s is not None:
                await asyncio.sleep(repeat_after_s)
                if closes:
                    break
                writer.write(data)
        writer.close()

    async def run():
        server = await asyncio.start_server(answer, host, int(port))
        async with server:
            client = HttpClient(address)
            answers = []
            for _ in range(2):
                res = await client.call(Request("GET", "/"), 1.0)
                answers.append(res.body)
                await asyncio.sleep(0.1)
            client.close()
            await asyncio.sleep(0.1)  # the server sees the end of the file
        return answers

    return asyncio.run(run())


@pytest.mark.parametrize("repeat_after_s", [None, 0.01])
def test_a_second_copy_of_an_answer_answers_no_other_call(repeat_after_s):
    answers = answers_per_call(repeat_after_s)
    assert answers == [b"answer 1", b"answer 2"]


def test_a_connection_that_was_closed_while_idle_is_not_used():
    answers = answers_per_call(0.01, closes=True)
    assert answers == [b"answer 1", b"answer 2"]


def test_an_error_of_a_handler_is_answered_and_the_next_call_is_served(caplog):
    address = free_address()

    async def fail_once(req: Request) -> Response:
        if req.target == "/fail":
            raise KeyError("unexpected")
        return Response(200)

    async def run():
        async with serving(address, fail_once):
            client = HttpClient(address)
            statuses = [
                (await client.call(Request("GET", target), 1.0)).status
                for target in ("/fail", "/")
            ]
            client.close()
            await asyncio.sleep(0.01)
            return statuses

    assert asyncio.run(run()) == [500, 200]
    assert "request failed" in caplog.text

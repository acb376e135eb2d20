"""The event loop that reads UDP sockets between its rounds."""

import asyncio
import contextlib
import socket
import time

import pytest

from medlar_node.relay.loop import DatagramLoop
from medlar_node.relay.loop import reading


@pytest.fixture
def pair():
    """Return a socket and one that sends to it."""
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            )
            for _ in range(2)
        ]
        socks[0].bind(("127.0.0.1", 0))
        socks[0].setblocking(False)
        socks[1].connect(socks[0].getsockname())
        yield socks


@pytest.fixture(params=[DatagramLoop, asyncio.SelectorEventLoop])
def run(request):
    """Return a function that runs a coroutine in one of the two loops."""

    def run_coroutine(coro):
        with asyncio.Runner(loop_factory=request.param) as runner:
            return runner.run(asyncio.wait_for(coro, 10.0))

    return run_coroutine


def test_datagrams_are_read(run, pair):
    sock, sender = pair
    received = []

    async def receive():
        with reading(sock, lambda: received.append(sock.recv(100))):
            for number in range(3):
                sender.send(b"%d" % number)
                await asyncio.sleep(0.01)
        sender.send(b"after")
        await asyncio.sleep(0.01)

    run(receive())
    assert received == [b"0", b"1", b"2"]


def test_timers_run_during_a_flood_of_datagrams(run, pair):
    sock, sender = pair
    times = []

    def read():
        sock.recv(100)
        sender.send(b"again")

    async def tick():
        with reading(sock, read):
            sender.send(b"first")
            for _ in range(5):
                await asyncio.sleep(0.02)
                times.append(time.monotonic())

    started_at = time.monotonic()
    run(tick())
    assert len(times) == 5
    assert times[-1] - started_at < 5.0


def test_a_task_that_a_datagram_starts_runs_at_once(run, pair):
    sock, sender = pair
    started = []

    async def work():
        started.append(time.monotonic())

    def read():
        sock.recv(100)
        started.append(time.monotonic())
        tasks.append(asyncio.get_running_loop().create_task(work()))

    tasks = []

    async def wait():
        with reading(sock, read):
            sender.send(b"start")
            await asyncio.sleep(3.0)

    run(wait())
    assert started[1] - started[0] < 1.0


def test_a_timer_that_a_datagram_sets_is_not_late(run, pair):
    sock, sender = pair
    times = []

    def read():
        sock.recv(100)
        loop = asyncio.get_running_loop()
        times.append(time.monotonic())
        loop.call_later(0.01, lambda: times.append(time.monotonic()))

    async def wait():
        with reading(sock, read):
            sender.send(b"start")
            await asyncio.sleep(3.0)

    run(wait())
    assert times[1] - times[0] < 1.0


def test_an_error_of_a_reader_is_reported_and_reading_continues(run, pair):
    sock, sender = pair
    received, reported = [], []

    def read():
        received.append(sock.recv(100))
        raise ValueError("bad datagram")

    async def receive():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: reported.append(str(context["exception"]))
        )
        with reading(sock, read):
            for _ in range(2):
                sender.send(b"x")
                await asyncio.sleep(0.01)

    run(receive())
    assert received == [b"x", b"x"]
    assert reported == ["bad datagram"] * 2

import socket

import pytest

from medlar_node.relay.udp import UdpPort


class Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def sockets():
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as here,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as there,
    ):
        here.setblocking(False)
        here.bind(("127.0.0.1", 0))
        there.connect(here.getsockname())
        yield here, there


def test_what_came_is_handed_on_with_its_sender(sockets):
    here, there = sockets
    came = []
    there.send(b"a")
    UdpPort(here, lambda data, src: came.append((data, src))).read()
    host, port = there.getsockname()
    assert came == [(b"a", f"{host}:{port}")]


def test_what_came_while_the_process_stood_still_is_thrown_away(sockets):
    here, there = sockets
    came = []
    clock = Clock()
    port = UdpPort(here, lambda data, _: came.append(data), 0.8, clock)
    for _ in range(200):
        there.send(b"old")
    clock.now += 4.0
    port.read()
    assert (came, port.stale) == ([], 200)
    there.send(b"new")
    port.read()
    assert came == [b"new"]


def test_a_short_pause_throws_nothing_away(sockets):
    here, there = sockets
    came = []
    clock = Clock()
    port = UdpPort(here, lambda data, _: came.append(data), 0.8, clock)
    there.send(b"a")
    clock.now += 0.5
    port.read()
    assert came == [b"a"]


def test_datagrams_close_together_are_read_in_one_turn(sockets):
    here, there = sockets
    came = []
    clock = Clock()
    port = UdpPort(here, lambda data, _: came.append(data), clock=clock)
    for _ in range(20):
        there.send(b"a")
    port.read()
    assert len(came) == 1
    clock.now += 0.0001
    port.read()
    assert len(came) == 20

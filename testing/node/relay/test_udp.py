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
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
    ):
        receiver.setblocking(False)
        receiver.bind(("127.0.0.1", 0))
        sender.connect(receiver.getsockname())
        yield receiver, sender


def test_datagram_is_handled_with_its_sender(sockets):
    receiver, sender = sockets
    received = []
    sender.send(b"a")
    UdpPort(receiver, lambda data, src: received.append((data, src))).read()
    host, port = sender.getsockname()
    assert received == [(b"a", f"{host}:{port}")]


def test_datagrams_queued_during_pause_are_discarded(sockets):
    receiver, sender = sockets
    received = []
    clock = Clock()
    port = UdpPort(receiver, lambda data, _: received.append(data), 0.8, clock)
    for _ in range(200):
        sender.send(b"old")
    clock.now += 4.0
    port.read()
    assert (received, port.discarded) == ([], 200)
    sender.send(b"new")
    port.read()
    assert received == [b"new"]


def test_short_pause_discards_nothing(sockets):
    receiver, sender = sockets
    received = []
    clock = Clock()
    port = UdpPort(receiver, lambda data, _: received.append(data), 0.8, clock)
    sender.send(b"a")
    clock.now += 0.5
    port.read()
    assert received == [b"a"]


def test_burst_is_read_in_one_batch(sockets):
    receiver, sender = sockets
    received = []
    clock = Clock()
    port = UdpPort(
        receiver, lambda data, _: received.append(data), clock=clock
    )
    for _ in range(20):
        sender.send(b"a")
    port.read()
    assert len(received) == 1
    clock.now += 0.0001
    port.read()
    assert len(received) == 20

import socket

import pytest

from medlar_standins.demo import needs as demo_needs
from medlar_standins.demo.layout import HOST
from medlar_standins.demo.layout import ports


def test_all_ports_are_named_once():
    used = ports()
    assert sorted(set(used)) == list(used)


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_in_use_is_refused_by_its_number(monkeypatch, kind):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        port = sock.getsockname()[1]
        if kind is socket.SOCK_STREAM:
            sock.listen()
        monkeypatch.setattr(demo_needs, "ports", lambda: (port,))
        with pytest.raises(demo_needs.PortsTaken, match=str(port)):
            demo_needs.check_ports()
    demo_needs.check_ports()


def test_the_needs_tell_ports_and_cores():
    line = demo_needs.needs()
    assert str(ports()[0]) in line
    assert "cores" in line

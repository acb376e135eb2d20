import socket

import pytest

from medlar_standins.demo.layout import HOST
from medlar_standins.demo.layout import ports
from medlar_standins.demo.needs import check_ports
from medlar_standins.demo.needs import needs
from medlar_standins.demo.needs import PortsTaken


def test_ports_are_unique_and_sorted():
    used = ports()
    assert sorted(set(used)) == list(used)


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_error_names_the_port_in_use(monkeypatch, kind):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        port = sock.getsockname()[1]
        if kind is socket.SOCK_STREAM:
            sock.listen()
        monkeypatch.setattr(
            "medlar_standins.demo.needs.ports", lambda: (port,)
        )
        with pytest.raises(PortsTaken, match=str(port)):
            check_ports()
    check_ports()


def test_requirements_name_ports_and_cores():
    line = needs()
    assert str(ports()[0]) in line
    assert "cores" in line

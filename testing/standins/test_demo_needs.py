import contextlib
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


FIRST_STATIC_PORT = 61_000
"""Ports from here on are not given to outgoing connections by default."""


def free_port() -> int:
    """Return a port that is free for UDP and TCP and stays so."""
    for port in range(FIRST_STATIC_PORT, 65_536):
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
            contextlib.suppress(OSError),
        ):
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
            return port
    raise AssertionError("expected a free port, found none")


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_error_names_the_port_in_use(monkeypatch, kind):
    port = free_port()
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, port))
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

"""Checks the ports and cores that the demo requires."""

import os
import socket

from .layout import HOST
from .layout import ports

CORES = 4


class PortsTaken(Exception):
    """Ports of the demo are already in use."""

    def __init__(self, taken: list[int]) -> None:
        numbers = ", ".join(map(str, taken))
        super().__init__(
            f"expected ports {numbers} of {HOST} to be free, got them in "
            "use; end what listens there, such as another demo"
        )


def needs() -> str:
    """Return a line with the ports and cores that the demo requires."""
    used = ports()
    have = len(os.sched_getaffinity(0))
    return (
        f"demo: uses {len(used)} ports of {HOST} from {used[0]} to "
        f"{used[-1]}, and {CORES} cores ({have} here)"
    )


def check_ports() -> None:
    """Check that all ports are free for UDP and TCP.

    :raises PortsTaken: if some are in use.
    """
    taken = [port for port in ports() if not _is_free(port)]
    if taken:
        raise PortsTaken(taken)


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            if kind is socket.SOCK_STREAM:
                # Ignore TIME_WAIT connections of an earlier demo.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                return False
    return True

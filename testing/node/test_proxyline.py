import pytest

from medlar_node.proxyline import Destination
from medlar_node.proxyline import parse_proxy_line


def test_proxy_line_has_caller_and_address() -> None:
    line = b"PROXY TCP4 10.0.0.9 10.1.0.1 4711 8080"
    assert parse_proxy_line(line) == Destination(
        "10.0.0.9:4711", "10.1.0.1:8080"
    )


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"GET / HTTP/1.1",
        b"PROXY UNKNOWN",
        b"PROXY TCP4 10.0.0.9 10.1.0.1 x 8080",
        b"PROXY TCP6 ::1 ::1 1 2",
        b"\xff\xfe",
    ],
)
def test_malformed_line_is_refused(line: bytes) -> None:
    assert parse_proxy_line(line) is None

import socket
import subprocess
import sys

import pytest


def run(*args: str, **variables: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "medlar_node.cli", *args],
        capture_output=True,
        text=True,
        env=variables,
        check=False,
    )


@pytest.mark.parametrize(
    ("args", "expected"),
    [
        (("balancer",), "--listen"),
        (("balancer", "--listen", "nowhere"), "nowhere"),
        (("agent", "--listen", "127.0.0.1:7301"), "--place"),
        (("agent", "--no-such-flag"), "no-such-flag"),
    ],
)
def test_invalid_flag_exits_2_without_traceback(
    args: tuple[str, ...], expected: str
) -> None:
    ended = run(*args)
    assert ended.returncode == 2
    assert expected in ended.stderr
    assert "Traceback" not in ended.stderr


def test_port_in_use_exits_1_without_traceback() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        port = taken.getsockname()[1]
        ended = run(
            "balancer",
            MEDLARSTAGE_LISTEN=f"127.0.0.1:{port}",
            MEDLARSTAGE_PLACE="almaty-a",
            MEDLARSTAGE_STORE="127.0.0.1:9",
            MEDLARSTAGE_FABRIC="127.0.0.1:9",
            MEDLARSTAGE_KEYS="00" * 16,
            MEDLARSTAGE_REQUESTS="127.0.0.1:9",
        )
    assert ended.returncode == 1
    assert f"127.0.0.1:{port}" in ended.stderr
    assert "Traceback" not in ended.stderr

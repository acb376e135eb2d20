"""Invalid input of each kind to a process with real sockets."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import socket
import time
from typing import Any

from aiohttp import ClientSession
from aiohttp import web
import pytest

from medlar_core.ids import NodeId
from medlar_core.keys.key import Key
from medlar_core.keys.seal import Sealer
from medlar_core.store import StoreAnswer
from medlar_core.store import StoreOp
from medlar_core.store import Unavailable
from medlar_core.timeline.recorder import Recorder
from medlar_node.control_http import ControlHandlers
from medlar_node.control_http import RoleHandlers
from medlar_node.daemon import serving
from medlar_node.metrics import Metrics
from medlar_node.process import Process

KEY = Key(b"k" * 16)
OTHER_KEY = Key(b"x" * 16)


class RecordingReducer:
    def __init__(self) -> None:
        self.events: list[Any] = []

    def reduce(self, now: float, event: Any) -> list[Any]:
        self.events.append(event)
        return []


async def no_store(op: StoreOp) -> StoreAnswer:
    return Unavailable("none")


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@contextlib.asynccontextmanager
async def process() -> AsyncIterator[Process]:
    node = NodeId(f"127.0.0.1:{free_port()}")
    proc = Process(
        node,
        RecordingReducer(),
        Sealer((KEY,), node, 1),
        Recorder(node),
        Metrics(),
        no_store,
        "127.0.0.1:9",
    )
    handlers = RoleHandlers(dict, lambda: True, dict, lambda limit_s: None)
    app = web.Application(client_max_size=2000)
    app.add_routes(ControlHandlers(proc, handlers).routes())
    await proc.start()
    try:
        async with serving(app, node):
            yield proc
    finally:
        await proc.stop()


async def metric(proc: Process, part: str, reason: str) -> bool:
    labels = f'part="{part}",reason="{reason}"'
    for _ in range(200):
        if labels in proc.metrics.text().decode():
            return True
        await asyncio.sleep(0.01)
    return False


def sealed(key: Key, node: NodeId, body: bytes) -> bytes:
    sealer = Sealer((key,), NodeId("127.0.0.1:1"), 2)
    return sealer.seal(time.time(), b"\0" * 12 + body, node)


@pytest.mark.parametrize(
    ("data", "part", "reason"),
    [
        (b"", "datagram", "unknown-mark"),
        (b"Zxx", "datagram", "unknown-mark"),
        (b"P\xff\xff", "packet", "malformed"),
        (b"C", "control", "malformed"),
        (b"C" + b"\0" * 200, "control", "malformed"),
    ],
)
def test_invalid_datagram_is_counted(
    data: bytes, part: str, reason: str
) -> None:
    async def scenario() -> bool:
        async with process() as proc:
            host, port = proc.node.split(":")
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.sendto(data, (host, int(port)))
            return await metric(proc, part, reason)

    assert asyncio.run(scenario())


@pytest.mark.parametrize(
    ("key", "body", "reason"),
    [
        (OTHER_KEY, b"{}", "unknown-key"),
        (KEY, b"{not json", "malformed"),
        (KEY, b'{"type":"no.such"}', "malformed"),
    ],
)
def test_invalid_control_message_is_counted(
    key: Key, body: bytes, reason: str
) -> None:
    async def scenario() -> bool:
        async with process() as proc, ClientSession() as session:
            data = sealed(key, proc.node, body)
            url = f"http://{proc.node}/v1/control"
            async with session.post(url, data=data) as res:
                assert res.status == 204
            return await metric(proc, "control", reason)

    assert asyncio.run(scenario())


def test_drain_with_unknown_key_is_refused() -> None:
    async def scenario() -> int:
        async with process() as proc, ClientSession() as session:
            data = sealed(OTHER_KEY, proc.node, b'{"limit_s":1}')
            url = f"http://{proc.node}/v1/drain"
            async with session.post(url, data=data) as res:
                return res.status

    assert asyncio.run(scenario()) == 403


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("POST", "/v1/control", b"x" * 5000, 413),
        ("GET", "/v1/timeline?since=yesterday", b"", 400),
        ("GET", "/nowhere", b"", 404),
        ("GET", "/readyz", b"", 200),
        ("GET", "/metrics", b"", 200),
    ],
)
def test_http_request_gets_expected_status(
    method: str, path: str, body: bytes, status: int
) -> None:
    async def scenario() -> int:
        async with process() as proc, ClientSession() as session:
            url = f"http://{proc.node}{path}"
            async with session.request(method, url, data=body) as res:
                return res.status

    assert asyncio.run(scenario()) == status

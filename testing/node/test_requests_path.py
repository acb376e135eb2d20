"""A request through ingress and egress over real sockets.

The reducers are scripted: the tests check how ingress and egress execute
effects and report network events, not the decisions of the reducers.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import hashlib
import socket
from typing import Any

from aiohttp import web

from medlar_core.config.model import Address
from medlar_core.config.model import Configuration
from medlar_core.config.model import Kind
from medlar_core.config.model import Place
from medlar_core.config.model import Protocol
from medlar_core.config.model import Service
from medlar_core.ids import AttemptId
from medlar_core.ids import Incarnation
from medlar_core.ids import KindName
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import RegionName
from medlar_core.ids import ServiceName
from medlar_core.keys.key import Key
from medlar_core.keys.seal import Sealer
from medlar_core.requests.events import AnswerAttempt
from medlar_core.requests.events import AnswerCaller
from medlar_core.requests.events import AttemptCame
from medlar_core.requests.events import AttemptEnded
from medlar_core.requests.events import RequestCame
from medlar_core.requests.events import ServerLoad
from medlar_core.requests.events import StartAttempt
from medlar_core.requests.events import StartWork
from medlar_core.requests.events import WorkEnded
from medlar_core.store import StoreAnswer
from medlar_core.store import StoreOp
from medlar_core.store import Unavailable
from medlar_core.timeline.recorder import Recorder
from medlar_core.verdict import NotRun
from medlar_core.verdict import Reason
from medlar_node import attempt_wire
from medlar_node.daemon import serving
from medlar_node.egress import Egress
from medlar_node.ingress import Ingress
from medlar_node.metrics import Metrics
from medlar_node.process import Process
from medlar_node.proxyline import Destination
from medlar_node.proxyline import ProxyLineProtocol

SERVICE = ServiceName("gallery")
LOAD = ServerLoad(0, 0, 2)
Script = Callable[[Any], list[Any]]


class ScriptedReducer:
    def __init__(self, script: Script) -> None:
        self.seen: list[Any] = []
        self._script = script

    def reduce(self, now: float, event: Any) -> list[Any]:
        self.seen.append(event)
        return self._script(event)


def starting_attempts(agent: NodeId) -> Script:
    def script(event: Any) -> list[Any]:
        match event:
            case RequestCame():
                return [
                    StartAttempt(
                        AttemptId("a1"),
                        event.req,
                        agent,
                        Incarnation(1),
                        event.service,
                        event.kind,
                        event.key,
                        event.deadline_s,
                        event.body_bytes,
                    )
                ]
            case AttemptEnded(attempt=attempt, verdict=verdict):
                req = next(e.req for e in seen if isinstance(e, RequestCame))
                return [AnswerCaller(req, verdict, attempt)]
        return []

    seen: list[Any] = []

    def recording(event: Any) -> list[Any]:
        seen.append(event)
        return script(event)

    return recording


def admit_all(event: Any) -> list[Any]:
    match event:
        case AttemptCame():
            return [
                StartWork(
                    event.attempt, event.service, event.kind, event.key, 5.0
                )
            ]
        case WorkEnded(work=work, verdict=verdict):
            node = NodeId("127.0.0.1:1")
            return [AnswerAttempt(work, node, verdict, LOAD, work)]
    return []


def refuse_all(event: Any) -> list[Any]:
    if not isinstance(event, AttemptCame):
        return []
    verdict = NotRun(Reason.QUEUE_FULL, 1.0)
    return [AnswerAttempt(event.attempt, event.src, verdict, LOAD)]


async def no_store(op: StoreOp) -> StoreAnswer:
    return Unavailable("none")


def free_node() -> NodeId:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return NodeId(f"127.0.0.1:{probe.getsockname()[1]}")


def make_process(node: NodeId, script: Script) -> Process:
    sealer = Sealer((Key(b"k" * 16),), node, 1)
    return Process(
        node,
        ScriptedReducer(script),
        sealer,
        Recorder(node),
        Metrics(),
        no_store,
        "127.0.0.1:9",
    )


def configuration(address: str) -> Configuration:
    ip, port = address.split(":")
    kind = Kind(
        name=KindName("upload"),
        rank=0,
        floor=0.5,
        idempotent=False,
        mean_s=1.0,
        deadline_s=10.0,
    )
    return Configuration(
        places=(Place(name=PlaceName("p"), region=RegionName("r")),),
        services=(
            Service(
                name=SERVICE,
                addresses=(
                    Address(ip=ip, port=int(port), protocol=Protocol.REQUEST),
                ),
                places=(PlaceName("p"),),
                kinds=(kind,),
            ),
        ),
    )


@contextlib.asynccontextmanager
async def agent(
    node: NodeId, server: str, script: Script
) -> AsyncIterator[None]:
    process = make_process(node, script)
    egress = Egress(process, process.metrics, server)
    process.execute_role_effect = egress.execute
    await egress.start()
    app = web.Application()
    app.router.add_post(
        attempt_wire.PATH + "{attempt}",
        egress.handle,
        expect_handler=egress.handle_expect,
    )
    async with serving(app, node):
        yield
    await egress.stop()


@contextlib.asynccontextmanager
async def balancer(agent_node: NodeId, address: str) -> AsyncIterator[NodeId]:
    node = free_node()
    process = make_process(node, starting_attempts(agent_node))
    destinations: dict[asyncio.BaseTransport, Destination] = {}
    ingress = Ingress(process, process.metrics, destinations)
    process.execute_role_effect = ingress.execute
    ingress.use_configuration_source(lambda: configuration(address))
    await ingress.start()
    server = web.Server(ingress.handle, handler_cancellation=True)
    host, port = node.split(":")
    listener = await asyncio.get_running_loop().create_server(
        lambda: ProxyLineProtocol(server, destinations, process.metrics),
        host,
        port,
    )
    yield node
    listener.close()
    await server.shutdown(1.0)
    await ingress.stop()


@contextlib.asynccontextmanager
async def backend(
    handler: Callable[[web.Request], Any],
) -> AsyncIterator[str]:
    node = free_node()
    app = web.Application(client_max_size=4_000_000)
    app.router.add_route("*", "/{path:.*}", handler)
    async with serving(app, node):
        yield node


class Result:
    def __init__(self, status: int, verdict: str, body: bytes) -> None:
        self.status = status
        self.verdict = verdict
        self.body = body


async def call(node: NodeId, address: str, body: bytes) -> Result:
    """Call as the fabric does: the PROXY line, then plain HTTP."""
    host, port = node.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    ip, port_text = address.split(":")
    writer.write(f"PROXY TCP4 10.0.0.9 {ip} 4711 {port_text}\r\n".encode())
    writer.write(
        b"POST /upload HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        b"Idempotency-Key: k1\r\nContent-Length: %d\r\n\r\n" % len(body)
    )
    writer.write(body)
    data = await reader.read()
    writer.close()
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    verdicts = [x for x in lines if x.startswith("Medlarstage-Verdict")]
    return Result(
        int(lines[0].split()[1]), verdicts[0].partition(": ")[2], rest
    )


async def echo_digest(req: web.Request) -> web.Response:
    return web.Response(text=hashlib.sha256(await req.read()).hexdigest())


async def die(req: web.Request) -> web.Response:
    assert req.transport is not None
    await req.read()
    req.transport.abort()
    return web.Response()


async def shed(req: web.Request) -> web.Response:
    await req.read()
    return web.Response(status=503)


async def call_through_balancer(
    script: Script,
    handler: Callable[[web.Request], Any],
    body: bytes,
    server: str = "",
) -> Result:
    address = "127.0.0.1:8080"
    node = free_node()
    async with (
        backend(handler) as server_node,
        agent(node, server or server_node, script),
        balancer(node, address) as balancer_node,
    ):
        return await call(balancer_node, address, body)


def test_large_body_and_its_response_arrive_complete() -> None:
    body = bytes(range(256)) * 4096
    result = asyncio.run(call_through_balancer(admit_all, echo_digest, body))
    assert (result.status, result.verdict) == (200, "ran")
    assert result.body.decode() == hashlib.sha256(body).hexdigest()


def test_refusal_by_the_agent_is_not_run() -> None:
    result = asyncio.run(
        call_through_balancer(refuse_all, echo_digest, b"x" * 1000)
    )
    assert result.verdict == "not-run; reason=queue-full"


def test_server_that_aborts_may_have_run() -> None:
    result = asyncio.run(call_through_balancer(admit_all, die, b"x"))
    assert result.verdict == "may-have-run; reason=server-died"


def test_server_that_sheds_has_not_run() -> None:
    result = asyncio.run(call_through_balancer(admit_all, shed, b"x"))
    assert result.verdict == "not-run; reason=shed"


def test_unreachable_server_has_not_run() -> None:
    result = asyncio.run(
        call_through_balancer(admit_all, echo_digest, b"x", server=free_node())
    )
    assert result.verdict == "not-run; reason=unreachable"


def test_unreachable_agent_has_not_run() -> None:
    async def scenario() -> Result:
        address = "127.0.0.1:8080"
        async with balancer(free_node(), address) as balancer_node:
            return await call(balancer_node, address, b"x")

    result = asyncio.run(scenario())
    assert result.verdict == "not-run; reason=unreachable"


def test_unknown_address_is_refused() -> None:
    async def scenario() -> Result:
        async with balancer(free_node(), "127.0.0.1:8080") as balancer_node:
            return await call(balancer_node, "127.0.0.1:8081", b"x")

    result = asyncio.run(scenario())
    assert result.status == 404
    assert result.verdict == "not-run; reason=unknown-address"


def test_oversize_body_is_refused() -> None:
    async def scenario() -> Result:
        address = "127.0.0.1:8080"
        async with balancer(free_node(), address) as balancer_node:
            return await call(balancer_node, address, b"x" * (5 * 1024 * 1024))

    result = asyncio.run(scenario())
    assert result.status == 413


def test_connection_without_proxy_line_is_closed() -> None:
    async def scenario() -> bytes:
        async with balancer(free_node(), "127.0.0.1:8080") as balancer_node:
            host, port = balancer_node.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            data = await reader.read()
            writer.close()
            return data

    assert asyncio.run(scenario()) == b""

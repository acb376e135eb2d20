"""HTTP endpoints of a process: control, status, time line, metrics."""

from collections.abc import Callable
from typing import Any

from aiohttp import web
import msgspec

from medlar_core.keys.seal import SealReason
from medlar_core.timeline.hlc import Stamp
from medlar_core.timeline.wire import encode_list

from .process import Process

MAX_CONTROL_BYTES = 2 * 1024 * 1024
JSON = "application/json"


class Problem(msgspec.Struct, frozen=True):
    """Body of an error response: why a call was refused."""

    error: str


class DrainCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a drain call; ``limit_s`` is the longest drain in seconds."""

    limit_s: float


class RoleHandlers(msgspec.Struct, frozen=True):
    """Functions of a role that the HTTP handlers call.

    ``explain`` takes the query parameters; ``drain`` is None if the role
    can't be drained.
    """

    status: Callable[[], Any]
    ready: Callable[[], bool]
    explain: Callable[[dict[str, str]], Any]
    drain: Callable[[float], None] | None = None


def json_response(body: Any, status: int = 200) -> web.Response:
    """Return a response whose body is a struct as JSON."""
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type=JSON
    )


class ControlHandlers:
    """HTTP handlers that every process has."""

    def __init__(self, process: Process, handlers: RoleHandlers) -> None:
        self._process = process
        self._handlers = handlers

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the handlers."""
        return [
            web.post("/v1/control", self._control),
            web.post("/v1/drain", self._drain),
            web.get("/v1/status", self._status),
            web.get("/v1/timeline", self._timeline),
            web.get("/v1/explain", self._explain),
            web.get("/healthz", self._health),
            web.get("/readyz", self._ready),
            web.get("/metrics", self._metrics),
        ]

    async def _control(self, req: web.Request) -> web.Response:
        self._process.receive_control(await req.read())
        return web.Response(status=204)

    async def _drain(self, req: web.Request) -> web.Response:
        opened = self._process.unseal(await req.read(), "drain")
        if isinstance(opened, SealReason):
            return json_response(Problem(f"not let in: {opened.value}"), 403)
        try:
            call = msgspec.json.decode(opened.body, type=DrainCall)
        except msgspec.DecodeError as exc:
            return json_response(Problem(str(exc)), 400)
        if self._handlers.drain is None:
            return json_response(Problem("only an agent drains"), 409)
        self._handlers.drain(call.limit_s)
        return json_response(call)

    async def _status(self, req: web.Request) -> web.Response:
        return json_response(self._handlers.status())

    async def _timeline(self, req: web.Request) -> web.Response:
        after = _stamp(req.query.get("since", ""))
        if after is None and req.query.get("since"):
            expected = "since: expected milliseconds or ms.counter"
            return json_response(Problem(expected), 400)
        body = encode_list(self._process.recorder.since(after))
        return web.Response(body=body, content_type=JSON)

    async def _explain(self, req: web.Request) -> web.Response:
        return json_response(self._handlers.explain(dict(req.query)))

    async def _health(self, req: web.Request) -> web.Response:
        return web.Response(text="live\n")

    async def _ready(self, req: web.Request) -> web.Response:
        ready = self._handlers.ready()
        text = "ready\n" if ready else "not ready\n"
        return web.Response(status=200 if ready else 503, text=text)

    async def _metrics(self, req: web.Request) -> web.Response:
        return web.Response(
            body=self._process.metrics.text(),
            headers={"Content-Type": "text/plain; version=0.0.4"},
        )


def _stamp(text: str) -> Stamp | None:
    ms, _, counter = text.partition(".")
    if not ms.isdigit() or (counter and not counter.isdigit()):
        return None
    return Stamp(int(ms), int(counter or 0))

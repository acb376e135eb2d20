"""Stand-in of the platform's key-value service over HTTP and JSON."""

import asyncio

from aiohttp import web
import msgspec

from medlar_core import store as ops
from medlar_fakes.store import Store

from .loopclock import LoopClock
from .serving import json_response
from .serving import serve_until_stopped

MAX_VALUE_BYTES = 1024 * 1024
MAX_CALL_BYTES = 2 * MAX_VALUE_BYTES


class StoreFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Injected faults of the store: outage, latency, lost answers."""

    down: bool = False
    slow_s: float = 0.002
    lose_answers: float = 0.0


class CallCount(msgspec.Struct, frozen=True):
    """Number of calls so far and the peak per second."""

    reads: int
    writes: int
    reads_worst_s: int
    writes_worst_s: int


class ErrorResponse(msgspec.Struct, frozen=True):
    """Error response for a rejected call."""

    error: str


def make_app(store: Store) -> web.Application:
    """Return the HTTP service around a store."""
    app = web.Application(client_max_size=MAX_CALL_BYTES)

    async def call(req: web.Request) -> web.Response:
        try:
            op = msgspec.json.decode(await req.read(), type=ops.StoreOp)
        except msgspec.DecodeError as exc:
            return json_response(ErrorResponse(str(exc)), status=400)
        if isinstance(op, ops.Put) and len(op.value) > MAX_VALUE_BYTES:
            return json_response(ErrorResponse("value over 1 MB"), status=413)
        return json_response(await _answer(store, op))

    async def faults(req: web.Request) -> web.Response:
        try:
            found = msgspec.json.decode(await req.read(), type=StoreFaults)
        except msgspec.DecodeError as exc:
            return json_response(ErrorResponse(str(exc)), status=400)
        store.down = found.down
        store.slow_s = found.slow_s
        store.lose_answers = found.lose_answers
        return json_response(found)

    async def calls(req: web.Request) -> web.Response:
        return json_response(count(store))

    app.router.add_post("/v1/call", call)
    app.router.add_post("/v1/faults", faults)
    app.router.add_get("/v1/calls", calls)
    return app


def count(store: Store) -> CallCount:
    """Return the number of calls of a store."""
    reads = [n for (_, kind), n in store.calls.items() if kind == "read"]
    writes = [n for (_, kind), n in store.calls.items() if kind == "write"]
    return CallCount(
        reads=sum(reads),
        writes=sum(writes),
        reads_worst_s=max(reads, default=0),
        writes_worst_s=max(writes, default=0),
    )


async def _answer(store: Store, op: ops.StoreOp) -> ops.StoreAnswer:
    fut: asyncio.Future[ops.StoreAnswer] = asyncio.Future()

    def answered(answer: ops.StoreAnswer) -> None:
        if not fut.done():
            fut.set_result(answer)

    store.call(op, answered)
    return await fut


async def serve(host: str, port: int) -> None:
    """Serve the store until the process is stopped."""
    await serve_until_stopped(
        make_app(Store(LoopClock())), host, port, "store"
    )

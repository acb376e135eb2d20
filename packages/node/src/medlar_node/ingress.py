"""Balancer side of requests: sends callers' requests to agents."""

import asyncio
from collections.abc import Callable
import hashlib
import itertools
import uuid

from aiohttp import ClientConnectorError
from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import web
import msgspec

from medlar_core.config.model import Configuration
from medlar_core.config.model import Kind
from medlar_core.config.model import Service
from medlar_core.ids import AttemptId
from medlar_core.ids import IdempotencyKey
from medlar_core.ids import RequestId
from medlar_core.requests.events import AnswerCaller
from medlar_core.requests.events import AttemptEnded
from medlar_core.requests.events import CancelAttempt
from medlar_core.requests.events import RequestCame
from medlar_core.requests.events import RequestCancelled
from medlar_core.requests.events import StartAttempt
from medlar_core.verdict import MayHaveRun
from medlar_core.verdict import NotRun
from medlar_core.verdict import Ran
from medlar_core.verdict import Reason
from medlar_core.verdict import Verdict

from . import attempt_wire as wire
from . import headers as names
from .bodies import Body
from .bodies import BodyNotReplayable
from .logs import part_logger
from .metrics import Metrics
from .process import Process
from .proxyline import Destination
from .responses import MAX_RESPONSE_BYTES
from .responses import ServerResponse

RESULT_GRACE_S = 0.5
"""Time after the deadline in which an agent's verdict is still accepted."""
MAX_KEY_CHARS = 128

log = part_logger("ingress")


class _OpenRequest(msgspec.Struct):
    """A request that has no verdict yet."""

    http: web.BaseRequest
    body: Body
    done: asyncio.Future[AnswerCaller]


class Ingress:
    """Executes the request effects of a balancer's reducer."""

    def __init__(
        self,
        process: Process,
        metrics: Metrics,
        destinations: dict[asyncio.BaseTransport, Destination],
    ) -> None:
        self._source: Callable[[], Configuration | None] = lambda: None
        self._cfg: Configuration | None = None
        self._by_address: dict[str, Service] = {}
        self._process = process
        self._metrics = metrics
        self._destinations = destinations
        self._prefix = uuid.uuid4().hex[:12]
        self._numbers = itertools.count()
        self._open: dict[RequestId, _OpenRequest] = {}
        self._responses: dict[AttemptId, ServerResponse] = {}
        self._attempts: dict[AttemptId, asyncio.Task[None]] = {}
        self._session: ClientSession | None = None

    def use_configuration_source(
        self, source: Callable[[], Configuration | None]
    ) -> None:
        """Set the function that returns the configuration in force.

        It is called for each request.
        """
        self._source = source

    async def start(self) -> None:
        """Open the client session; requires a running event loop."""
        self._session = ClientSession(
            timeout=ClientTimeout(total=None), auto_decompress=False
        )

    async def stop(self) -> None:
        """Close the client session."""
        if self._session is not None:
            await self._session.close()

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Handle a caller's request and return its response."""
        event = self._read(http)
        if isinstance(event, NotRun):
            return self._refuse(event)
        with self._metrics.request_seconds.time():
            return await self._serve(http, event)

    def execute(
        self, effect: StartAttempt | CancelAttempt | AnswerCaller
    ) -> None:
        """Execute one effect."""
        match effect:
            case StartAttempt():
                task = asyncio.create_task(self._run_attempt(effect))
                self._attempts[effect.attempt] = task
            case CancelAttempt(attempt=attempt):
                running = self._attempts.pop(attempt, None)
                if running is not None:
                    running.cancel()
            case AnswerCaller(req=req):
                open_request = self._open.get(req)
                if open_request is not None and not open_request.done.done():
                    open_request.done.set_result(effect)

    async def _serve(
        self, http: web.BaseRequest, event: RequestCame
    ) -> web.StreamResponse:
        done: asyncio.Future[AnswerCaller] = asyncio.Future()
        self._open[event.req] = _OpenRequest(http, Body(http.content), done)
        self._process.dispatch(event)
        try:
            ended = await done
        except asyncio.CancelledError:
            self._process.dispatch(RequestCancelled(event.req))
            raise
        finally:
            del self._open[event.req]
        self._metrics.verdict(
            event.service, event.kind, names.verdict_name(ended.verdict)
        )
        return self._respond(ended)

    def _respond(self, ended: AnswerCaller) -> web.StreamResponse:
        match ended.verdict:
            case Ran():
                response = None
                if ended.attempt is not None:
                    response = self._responses.pop(ended.attempt, None)
                if response is None:
                    return names.refusal_response(
                        MayHaveRun(Reason.CONNECTION_LOST)
                    )
                headers = {**response.headers, names.VERDICT: "ran"}
                return web.Response(
                    body=response.body, status=response.status, headers=headers
                )
            case verdict:
                return names.refusal_response(verdict)

    def _read(self, http: web.BaseRequest) -> RequestCame | NotRun:
        destination = (
            self._destinations.get(http.transport) if http.transport else None
        )
        if destination is None or not self._configured():
            return NotRun(Reason.NOT_READY, 1.0)
        service = self._by_address.get(destination.address)
        if service is None:
            return NotRun(Reason.UNKNOWN_ADDRESS)
        kind = _kind_of(service, http.headers.get(names.KIND))
        if kind is None:
            return NotRun(Reason.UNKNOWN_KIND)
        size = http.content_length or 0
        if size > kind.max_body_bytes:
            return NotRun(Reason.TOO_LARGE)
        key = http.headers.get(names.KEY)
        deadline_s = _deadline(http, kind)
        if deadline_s is None or (key and len(key) > MAX_KEY_CHARS):
            return NotRun(Reason.MALFORMED)
        return RequestCame(
            req=RequestId(f"{self._prefix}-{next(self._numbers)}"),
            service=service.name,
            kind=kind.name,
            key=IdempotencyKey(key) if key else None,
            deadline_s=deadline_s,
            body_bytes=size,
            caller=destination.caller.rsplit(":", 1)[0],
            repeat=_is_retry(http),
        )

    def _configured(self) -> bool:
        """Update to the configuration in force; return whether one exists."""
        cfg = self._source()
        if cfg is not self._cfg and cfg is not None:
            self._by_address = {
                address.text: service
                for service in cfg.services
                for address in service.addresses
            }
        self._cfg = cfg
        return cfg is not None

    def _refuse(self, verdict: NotRun) -> web.Response:
        self._metrics.bad_input("request", verdict.reason.value)
        return names.refusal_response(verdict)

    async def _run_attempt(self, effect: StartAttempt) -> None:
        result: AttemptEnded
        try:
            result = await self._attempt_result(effect)
        except asyncio.CancelledError:
            return
        finally:
            self._attempts.pop(effect.attempt, None)
        self._process.dispatch(result)
        if effect.req not in self._open:
            self._responses.pop(effect.attempt, None)

    async def _attempt_result(self, effect: StartAttempt) -> AttemptEnded:
        """Send an attempt to its agent and return its result.

        If the connection can't be opened, the work has not run. After any
        later error the agent may have started the work.
        """
        open_request = self._open.get(effect.req)
        if open_request is None or open_request.body.not_replayable:
            return AttemptEnded(effect.attempt, NotRun(Reason.BODY_INCOMPLETE))
        limit_s = max(effect.deadline_s, 0.0) + RESULT_GRACE_S
        try:
            async with asyncio.timeout(limit_s):
                return await self._send_attempt(effect, open_request)
        except ClientConnectorError as exc:
            log.warning(
                "can't connect to agent %s; attempt not run",
                effect.dst,
                extra={"why": str(exc)},
            )
            verdict: Verdict = NotRun(Reason.UNREACHABLE)
        except BodyNotReplayable:
            verdict = MayHaveRun(Reason.BODY_INCOMPLETE)
        except TimeoutError:
            verdict = MayHaveRun(Reason.DEADLINE)
        except (ClientError, OSError, msgspec.DecodeError) as exc:
            log.warning(
                "connection to agent %s failed; attempt may have run",
                effect.dst,
                extra={"why": repr(exc)},
            )
            verdict = MayHaveRun(Reason.CONNECTION_LOST)
        return AttemptEnded(effect.attempt, verdict)

    async def _send_attempt(
        self, effect: StartAttempt, open_request: _OpenRequest
    ) -> AttemptEnded:
        assert self._session is not None
        http = open_request.http
        headers = names.end_to_end(http.headers)
        headers[names.ATTEMPT] = wire.encode_request(
            self._attempt_request(effect)
        )
        headers[wire.METHOD] = http.method
        headers[wire.TARGET] = http.path_qs
        url = f"http://{effect.dst}{wire.PATH}{effect.attempt}"
        async with self._session.post(
            url,
            data=open_request.body.chunks(),
            headers=headers,
            expect100=True,
            allow_redirects=False,
        ) as res:
            result = wire.parse_result(res.headers.get(names.ENDED, ""))
            verdict = result.verdict
            if isinstance(verdict, Ran):
                body = await _read_verified(
                    res.content.iter_chunked(65536), verdict
                )
                kept = names.end_to_end(res.headers)
                self._responses[effect.attempt] = ServerResponse(
                    verdict.status, kept, body
                )
        return AttemptEnded(effect.attempt, verdict, result.load, result.go)

    def _attempt_request(self, effect: StartAttempt) -> wire.AttemptRequest:
        return wire.AttemptRequest(
            attempt=effect.attempt,
            req=effect.req,
            src=self._process.node,
            incarnation=effect.incarnation,
            service=effect.service,
            kind=effect.kind,
            deadline_s=effect.deadline_s,
            key=effect.key,
            body_bytes=effect.body_bytes,
            repeat=effect.repeat,
            ceded_by=effect.ceded_by,
            spare=effect.spare,
            hops=effect.hops,
        )


async def _read_verified(chunks, verdict: Ran) -> bytes:  # type: ignore[no-untyped-def]
    """Read a response body and check its size and digest.

    :raises ClientError: if the body is too large, incomplete or altered.
    """
    digest = hashlib.sha256()
    body = bytearray()
    async for chunk in chunks:
        digest.update(chunk)
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise ClientError(
                f"expected a response body of at most {MAX_RESPONSE_BYTES} "
                f"bytes, got {len(body)} or more"
            )
    complete = len(body) == verdict.body_size
    if not complete or digest.hexdigest() != verdict.body_digest:
        raise ClientError(
            f"response body does not match its size and digest: expected "
            f"{verdict.body_size} bytes, got {len(body)}"
        )
    return bytes(body)


def _kind_of(service: Service, name: str | None) -> Kind | None:
    if name is None:
        return service.kinds[0] if len(service.kinds) == 1 else None
    return next((kind for kind in service.kinds if kind.name == name), None)


def _deadline(http: web.BaseRequest, kind: Kind) -> float | None:
    text = http.headers.get(names.DEADLINE)
    if text is None:
        return kind.deadline_s
    try:
        given = float(text)
    except ValueError:
        return None
    return min(given, kind.deadline_s) if given > 0 else None


def _is_retry(http: web.BaseRequest) -> bool | None:
    return {"1": True, "0": False}.get(http.headers.get(names.RETRY, ""))

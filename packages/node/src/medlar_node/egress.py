"""Agent side of requests: runs attempts of balancers on the server."""

import asyncio
import hashlib

from aiohttp import ClientConnectorError
from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import web
import msgspec

from medlar_core.ids import AttemptId
from medlar_core.requests.events import AnswerAttempt
from medlar_core.requests.events import AttemptCame
from medlar_core.requests.events import AttemptCancelled
from medlar_core.requests.events import CancelWork
from medlar_core.requests.events import DropAnswer
from medlar_core.requests.events import StartWork
from medlar_core.requests.events import WorkEnded
from medlar_core.verdict import MayHaveRun
from medlar_core.verdict import NotRun
from medlar_core.verdict import Ran
from medlar_core.verdict import Reason
from medlar_core.verdict import Verdict

from . import attempt_wire as wire
from . import headers as names
from .logs import part_logger
from .metrics import Metrics
from .process import Process
from .responses import MAX_RESPONSE_BYTES
from .responses import ServerResponse

MAX_BODY_BYTES = 8 * 1024 * 1024
log = part_logger("egress")

SHED_STATUS = 503
"""Status by which the server says that it did not run the work."""


class _Attempt(msgspec.Struct):
    """An attempt whose balancer waits for a response."""

    http: web.Request
    started: asyncio.Future[StartWork]
    ended: asyncio.Future[AnswerAttempt]


class Egress:
    """Executes the request effects of an agent's reducer."""

    def __init__(
        self, process: Process, metrics: Metrics, server: str
    ) -> None:
        self._process = process
        self._metrics = metrics
        self._server = server
        self._attempts: dict[AttemptId, _Attempt] = {}
        self._work: dict[AttemptId, asyncio.Task[None]] = {}
        self._responses: dict[AttemptId, ServerResponse] = {}
        self._session: ClientSession | None = None

    async def start(self) -> None:
        """Open the client session; requires a running event loop."""
        self._session = ClientSession(
            timeout=ClientTimeout(total=None), auto_decompress=False
        )

    async def stop(self) -> None:
        """Close the client session."""
        if self._session is not None:
            await self._session.close()

    async def handle_expect(
        self, http: web.Request
    ) -> web.StreamResponse | None:
        """Send 100 Continue once the work of an attempt may start.

        Returns the final response if the work does not start.
        """
        event = self._read(http)
        if event is None:
            self._metrics.bad_input("attempt", "malformed")
            return web.Response(status=400)
        attempt = self._add_attempt(http, event)
        self._process.dispatch(event)
        try:
            await asyncio.wait(
                (attempt.started, attempt.ended),
                return_when=asyncio.FIRST_COMPLETED,
            )
        except asyncio.CancelledError:
            self._cancel_attempt(event.attempt)
            raise
        if attempt.ended.done():
            return self._respond(attempt.ended.result())
        await _continue(http)
        return None

    async def handle(self, http: web.Request) -> web.StreamResponse:
        """Run the work of an attempt and return its response."""
        attempt_id = AttemptId(http.match_info["attempt"])
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            # No Expect header was sent, so the client is not a balancer.
            return web.Response(status=417)
        started = attempt.started.result()
        body = await self._body(http)
        if body is None:
            verdict = NotRun(Reason.BODY_INCOMPLETE)
            self._process.dispatch(WorkEnded(started.work, verdict))
        else:
            work = asyncio.create_task(self._run(started, attempt, body))
            self._work[started.work] = work
        try:
            return self._respond(await attempt.ended)
        except asyncio.CancelledError:
            self._cancel_attempt(attempt_id)
            raise

    def execute(
        self, effect: StartWork | CancelWork | AnswerAttempt | DropAnswer
    ) -> None:
        """Execute one effect."""
        match effect:
            case StartWork(work=work):
                attempt = self._attempts.get(work)
                if attempt is None:
                    verdict = NotRun(Reason.CANCELLED)
                    self._process.dispatch(WorkEnded(work, verdict))
                elif not attempt.started.done():
                    attempt.started.set_result(effect)
            case CancelWork(work=work):
                task = self._work.pop(work, None)
                if task is not None:
                    task.cancel()
            case AnswerAttempt(attempt=attempt_id):
                attempt = self._attempts.pop(attempt_id, None)
                if attempt is not None and not attempt.ended.done():
                    attempt.ended.set_result(effect)
            case DropAnswer(work=work):
                self._responses.pop(work, None)

    def _read(self, http: web.Request) -> AttemptCame | None:
        try:
            request = wire.parse_request(http.headers.get(names.ATTEMPT, ""))
        except msgspec.DecodeError:
            return None
        if request.attempt != http.match_info["attempt"]:
            return None
        return AttemptCame(
            attempt=request.attempt,
            req=request.req,
            src=request.src,
            incarnation=request.incarnation,
            service=request.service,
            kind=request.kind,
            key=request.key,
            deadline_s=request.deadline_s,
            body_bytes=request.body_bytes,
            repeat=request.repeat,
            ceded_by=request.ceded_by,
            spare=request.spare,
            hops=request.hops,
        )

    def _add_attempt(self, http: web.Request, event: AttemptCame) -> _Attempt:
        attempt = _Attempt(http, asyncio.Future(), asyncio.Future())
        self._attempts[event.attempt] = attempt
        return attempt

    def _cancel_attempt(self, attempt: AttemptId) -> None:
        self._attempts.pop(attempt, None)
        self._process.dispatch(AttemptCancelled(attempt))

    async def _body(self, http: web.Request) -> bytes | None:
        """Return the body, or None if it is incomplete or too large.

        The work starts only after the complete body has been received,
        so that a request whose caller aborts is certain not to have run.
        """
        body = bytearray()
        try:
            async for chunk in http.content.iter_chunked(65536):
                body += chunk
                if len(body) > MAX_BODY_BYTES:
                    return None
        except (ClientError, OSError, asyncio.IncompleteReadError):
            return None
        return bytes(body)

    async def _run(
        self, started: StartWork, attempt: _Attempt, body: bytes
    ) -> None:
        try:
            async with asyncio.timeout(max(started.deadline_s, 0.0)):
                verdict = await self._call(started, attempt.http, body)
        except TimeoutError:
            verdict = MayHaveRun(Reason.DEADLINE)
        except asyncio.CancelledError:
            verdict = MayHaveRun(Reason.CANCELLED)
        finally:
            self._work.pop(started.work, None)
        self._process.dispatch(WorkEnded(started.work, verdict))

    async def _call(
        self, started: StartWork, http: web.Request, body: bytes
    ) -> Verdict:
        assert self._session is not None
        headers = names.end_to_end(http.headers)
        headers[names.KIND] = started.kind
        headers[names.WORK] = started.key or started.work
        target = http.headers.get(wire.TARGET, "/")
        try:
            async with self._session.request(
                http.headers.get(wire.METHOD, "POST"),
                f"http://{self._server}{target}",
                data=body,
                headers=headers,
                allow_redirects=False,
            ) as res:
                data = await res.content.read(MAX_RESPONSE_BYTES + 1)
                while not res.content.at_eof():
                    data += await res.content.read(MAX_RESPONSE_BYTES)
                    if len(data) > MAX_RESPONSE_BYTES:
                        return MayHaveRun(Reason.TOO_LARGE)
        except ClientConnectorError as exc:
            log.warning(
                "can't connect to the server; work not run",
                extra={"why": str(exc)},
            )
            return NotRun(Reason.UNREACHABLE)
        except (ClientError, OSError) as exc:
            log.warning(
                "connection to the server failed; work may have run",
                extra={"why": repr(exc)},
            )
            return MayHaveRun(Reason.SERVER_DIED)
        if res.status == SHED_STATUS:
            return NotRun(Reason.SHED)
        kept = names.end_to_end(res.headers)
        self._responses[started.work] = ServerResponse(res.status, kept, data)
        digest = hashlib.sha256(data).hexdigest()
        return Ran(res.status, digest, len(data))

    def _respond(self, ended: AnswerAttempt) -> web.Response:
        response = self._responses.get(ended.work) if ended.work else None
        verdict = ended.verdict
        if isinstance(verdict, Ran) and response is None:
            verdict = MayHaveRun(Reason.CONNECTION_LOST)
        headers = dict(response.headers) if response else {}
        result = wire.AttemptResult(verdict, ended.load, ended.go)
        headers[names.ENDED] = wire.encode_result(result)
        body = response.body if response and isinstance(verdict, Ran) else b""
        return web.Response(body=body, headers=headers)


async def _continue(http: web.Request) -> None:
    """Send the interim response that asks for the body."""
    if http.transport is not None:
        http.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

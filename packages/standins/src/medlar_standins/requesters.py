"""Callers of requests: an ordinary HTTP client with Poisson arrivals."""

import asyncio
import collections
from collections.abc import Coroutine
import enum
import hashlib
import random
import uuid

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import TCPConnector
from hdrh.histogram import HdrHistogram
import msgspec

from .server import CALL_HEADER
from .server import WorkResult

KIND_HEADER = "Medlarstage-Kind"
VERDICT_HEADER = "Medlarstage-Verdict"
DEADLINE_HEADER = "Medlarstage-Deadline"
KEY_HEADER = "Idempotency-Key"
REPEAT_HEADER = "Medlarstage-Repeat"
RETRY_SHARE = 0.1
RETRY_AFTER_MEANS = 3.0
"""Multiple of the mean service time after which some callers retry."""
RETRY_DELAY_S = 0.2
TIMEOUT_MARGIN_S = 2.0
MAX_LATENCY_US = 120_000_000


class Outcome(enum.Enum):
    """How a request ended for its caller."""

    RAN = "ran"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    LOST = "lost"
    MIXED = "mixed"


class Work(msgspec.Struct, frozen=True):
    """A kind of work as the callers send it.

    ``rate`` is requests a second; times are seconds.
    """

    service: str
    kind: str
    url: str
    rate: float
    mean_s: float
    deadline_s: float
    idempotent: bool
    body_bytes: int = 200


class CallResult(msgspec.Struct, frozen=True):
    """Outcome of one call and its reason; ``call`` is the call's ID."""

    call: str
    outcome: Outcome
    reason: str = ""


class FinishedRequest(msgspec.Struct, frozen=True):
    """A finished request with its start time, duration and outcome."""

    key: str
    call: str
    kind: str
    idempotent: bool
    began_s: float
    took_s: float
    outcome: Outcome
    reason: str


class RequestCallers:
    """Sends work of several kinds and records the outcome of each request."""

    def __init__(self, seed: int) -> None:
        self.ended: list[FinishedRequest] = []
        self.latency: dict[str, HdrHistogram] = {}
        self._rng = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._session: ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP client: a new connection for each request."""
        connector = TCPConnector(limit=0, force_close=True)
        self._session = ClientSession(connector=connector)

    async def stop(self) -> None:
        """Wait for open requests and close the client."""
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def run(self, work: Work, seconds: float) -> None:
        """Send work at its rate for some seconds."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + seconds
        due = loop.time()
        while True:
            due += self._rng.expovariate(work.rate)
            if due >= ends:
                return
            await asyncio.sleep(max(0.0, due - loop.time()))
            self._spawn(self._request(work))

    def outcomes(
        self, kind: str, begin_s: float = 0.0, end_s: float = float("inf")
    ) -> collections.Counter[Outcome]:
        """Return how requests of a kind that began in a time ended."""
        return collections.Counter(
            ended.outcome
            for ended in self.ended
            if ended.kind == kind and begin_s <= ended.began_s < end_s
        )

    def _spawn(self, coro: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(self, work: Work) -> None:
        loop = asyncio.get_running_loop()
        key = uuid.UUID(int=self._rng.getrandbits(128)).hex
        body = self._rng.randbytes(work.body_bytes)
        began = loop.time()
        result = await self._call(work, key, body)
        took = loop.time() - began
        self.ended.append(
            FinishedRequest(
                key,
                result.call,
                work.kind,
                work.idempotent,
                began,
                took,
                result.outcome,
                result.reason,
            )
        )
        if result.outcome is Outcome.RAN:
            self._histogram(work.kind).record_value(int(took * 1e6))

    async def _call(self, work: Work, key: str, body: bytes) -> CallResult:
        retries = self._rng.random() < RETRY_SHARE
        limit_s = work.deadline_s + TIMEOUT_MARGIN_S
        first_s = RETRY_AFTER_MEANS * work.mean_s if retries else limit_s
        first = await self._post(work, key, body, first_s, "0")
        if first.outcome is not Outcome.LOST:
            return first
        # Lost connection or time-out: retry with the same idempotency key.
        await asyncio.sleep(RETRY_DELAY_S)
        return await self._post(work, key, body, limit_s, "1")

    async def _post(
        self,
        work: Work,
        key: str,
        body: bytes,
        limit_s: float,
        repeat: str,
    ) -> CallResult:
        assert self._session is not None
        call = uuid.UUID(int=self._rng.getrandbits(128)).hex
        headers = {
            CALL_HEADER: call,
            KIND_HEADER: work.kind,
            KEY_HEADER: key,
            REPEAT_HEADER: repeat,
            DEADLINE_HEADER: f"{work.deadline_s}",
        }
        try:
            async with self._session.post(
                work.url,
                data=body,
                headers=headers,
                timeout=ClientTimeout(total=limit_s),
            ) as res:
                answer = await res.read()
                verdict = res.headers.get(VERDICT_HEADER, "")
        except (ClientError, OSError, TimeoutError) as exc:
            return CallResult(call, Outcome.LOST, type(exc).__name__)
        return _classify(call, verdict, answer, key, body)

    def _histogram(self, kind: str) -> HdrHistogram:
        if kind not in self.latency:
            self.latency[kind] = HdrHistogram(1, MAX_LATENCY_US, 3)
        return self.latency[kind]


def _classify(
    call: str, verdict: str, answer: bytes, key: str, body: bytes
) -> CallResult:
    """Return the outcome in a response, checked against the request."""
    name, _, reason = verdict.partition("; reason=")
    if name in (Outcome.NOT_RUN.value, Outcome.MAY_HAVE_RUN.value):
        return CallResult(call, Outcome(name), reason)
    if name != Outcome.RAN.value:
        return CallResult(call, Outcome.LOST, "no verdict")
    try:
        done = msgspec.json.decode(answer, type=WorkResult)
    except msgspec.DecodeError:
        return CallResult(call, Outcome.MIXED, "answer is not whole")
    if done.work != key:
        return CallResult(call, Outcome.MIXED, "answer of another request")
    if done.digest != hashlib.sha256(body).hexdigest():
        return CallResult(call, Outcome.MIXED, "answer to another body")
    return CallResult(call, Outcome.RAN)

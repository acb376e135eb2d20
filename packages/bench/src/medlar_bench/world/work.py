"""Requests of callers, carried between balancers, agents and servers."""

from collections.abc import Callable
import math
from typing import Any

import msgspec

from medlar_core.config.model import Kind
from medlar_core.ids import AttemptId
from medlar_core.ids import IdempotencyKey
from medlar_core.ids import NodeId
from medlar_core.ids import RequestId
from medlar_core.ids import ServiceName
from medlar_core.requests.events import AnswerAttempt
from medlar_core.requests.events import AnswerCaller
from medlar_core.requests.events import AttemptCame
from medlar_core.requests.events import AttemptCancelled
from medlar_core.requests.events import AttemptEnded
from medlar_core.requests.events import CancelAttempt
from medlar_core.requests.events import CancelWork
from medlar_core.requests.events import DropAnswer
from medlar_core.requests.events import RequestCame
from medlar_core.requests.events import StartAttempt
from medlar_core.requests.events import StartWork
from medlar_core.requests.events import WorkEnded
from medlar_core.verdict import MayHaveRun
from medlar_core.verdict import NotRun
from medlar_core.verdict import Ran
from medlar_core.verdict import Reason
from medlar_core.verdict import Verdict
from medlar_fakes.clock import Clock
from medlar_fakes.net import Net
from medlar_fakes.server import SlotServer

RETRY_SHARE = 0.1
"""Share of callers that retry with the same key after a timeout."""
SIGMA = 0.5
"""Standard deviation of the logarithm of the service times."""
GRACE_S = 2.0
"""Time past its deadline after which a request counts as lost."""


class SentRequest(msgspec.Struct):
    """One request as its caller sees it."""

    req: RequestId
    service: ServiceName
    kind: Kind
    key: IdempotencyKey | None
    at: float
    balancer: NodeId
    verdict: Verdict | None = None
    ended_at: float | None = None
    cut: bool = False
    """Whether its balancer died before it answered."""


class StartedWork(msgspec.Struct, frozen=True):
    """Work that a server started."""

    at: float
    server: NodeId
    attempt: AttemptId
    asked: SentRequest


class Work:
    """Sends requests and carries their attempts and responses.

    Attempts use connections: they are neither lost nor duplicated, but
    end when either side dies or the network is partitioned.
    """

    def __init__(
        self,
        clock: Clock,
        net: Net,
        pick: Callable[[], NodeId | None],
        servers: dict[NodeId, SlotServer],
    ) -> None:
        self.asked: dict[RequestId, SentRequest] = {}
        self.started: list[StartedWork] = []
        self._clock = clock
        self._net = net
        self._pick = pick
        self._servers = servers
        self._in_flight: dict[AttemptId, StartAttempt] = {}
        self._source: dict[AttemptId, NodeId] = {}
        self._requests: dict[AttemptId, RequestId] = {}

    def offer(
        self, service: ServiceName, kind: Kind, rate: float, until: float
    ) -> None:
        """Send requests of a kind as a Poisson stream until a time."""
        if rate <= 0.0 or self._clock.now >= until:
            return

        def send() -> None:
            if self._clock.now < until:
                self.ask(service, kind)
                self.offer(service, kind, rate, until)

        self._clock.after(self._net.rng.expovariate(rate), send)

    def ask(
        self,
        service: ServiceName,
        kind: Kind,
        key: IdempotencyKey | None = None,
        balancer: NodeId | None = None,
    ) -> RequestId | None:
        """Send one request; a retry has the key of an earlier request."""
        chosen = balancer or self._pick()
        if chosen is None:
            return None
        req = RequestId(f"r{len(self.asked)}")
        first = key is None
        if first and not kind.idempotent:
            key = IdempotencyKey(f"k{len(self.asked)}")
        now = self._clock.now
        self.asked[req] = SentRequest(req, service, kind, key, now, chosen)
        event = RequestCame(
            req=req,
            service=service,
            kind=kind.name,
            key=key,
            deadline_s=kind.deadline_s,
            body_bytes=200,
            caller=f"172.16.0.{len(self.asked) % 250}",
            repeat=None if key is None else not first,
        )
        self._net.dispatch(chosen, event)
        self._clock.after(kind.deadline_s + GRACE_S, lambda: self._late(req))
        return req

    def carry(self, node: NodeId, effect: Any) -> bool:
        """Carry out a request effect; return False for any other effect."""
        match effect:
            case StartAttempt():
                self._start_attempt(node, effect)
            case CancelAttempt(attempt=attempt, dst=dst):
                self._in_flight.pop(attempt, None)
                self._give(node, dst, AttemptCancelled(attempt))
            case StartWork():
                self._start_work(node, effect)
            case CancelWork(work=work):
                self._servers[node].cancel(work)
            case AnswerAttempt():
                self._answer(node, effect)
            case AnswerCaller(req=req, verdict=verdict):
                self._end(self.asked[req], verdict)
            case DropAnswer():
                pass
            case _:
                return False
        return True

    def died(self, node: NodeId) -> None:
        """Close the connections of a process that died."""
        for asked in self.asked.values():
            if asked.balancer == node and asked.verdict is None:
                asked.cut = True
                self._end(asked, MayHaveRun(Reason.CONNECTION_LOST))
        for attempt, sent in list(self._in_flight.items()):
            src = self._source[attempt]
            if sent.dst == node:
                self._lost(attempt)
            elif src == node:
                self._in_flight.pop(attempt)
                self._give(node, sent.dst, AttemptCancelled(attempt))

    def _give(self, src: NodeId, dst: NodeId, event: Any) -> None:
        delay = self._net.faults.delay_s
        self._clock.after(delay, lambda: self._net.dispatch(dst, event))

    def _start_attempt(self, node: NodeId, sent: StartAttempt) -> None:
        self._in_flight[sent.attempt] = sent
        self._source[sent.attempt] = node
        self._requests[sent.attempt] = sent.req
        unreachable = sent.dst not in self._net.hosts
        if unreachable or self._net.cut(node, sent.dst):
            self._in_flight.pop(sent.attempt)
            verdict = NotRun(Reason.UNREACHABLE)
            self._give(node, node, AttemptEnded(sent.attempt, verdict))
            return
        fields = {
            name: getattr(sent, name)
            for name in AttemptCame.__struct_fields__
            if name != "src"
        }
        self._give(node, sent.dst, AttemptCame(src=node, **fields))

    def _start_work(self, node: NodeId, start: StartWork) -> None:
        sent_req = self._request_of(start.work)
        kind = sent_req.kind
        sigma = SIGMA
        mu = math.log(kind.mean_s) - sigma * sigma / 2
        takes_s = self._net.rng.lognormvariate(mu, sigma)
        begun = self._servers[node].start(
            start.work, takes_s, lambda whole: self._done(node, start, whole)
        )
        if not begun:
            refused = WorkEnded(start.work, NotRun(Reason.SHED))
            self._give(node, node, refused)
            return
        self.started.append(
            StartedWork(self._clock.now, node, start.work, sent_req)
        )

    def _done(self, node: NodeId, start: StartWork, whole: bool) -> None:
        if whole:
            verdict = Ran(200, digest(self._request_of(start.work)), 100)
            self._net.dispatch(node, WorkEnded(start.work, verdict))

    def _answer(self, node: NodeId, answer: AnswerAttempt) -> None:
        if self._net.cut(node, answer.dst):
            self._lost(answer.attempt)
            return
        self._in_flight.pop(answer.attempt, None)
        ended = AttemptEnded(
            answer.attempt, answer.verdict, answer.load, answer.go
        )
        self._give(node, answer.dst, ended)

    def _lost(self, attempt: AttemptId) -> None:
        """Notify a balancer that the connection of an attempt was lost."""
        if self._in_flight.pop(attempt, None) is None:
            return
        src = self._source[attempt]
        verdict = MayHaveRun(Reason.CONNECTION_LOST)
        self._give(src, src, AttemptEnded(attempt, verdict))

    def _request_of(self, attempt: AttemptId) -> SentRequest:
        return self.asked[self._requests[attempt]]

    def _end(self, asked: SentRequest, verdict: Verdict) -> None:
        if asked.verdict is not None:
            return
        asked.verdict = verdict
        asked.ended_at = self._clock.now
        unsure = isinstance(verdict, MayHaveRun)
        if unsure and asked.key is not None:
            self._clock.after(0.1, lambda: self._retry(asked))

    def _retry(self, asked: SentRequest) -> None:
        if self._net.rng.random() < RETRY_SHARE:
            self.ask(asked.service, asked.kind, asked.key)

    def _late(self, req: RequestId) -> None:
        """Retry a request that had no response within its deadline."""
        asked = self.asked[req]
        if asked.verdict is None and asked.key is not None:
            self._retry(asked)


def digest(asked: SentRequest) -> str:
    """Return the digest of the complete response to a request."""
    return f"answer to {asked.key or asked.req}"

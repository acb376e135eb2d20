"""Simple policies that serve as baselines of the rows."""

import collections
import enum
import random
from typing import Any

import msgspec

from medlar_core.config.model import Kind
from medlar_core.config.model import Service
from medlar_core.events import Tick
from medlar_core.events import ViewChanged
from medlar_core.ids import AttemptId
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import RequestId
from medlar_core.ids import Seconds
from medlar_core.members.view import Server
from medlar_core.requests.events import AnswerAttempt
from medlar_core.requests.events import AnswerCaller
from medlar_core.requests.events import AttemptCame
from medlar_core.requests.events import AttemptCancelled
from medlar_core.requests.events import AttemptEnded
from medlar_core.requests.events import CancelAttempt
from medlar_core.requests.events import RequestCame
from medlar_core.requests.events import RequestCancelled
from medlar_core.requests.events import ServerLoad
from medlar_core.requests.events import StartAttempt
from medlar_core.requests.events import StartWork
from medlar_core.requests.events import WorkEnded
from medlar_core.verdict import NotRun
from medlar_core.verdict import Ran
from medlar_core.verdict import Reason

QUEUE_LIMIT = 50
TRIES = 3
TIMEOUT_MEANS = 4.0


class Order(enum.Enum):
    """Order in which queued work starts."""

    FIFO = "fifo"
    STRICT = "strict priority"
    STATIC = "static limits"


class Pick(enum.Enum):
    """How a balancer chooses a server."""

    RANDOM = "random"
    LEAST = "least connections"
    TWO_STALE = "two random choices, stale load"
    ENDPOINT = "trust the endpoint"


class PlainAgent:
    """Agent with a single queue and without deduplication."""

    def __init__(self, service: Service, order: Order) -> None:
        self._slots = service.slots
        self._kinds = {kind.name: kind for kind in service.kinds}
        self._order = order
        self._queue: list[AttemptCame] = []
        self._running: dict[AttemptId, AttemptCame] = {}

    def reduce(self, now: Seconds, event: Any) -> list[Any]:
        """Take one event and return the effects to carry out."""
        effects: list[Any] = []
        match event:
            case AttemptCame():
                if len(self._queue) < QUEUE_LIMIT:
                    self._queue.append(event)
                else:
                    full = NotRun(Reason.QUEUE_FULL)
                    effects.append(self._answer(event, full))
            case AttemptCancelled(attempt=attempt):
                self._queue = [c for c in self._queue if c.attempt != attempt]
            case WorkEnded(work=work, verdict=verdict):
                arrival = self._running.pop(work, None)
                if arrival is not None:
                    effects.append(self._answer(arrival, verdict))
        while len(self._running) < self._slots:
            arrival = self._next()
            if arrival is None:
                break
            self._queue.remove(arrival)
            self._running[arrival.attempt] = arrival
            effects.append(
                StartWork(
                    arrival.attempt, arrival.service, arrival.kind, None, 60.0
                )
            )
        return effects

    def _next(self) -> AttemptCame | None:
        queue = self._queue
        if self._order is Order.STRICT:
            return min(queue, key=lambda c: self._kind(c).rank, default=None)
        if self._order is Order.STATIC:
            return next((c for c in queue if self._within(c)), None)
        return queue[0] if queue else None

    def _within(self, arrival: AttemptCame) -> bool:
        """Return whether a kind is below its fixed limit of slots."""
        kind = self._kind(arrival)
        held = sum(c.kind == kind.name for c in self._running.values())
        return held < max(1.0, kind.floor * self._slots)

    def _kind(self, arrival: AttemptCame) -> Kind:
        return self._kinds[arrival.kind]

    def _answer(self, arrival: AttemptCame, verdict: Any) -> AnswerAttempt:
        load = ServerLoad(len(self._running), len(self._queue), self._slots)
        work = arrival.attempt if isinstance(verdict, Ran) else None
        return AnswerAttempt(arrival.attempt, arrival.src, verdict, load, work)


class _Open(msgspec.Struct):
    arrival: RequestCame
    attempt: AttemptId
    dst: NodeId
    sent_at: float
    due: float
    tries: int = 1


class PlainBalancer:
    """Balancer that forwards every request and retries after a timeout."""

    def __init__(
        self,
        node: NodeId,
        rng: random.Random,
        pick: Pick,
        waits_for_deadline: bool,
    ) -> None:
        self._node = node
        self._rng = rng
        self._pick = pick
        self._waits_for_deadline = waits_for_deadline
        self._servers: tuple[Server, ...] = ()
        self._open: dict[RequestId, _Open] = {}
        self._sent: dict[AttemptId, RequestId] = {}
        self._count: collections.Counter[NodeId] = collections.Counter()
        self._stale_load: dict[NodeId, int] = {}
        self._stale_load_at = 0.0
        self._latest_load: dict[NodeId, int] = {}

    def reduce(self, now: Seconds, event: Any) -> list[Any]:
        """Take one event and return the effects to carry out."""
        match event:
            case RequestCame():
                return self._try(now, event, 1)
            case AttemptEnded():
                return self._ended(now, event)
            case RequestCancelled(req=req):
                open_ = self._open.pop(req, None)
                if open_ is None:
                    return []
                self._count[open_.dst] -= 1
                return [CancelAttempt(open_.attempt, open_.dst)]
            case ViewChanged(view=view):
                self._servers = view.servers
            case Tick():
                return self._tick(now)
        return []

    def _try(self, now: float, arrival: RequestCame, tries: int) -> list[Any]:
        known = [s for s in self._servers if s.service == arrival.service]
        if not known:
            self._open.pop(arrival.req, None)
            return [AnswerCaller(arrival.req, NotRun(Reason.NO_SERVER))]
        server = self._choose(known)
        attempt = AttemptId(f"{self._node}-{self._rng.getrandbits(64):x}")
        due = now + arrival.deadline_s
        if arrival.req in self._open:
            due = self._open[arrival.req].due
        self._open[arrival.req] = _Open(
            arrival, attempt, server.id, now, due, tries
        )
        self._sent[attempt] = arrival.req
        self._count[server.id] += 1
        return [
            StartAttempt(
                attempt=attempt,
                req=arrival.req,
                dst=server.id,
                incarnation=server.incarnation,
                service=arrival.service,
                kind=arrival.kind,
                key=arrival.key,
                deadline_s=due - now,
                body_bytes=arrival.body_bytes,
            )
        ]

    def _choose(self, known: list[Server]) -> Server:
        match self._pick:
            case Pick.RANDOM:
                return self._rng.choice(known)
            case Pick.LEAST:
                return min(
                    known,
                    key=lambda s: (self._count[s.id], self._rng.random()),
                )
            case Pick.TWO_STALE:
                two = self._rng.sample(known, min(2, len(known)))
                return min(two, key=lambda s: self._stale_load.get(s.id, 0))
            case Pick.ENDPOINT:
                return min(known, key=lambda s: (s.busy, self._rng.random()))

    def _ended(self, now: float, end: AttemptEnded) -> list[Any]:
        id = self._sent.pop(end.attempt, None)
        open_ = self._open.get(id) if id is not None else None
        if id is None or open_ is None or open_.attempt != end.attempt:
            return []
        self._count[open_.dst] -= 1
        if end.load is not None:
            self._latest_load[open_.dst] = end.load.busy + end.load.queued
        if isinstance(end.verdict, Ran):
            del self._open[id]
            return [AnswerCaller(id, end.verdict, end.attempt)]
        return self._again(now, open_)

    def _again(self, now: float, open_: _Open) -> list[Any]:
        if open_.tries <= TRIES:
            return self._try(now, open_.arrival, open_.tries + 1)
        del self._open[open_.arrival.req]
        return [AnswerCaller(open_.arrival.req, NotRun(Reason.RETRY_BUDGET))]

    def _tick(self, now: float) -> list[Any]:
        if now - self._stale_load_at >= 1.0:
            self._stale_load, self._stale_load_at = (
                dict(self._latest_load),
                now,
            )
        effects: list[Any] = []
        for open_ in list(self._open.values()):
            limit_s = open_.arrival.deadline_s
            if not self._waits_for_deadline:
                limit_s *= TIMEOUT_MEANS / 10.0
            if now - open_.sent_at >= limit_s:
                self._count[open_.dst] -= 1
                self._sent.pop(open_.attempt, None)
                effects.append(CancelAttempt(open_.attempt, open_.dst))
                effects += self._again(now, open_)
        return effects


def plain(
    order: Order, pick: Pick, waits_for_deadline: bool = True
) -> tuple[Any, Any]:
    """Return factories for the balancers and agents of a simple policy."""

    def balancer(node: NodeId, rng: random.Random) -> PlainBalancer:
        return PlainBalancer(node, rng, pick, waits_for_deadline)

    def agent(
        node: NodeId, service: Service, inc: Incarnation, rng: random.Random
    ) -> PlainAgent:
        return PlainAgent(service, order)

    return balancer, agent

"""Requests at a balancer: the door, the choice of server, the verdict."""

import random
from typing import Any

from ..config.model import Kind
from ..events import ConfigurationChanged
from ..events import StopAsked
from ..events import Tick
from ..events import ViewChanged
from ..ids import AttemptId
from ..ids import KindName
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import RequestId
from ..ids import Seconds
from ..ids import ServiceName
from ..verdict import MayHaveRun
from ..verdict import NotRun
from ..verdict import Ran
from ..verdict import Reason
from ..verdict import Verdict
from .budgets import RetryBudget
from .budgets import ServiceBounds
from .choice import Choice
from .door import Door
from .events import AnswerCaller
from .events import AttemptEnded
from .events import CancelAttempt
from .events import Go
from .events import RequestCame
from .events import RequestCancelled
from .events import StartAttempt
from .explain import BalancerExplained
from .explain import DoorExplained
from .homes import as_go
from .homes import home_of
from .journal import Journal
from .policy import POLICY
from .policy import Policy
from .tracking import OpenRequest

NO_ROOM = (Reason.OVER_SHARE, Reason.QUEUE_FULL, Reason.DEADLINE, Reason.SHED)
"""Refusals by which a balancer learns what agents take."""

FREE_RETRIES = (Reason.UNREACHABLE, Reason.DRAINING, Reason.FENCED)
"""Refusals that cost a server nothing and need no retry budget."""

FINAL = (Reason.CANCELLED, Reason.TOO_LARGE, Reason.MALFORMED)
"""Reasons after which another attempt would end no better."""

FAILURES = (
    Reason.UNREACHABLE,
    Reason.CONNECTION_LOST,
    Reason.SERVER_DIED,
    Reason.SHED,
)
"""Ends of attempts that count against a server."""


class BalancerRequests:
    """Decides which agent a request is tried on and how it ends."""

    def __init__(
        self,
        node: NodeId,
        place: PlaceName,
        rng: random.Random,
        policy: Policy = POLICY,
    ) -> None:
        self._node = node
        self._policy = policy
        self._kinds: dict[ServiceName, dict[KindName, Kind]] = {}
        self._choice = Choice(node, rng, policy)
        self._door = Door(rng, policy)
        self._retries = RetryBudget(policy)
        self._bounds = ServiceBounds(policy)
        self._journal = Journal()
        self._requests: dict[RequestId, OpenRequest] = {}
        self._held: dict[RequestId, RequestCame] = {}
        self._attempts: dict[AttemptId, RequestId] = {}
        self._stem = f"{rng.getrandbits(64):016x}"
        self._made = 0
        self._stopping = False
        self._last: float | None = None
        self._fenced_until = 0.0

    @property
    def open_work(self) -> int:
        """Requests without a verdict; a stopping balancer waits for 0."""
        return len(self._requests) + len(self._held)

    def explain(self) -> BalancerExplained:
        """Return what is open and how far each kind's door is."""
        doors = tuple(
            DoorExplained(service, name, self._door.open_share(service, name))
            for service, kinds in self._kinds.items()
            for name in kinds
        )
        return BalancerExplained(len(self._requests), doors)

    def reduce(self, now: Seconds, event: Any) -> list[Any]:
        """Take one event and return the effects to carry out."""
        self._watch_gap(now)
        effects = self._on(now, event)
        effects += self._journal.take()
        return effects

    def _on(self, now: float, event: Any) -> list[Any]:
        match event:
            case RequestCame():
                return self._came(now, event)
            case AttemptEnded():
                return self._ended(now, event)
            case RequestCancelled(req=req):
                return self._cancelled(now, req)
            case ViewChanged(view=view):
                self._choice.set_view(view)
            case ConfigurationChanged(cfg=cfg):
                self._kinds = {
                    service.name: {kind.name: kind for kind in service.kinds}
                    for service in cfg.services
                }
            case StopAsked():
                self._stopping = True
            case Tick():
                return self._tick(now)
        return []

    def _watch_gap(self, now: float) -> None:
        """Fence this process if it stood still: what comes may be old."""
        last, self._last = self._last, now
        if last is not None and now - last > self._policy.fence_gap_s:
            self._fenced_until = now + self._policy.fence_hold_s

    def _came(self, now: float, came: RequestCame) -> list[Any]:
        if came.req in self._requests or came.req in self._held:
            return []
        kind = self._kinds.get(came.service, {}).get(came.kind)
        if kind is not None and kind.idempotent and now < self._fenced_until:
            # Many of these callers went away meanwhile: wait to hear that.
            self._held[came.req] = came
            return []
        reason = self._barred(now, came, kind)
        if reason is not None or kind is None:
            return self._bar(now, came, reason or Reason.UNKNOWN_KIND)
        if not self._bounds.take(came.service, came.body_bytes):
            return self._bar(now, came, Reason.OVER_SHARE)
        req = OpenRequest(came, kind, now + came.deadline_s)
        self._requests[came.req] = req
        self._retries.earn(came.service, came.kind)
        return self._try_next(now, req)

    def _barred(
        self, now: float, came: RequestCame, kind: Kind | None
    ) -> Reason | None:
        """Return why a request is refused at the door."""
        if came.service not in self._kinds:
            return Reason.UNKNOWN_SERVICE
        if kind is None:
            return Reason.UNKNOWN_KIND
        if self._stopping:
            return Reason.DRAINING
        if now < self._fenced_until:
            return Reason.FENCED
        if came.body_bytes > kind.max_body_bytes:
            return Reason.TOO_LARGE
        admits = self._door.admits(came.service, came.kind, came.caller)
        # Only its home can tell that a key which may be a repeat did not
        # run, so the door lets it pass.
        unsure = came.key is not None and came.repeat is not False
        if not admits and not (unsure and not kind.idempotent):
            return Reason.OVER_SHARE
        return None

    def _bar(self, now: float, came: RequestCame, why: Reason) -> list[Any]:
        self._journal.note(now, came, why)
        verdict: Verdict = NotRun(why)
        if came.key is not None and came.repeat is not False:
            verdict = MayHaveRun(why)
        return [AnswerCaller(came.req, verdict)]

    def _try_next(self, now: float, req: OpenRequest) -> list[Any]:
        if req.keyed:
            return self._try_home(now, req)
        service = req.came.service
        server = self._choice.pick(now, service, req.kind.rank, req.tried)
        if server is None:
            return self._finish(now, req, NotRun(Reason.NO_SERVER))
        return self._start(now, req, as_go(server))

    def _try_home(self, now: float, req: OpenRequest) -> list[Any]:
        key = req.came.key
        homes = self._choice.homes(req.came.service)
        home = home_of(key, homes) if key is not None else None
        if home is None:
            return self._finish(now, req, NotRun(Reason.NO_SERVER))
        if not self._choice.speaks(now, home.node):
            return self._finish(now, req, NotRun(Reason.UNREACHABLE))
        return self._start(now, req, home, spare=self._spare(now, req, home))

    def _spare(self, now: float, req: OpenRequest, home: Go) -> Go | None:
        """Return a process with a free slot that the home may cede to."""
        if not self._retries.left(req.came.service, req.kind.name):
            return None
        tried = {home.node, *req.tried}
        server = self._choice.pick(now, req.came.service, req.kind.rank, tried)
        if server is None or not self._choice.idle(now, server, req.kind.rank):
            return None
        return as_go(server)

    def _start(
        self,
        now: float,
        req: OpenRequest,
        to: Go,
        spare: Go | None = None,
        ceded_by: NodeId | None = None,
    ) -> list[Any]:
        came = req.came
        self._made += 1
        attempt = AttemptId(f"{self._stem}-{self._made}")
        start = StartAttempt(
            attempt=attempt,
            req=came.req,
            dst=to.node,
            incarnation=to.incarnation,
            service=came.service,
            kind=came.kind,
            key=came.key,
            deadline_s=max(req.due - now, 0.0),
            body_bytes=came.body_bytes,
            repeat=True if req.unsure else came.repeat,
            ceded_by=ceded_by,
            spare=spare,
            hops=req.attempts,
        )
        req.open[attempt] = to.node
        req.attempts += 1
        req.tried.add(to.node)
        req.sent_at = now
        self._attempts[attempt] = came.req
        self._choice.sent(now, to.node)
        self._door.sent(came.service, came.kind)
        return [start]

    def _ended(self, now: float, end: AttemptEnded) -> list[Any]:
        found = self._attempts.pop(end.attempt, None)
        if found is None:
            return []
        req = self._requests[found]
        dst = req.open.pop(end.attempt)
        verdict = end.verdict
        reason = None if isinstance(verdict, Ran) else verdict.reason
        self._choice.ended(now, dst, end.load, reason in FAILURES)
        match verdict:
            case Ran():
                return self._finish(now, req, verdict, end.attempt)
            case NotRun():
                return self._not_run(now, req, verdict, end, dst)
            case MayHaveRun(reason=why):
                req.unsure = True
                if req.open:
                    return []
                if self._may_ask_again(now, req, why):
                    return self._try_next(now, req)
                return self._finish(now, req, verdict)

    def _may_ask_again(
        self, now: float, req: OpenRequest, why: Reason
    ) -> bool:
        """Return whether another attempt may be made all the same.

        Idempotent work may run again. A key whose answer got lost is
        asked of its home again, which runs it at most once.
        """
        lost = why is Reason.CONNECTION_LOST
        if not req.kind.idempotent and not (req.keyed and lost):
            return False
        return self._may_retry(now, req, why)

    def _not_run(
        self,
        now: float,
        req: OpenRequest,
        verdict: NotRun,
        end: AttemptEnded,
        dst: NodeId,
    ) -> list[Any]:
        came = req.came
        if end.load is not None and verdict.reason in NO_ROOM:
            self._door.refused(came.service, came.kind)
            req.settled = req.keyed
            if req.keyed:
                return self._finish(now, req, verdict)
        if req.open:
            return []
        if end.go is not None and req.attempts < self._policy.hops:
            ceded_by = dst if end.go.ceded else None
            if ceded_by is not None and verdict.reason is not Reason.DRAINING:
                self._retries.spend(came.service, came.kind)
            return self._start(now, req, end.go, ceded_by=ceded_by)
        if req.keyed or not self._may_retry(now, req, verdict.reason):
            return self._finish(now, req, verdict)
        return self._try_next(now, req)

    def _may_retry(self, now: float, req: OpenRequest, why: Reason) -> bool:
        came = req.came
        if why in FINAL or req.attempts >= self._policy.hops:
            return False
        if req.due - now < self._policy.finish_means * req.kind.mean_s:
            return False
        if why in FREE_RETRIES:
            return True
        return self._retries.spend(came.service, came.kind)

    def _finish(
        self,
        now: float,
        req: OpenRequest,
        verdict: Verdict,
        attempt: AttemptId | None = None,
    ) -> list[Any]:
        effects = self._close(now, req)
        if isinstance(verdict, NotRun) and not self._proved(req):
            verdict = MayHaveRun(verdict.reason)
        if not isinstance(verdict, Ran):
            self._journal.note(now, req.came, verdict.reason)
        return [*effects, AnswerCaller(req.came.req, verdict, attempt)]

    def _proved(self, req: OpenRequest) -> bool:
        """Return whether "not run" holds for the key, not just for us."""
        if req.settled:
            return True
        if req.unsure:
            return False
        return req.came.key is None or req.came.repeat is False

    def _cancelled(self, now: float, id: RequestId) -> list[Any]:
        self._held.pop(id, None)
        req = self._requests.get(id)
        return self._close(now, req) if req is not None else []

    def _close(self, now: float, req: OpenRequest) -> list[Any]:
        """Forget a request and cancel what is still under way for it."""
        came = req.came
        effects: list[Any] = []
        for attempt, dst in req.open.items():
            del self._attempts[attempt]
            self._choice.ended(now, dst, None, False)
            effects.append(CancelAttempt(attempt, dst))
            req.unsure = True
        del self._requests[came.req]
        self._bounds.give(came.service, came.body_bytes)
        return effects

    def _tick(self, now: float) -> list[Any]:
        self._door.tick(now)
        effects: list[Any] = []
        if now >= self._fenced_until:
            held, self._held = self._held, {}
            for came in held.values():
                effects += self._came(now, came)
        grace = self._policy.grace_s
        late = [r for r in self._requests.values() if r.due + grace <= now]
        for req in late:
            for dst in req.open.values():
                self._choice.unheard(dst, req.sent_at)
            effects += self._finish(now, req, MayHaveRun(Reason.DEADLINE))
        for req in list(self._requests.values()):
            effects += self._hedge(now, req)
        return effects

    def _hedge(self, now: float, req: OpenRequest) -> list[Any]:
        """Try idempotent work that takes long on a second server."""
        if not req.kind.idempotent or req.hedged or not req.open:
            return []
        wait = self._policy.hedge_share * req.kind.deadline_s
        if now - req.sent_at < wait:
            return []
        left = req.due - now
        server = self._choice.pick(
            now, req.came.service, req.kind.rank, req.tried
        )
        if server is None or left < self._policy.finish_means * (
            req.kind.mean_s
        ):
            return []
        if not self._retries.spend(req.came.service, req.came.kind):
            return []
        req.hedged = True
        return self._start(now, req, as_go(server))

"""Requests at a balancer: admission, choice of server and verdict."""

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
from .throttle import Throttle
from .tracking import OpenRequest

CAPACITY_REFUSALS = (
    Reason.OVER_SHARE,
    Reason.QUEUE_FULL,
    Reason.DEADLINE,
    Reason.SHED,
)
"""Refusals for lack of capacity, from which the throttle learns."""

UNBUDGETED_RETRIES = (Reason.UNREACHABLE, Reason.DRAINING, Reason.FENCED)
"""Refusals without cost for a server; retries need no budget."""

FINAL_REASONS = (Reason.CANCELLED, Reason.TOO_LARGE, Reason.MALFORMED)
"""Reasons after which another attempt cannot succeed."""

SERVER_FAILURES = (
    Reason.UNREACHABLE,
    Reason.CONNECTION_LOST,
    Reason.SERVER_DIED,
    Reason.SHED,
)
"""Reasons that count as a failure of the server."""


class BalancerRequests:
    """Chooses agents for the attempts of a request and its verdict."""

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
        self._throttle = Throttle(rng, policy)
        self._retries = RetryBudget(policy)
        self._bounds = ServiceBounds(policy)
        self._journal = Journal()
        self._requests: dict[RequestId, OpenRequest] = {}
        self._deferred: dict[RequestId, RequestCame] = {}
        self._attempts: dict[AttemptId, RequestId] = {}
        self._attempt_prefix = f"{rng.getrandbits(64):016x}"
        self._attempt_count = 0
        self._stopping = False
        self._last_event_at: float | None = None
        self._fenced_until = 0.0

    @property
    def open_work(self) -> int:
        """Requests without a verdict; a balancer stops only at 0."""
        return len(self._requests) + len(self._deferred)

    def explain(self) -> BalancerExplained:
        """Return the open requests and the admitted share of each kind."""
        doors = tuple(
            DoorExplained(
                service, name, self._throttle.open_share(service, name)
            )
            for service, kinds in self._kinds.items()
            for name in kinds
        )
        return BalancerExplained(len(self._requests), doors)

    def reduce(self, now: Seconds, event: Any) -> list[Any]:
        """Handle one event and return the effects to carry out."""
        self._detect_pause(now)
        effects = self._on(now, event)
        effects += self._journal.take()
        return effects

    def _on(self, now: float, event: Any) -> list[Any]:
        match event:
            case RequestCame():
                return self._on_request(now, event)
            case AttemptEnded():
                return self._on_attempt_ended(now, event)
            case RequestCancelled(req=req):
                return self._on_cancelled(now, req)
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

    def _detect_pause(self, now: float) -> None:
        """Fence this process after a pause, as queued events may be old."""
        last_at, self._last_event_at = self._last_event_at, now
        if last_at is not None and now - last_at > self._policy.fence_gap_s:
            self._fenced_until = now + self._policy.fence_hold_s

    def _on_request(self, now: float, request: RequestCame) -> list[Any]:
        if request.req in self._requests or request.req in self._deferred:
            return []
        kind = self._kinds.get(request.service, {}).get(request.kind)
        if kind is not None and kind.idempotent and now < self._fenced_until:
            # Many of these callers disconnected during the pause: defer the
            # request until their cancellations have been received.
            self._deferred[request.req] = request
            return []
        reason = self._refusal_reason(now, request, kind)
        if reason is not None or kind is None:
            return self._refuse(now, request, reason or Reason.UNKNOWN_KIND)
        if not self._bounds.reserve(request.service, request.body_bytes):
            return self._refuse(now, request, Reason.OVER_SHARE)
        req = OpenRequest(request, kind, now + request.deadline_s)
        self._requests[request.req] = req
        self._retries.earn(request.service, request.kind)
        return self._try_next(now, req)

    def _refusal_reason(
        self, now: float, request: RequestCame, kind: Kind | None
    ) -> Reason | None:
        """Return why a request is refused before any attempt."""
        if request.service not in self._kinds:
            return Reason.UNKNOWN_SERVICE
        if kind is None:
            return Reason.UNKNOWN_KIND
        if self._stopping:
            return Reason.DRAINING
        if now < self._fenced_until:
            return Reason.FENCED
        if request.body_bytes > kind.max_body_bytes:
            return Reason.TOO_LARGE
        admits = self._throttle.admits(
            request.service, request.kind, request.caller
        )
        # Only its home can prove that a key which may be a retry did not
        # run, so the throttle does not apply to it.
        may_have_run = request.key is not None and request.repeat is not False
        if not admits and not (may_have_run and not kind.idempotent):
            return Reason.OVER_SHARE
        return None

    def _refuse(
        self, now: float, request: RequestCame, why: Reason
    ) -> list[Any]:
        self._journal.note(now, request, why)
        verdict: Verdict = NotRun(why)
        if request.key is not None and request.repeat is not False:
            verdict = MayHaveRun(why)
        return [AnswerCaller(request.req, verdict)]

    def _try_next(self, now: float, req: OpenRequest) -> list[Any]:
        if req.keyed:
            return self._try_home(now, req)
        service = req.request.service
        server = self._choice.pick(now, service, req.kind.rank, req.tried)
        if server is None:
            return self._finish(now, req, NotRun(Reason.NO_SERVER))
        return self._start(now, req, as_go(server))

    def _try_home(self, now: float, req: OpenRequest) -> list[Any]:
        key = req.request.key
        homes = self._choice.homes(req.request.service)
        home = home_of(key, homes) if key is not None else None
        if home is None:
            return self._finish(now, req, NotRun(Reason.NO_SERVER))
        if not self._choice.is_responsive(now, home.node):
            return self._finish(now, req, NotRun(Reason.UNREACHABLE))
        return self._start(
            now, req, home, spare=self._spare_agent(now, req, home)
        )

    def _spare_agent(
        self, now: float, req: OpenRequest, home: Go
    ) -> Go | None:
        """Return an agent with a free slot that the home may cede to."""
        if not self._retries.available(req.request.service, req.kind.name):
            return None
        tried = {home.node, *req.tried}
        server = self._choice.pick(
            now, req.request.service, req.kind.rank, tried
        )
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
        request = req.request
        self._attempt_count += 1
        attempt = AttemptId(f"{self._attempt_prefix}-{self._attempt_count}")
        start = StartAttempt(
            attempt=attempt,
            req=request.req,
            dst=to.node,
            incarnation=to.incarnation,
            service=request.service,
            kind=request.kind,
            key=request.key,
            deadline_s=max(req.due - now, 0.0),
            body_bytes=request.body_bytes,
            repeat=True if req.may_have_run else request.repeat,
            ceded_by=ceded_by,
            spare=spare,
            hops=req.attempts,
        )
        req.open[attempt] = to.node
        req.attempts += 1
        req.tried.add(to.node)
        req.sent_at = now
        self._attempts[attempt] = request.req
        self._choice.sent(now, to.node)
        self._throttle.sent(request.service, request.kind)
        return [start]

    def _on_attempt_ended(self, now: float, end: AttemptEnded) -> list[Any]:
        found = self._attempts.pop(end.attempt, None)
        if found is None:
            return []
        req = self._requests[found]
        dst = req.open.pop(end.attempt)
        verdict = end.verdict
        reason = None if isinstance(verdict, Ran) else verdict.reason
        self._choice.ended(now, dst, end.load, reason in SERVER_FAILURES)
        match verdict:
            case Ran():
                return self._finish(now, req, verdict, end.attempt)
            case NotRun():
                return self._not_run(now, req, verdict, end, dst)
            case MayHaveRun(reason=why):
                req.may_have_run = True
                if req.open:
                    return []
                if self._may_rerun(now, req, why):
                    return self._try_next(now, req)
                return self._finish(now, req, verdict)

    def _may_rerun(self, now: float, req: OpenRequest, why: Reason) -> bool:
        """Return whether to retry after an attempt that may have run.

        Idempotent work may run again. A key whose answer was lost is
        sent to its home again, which runs it at most once.
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
        request = req.request
        if end.load is not None and verdict.reason in CAPACITY_REFUSALS:
            self._throttle.refused(request.service, request.kind)
            req.refused_by_home = req.keyed
            if req.keyed:
                return self._finish(now, req, verdict)
        if req.open:
            return []
        if end.go is not None and req.attempts < self._policy.hops:
            ceded_by = dst if end.go.ceded else None
            if ceded_by is not None and verdict.reason is not Reason.DRAINING:
                self._retries.spend(request.service, request.kind)
            return self._start(now, req, end.go, ceded_by=ceded_by)
        if req.keyed or not self._may_retry(now, req, verdict.reason):
            return self._finish(now, req, verdict)
        return self._try_next(now, req)

    def _may_retry(self, now: float, req: OpenRequest, why: Reason) -> bool:
        request = req.request
        if why in FINAL_REASONS or req.attempts >= self._policy.hops:
            return False
        if req.due - now < self._policy.finish_means * req.kind.mean_s:
            return False
        if why in UNBUDGETED_RETRIES:
            return True
        return self._retries.spend(request.service, request.kind)

    def _finish(
        self,
        now: float,
        req: OpenRequest,
        verdict: Verdict,
        attempt: AttemptId | None = None,
    ) -> list[Any]:
        effects = self._close(now, req)
        if isinstance(verdict, NotRun) and not self._proven_not_run(req):
            verdict = MayHaveRun(verdict.reason)
        if not isinstance(verdict, Ran):
            self._journal.note(now, req.request, verdict.reason)
        return [*effects, AnswerCaller(req.request.req, verdict, attempt)]

    def _proven_not_run(self, req: OpenRequest) -> bool:
        """Return whether no attempt ran, including earlier ones of the key."""
        if req.refused_by_home:
            return True
        if req.may_have_run:
            return False
        return req.request.key is None or req.request.repeat is False

    def _on_cancelled(self, now: float, id: RequestId) -> list[Any]:
        self._deferred.pop(id, None)
        req = self._requests.get(id)
        return self._close(now, req) if req is not None else []

    def _close(self, now: float, req: OpenRequest) -> list[Any]:
        """Remove a request and cancel its open attempts."""
        request = req.request
        effects: list[Any] = []
        for attempt, dst in req.open.items():
            del self._attempts[attempt]
            self._choice.ended(now, dst, None, False)
            effects.append(CancelAttempt(attempt, dst))
            req.may_have_run = True
        del self._requests[request.req]
        self._bounds.release(request.service, request.body_bytes)
        return effects

    def _tick(self, now: float) -> list[Any]:
        self._throttle.tick(now)
        effects: list[Any] = []
        if now >= self._fenced_until:
            deferred, self._deferred = self._deferred, {}
            for request in deferred.values():
                effects += self._on_request(now, request)
        grace = self._policy.grace_s
        late = [r for r in self._requests.values() if r.due + grace <= now]
        for req in late:
            for dst in req.open.values():
                self._choice.timed_out(dst, req.sent_at)
            effects += self._finish(now, req, MayHaveRun(Reason.DEADLINE))
        for req in list(self._requests.values()):
            effects += self._hedge(now, req)
        return effects

    def _hedge(self, now: float, req: OpenRequest) -> list[Any]:
        """Start a second attempt at slow idempotent work."""
        if not req.kind.idempotent or req.hedged or not req.open:
            return []
        wait = self._policy.hedge_share * req.kind.deadline_s
        if now - req.sent_at < wait:
            return []
        left = req.due - now
        server = self._choice.pick(
            now, req.request.service, req.kind.rank, req.tried
        )
        if server is None or left < self._policy.finish_means * (
            req.kind.mean_s
        ):
            return []
        if not self._retries.spend(req.request.service, req.request.kind):
            return []
        req.hedged = True
        return self._start(now, req, as_go(server))

"""Requests at an agent, which alone starts work on its server."""

from collections.abc import Iterable
import random
from typing import Any

from ..config.model import Kind
from ..effects import Publish
from ..events import ConfigurationChanged
from ..events import DrainAsked
from ..events import LoadMeasured
from ..events import Received
from ..events import StopAsked
from ..events import StoreAnswered
from ..events import Tick
from ..events import ViewChanged
from ..ids import AttemptId
from ..ids import Incarnation
from ..ids import KindName
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from ..ids import ServiceName
from ..verdict import MayHaveRun
from ..verdict import NotRun
from ..verdict import Reason
from ..verdict import Verdict
from .admission import Admission
from .admission import Freed
from .claims import Claim
from .claims import KeyState
from .events import AttemptCame
from .events import AttemptCancelled
from .events import CancelWork
from .events import DropAnswer
from .events import Go
from .events import StartWork
from .events import WorkEnded
from .explain import AgentExplained
from .explain import KindExplained
from .founder import FOUNDER_CALL
from .homes import candidates
from .journal import Journal
from .keyed import Asks
from .keyed import Keyed
from .keyed import Ruling
from .keyed import Say
from .keyed import Windows
from .ledger import Attempt
from .ledger import Ledger
from .messages import ClaimAsk
from .messages import ClaimTold
from .policy import POLICY
from .policy import Policy
from .queues import Work

KEEP_S = 600.0
"""Longest past of homes that is kept, in seconds."""


class AgentRequests:
    """Decides which attempts run on this agent's server, and when."""

    def __init__(
        self,
        node: NodeId,
        service: ServiceName,
        place: PlaceName,
        incarnation: Incarnation,
        rng: random.Random,
        policy: Policy = POLICY,
    ) -> None:
        self._me = Go(node, incarnation)
        self._service = service
        self._policy = policy
        self._kinds: dict[KindName, Kind] = {}
        self._admission = Admission(0, {}, policy)
        self._keyed = Keyed(self._me, service, policy, KEEP_S)
        self._journal = Journal(service)
        self._ledger = Ledger(
            policy.view_spread_s, self._journal, self._admission.load
        )
        self._last: float | None = None
        self._fenced_until = 0.0
        self._told_busy = -1

    @property
    def open_work(self) -> int:
        """Work that runs or waits, and keys that repeats may ask for.

        A leaving agent stays until this is 0.
        """
        active = len(self._admission.queues) + len(self._admission.running)
        return active + len(self._keyed.claims)

    def explain(self, now: Seconds) -> AgentExplained:
        """Return how the slots stand against floors and ranks."""
        shares = self._admission.shares
        kinds = tuple(
            KindExplained(
                kind=kind.name,
                rank=kind.rank,
                floor=kind.floor,
                used=shares.used(now, kind.name),
                running=shares.running(kind.name),
                queued=self._admission.queues.length(kind.name),
            )
            for kind in self._kinds.values()
        )
        return AgentExplained(
            load=self._admission.load(),
            kinds=kinds,
            keys=len(self._keyed.claims),
            leaving=self._keyed.leaving,
        )

    def reduce(self, now: Seconds, event: Any) -> list[Any]:
        """Take one event and return the effects to carry out."""
        effects = self._watch_gap(now)
        effects += self._on(now, event)
        effects += self._fill(now)
        effects += self._journal.take()
        return effects

    def _on(self, now: float, event: Any) -> list[Any]:
        match event:
            case AttemptCame():
                return self._came(now, event)
            case WorkEnded(work=work, verdict=verdict):
                return self._ended(now, work, verdict)
            case AttemptCancelled(attempt=attempt):
                return self._cancelled(now, attempt)
            case Received(src=src, msg=ClaimAsk() as ask):
                win = self._longest()
                return self._carry(now, self._keyed.asked(now, src, ask, win))
            case Received(src=src, msg=ClaimTold() as told):
                return self._carry(now, self._keyed.told(now, src, told))
            case StoreAnswered(call=call, answer=answer):
                if call != FOUNDER_CALL:
                    return []
                return self._carry(now, self._keyed.answered(now, answer))
            case ViewChanged(view=view):
                homes = candidates(view, self._service)
                self._keyed.history.note(now, homes)
            case ConfigurationChanged():
                self._configure(event)
            case DrainAsked() | StopAsked():
                self._keyed.leaving = True
            case Tick():
                return self._tick(now)
        return []

    def _watch_gap(self, now: float) -> list[Any]:
        """Fence this process if it stood still for a while."""
        last, self._last = self._last, now
        if last is None or now - last <= self._policy.fence_gap_s:
            return []
        self._fenced_until = now + self._policy.fence_hold_s
        self._journal.note(now, None, Reason.FENCED)
        return self._rule(now, self._keyed.paused(now))

    def _configure(self, event: ConfigurationChanged) -> None:
        for service in event.cfg.services:
            if service.name == self._service:
                self._kinds = {kind.name: kind for kind in service.kinds}
                self._admission.resize(service.slots, self._kinds)

    def _came(self, now: float, came: AttemptCame) -> list[Any]:
        seen = self._ledger.get(came.attempt)
        if seen is not None:
            return [seen.answer] if seen.answer is not None else []
        seen = self._ledger.add(now, came)
        ids = [came.attempt]
        reason = self._barred(now, came)
        if reason is not None:
            return [*self._ledger.answer(now, ids, NotRun(reason))]
        kind = self._kinds[came.kind]
        if came.key is not None and not kind.idempotent:
            win = self._windows(kind)
            return self._carry(now, self._keyed.came(now, came, win))
        if self._keyed.leaving:
            verdict = NotRun(Reason.DRAINING)
            return [*self._ledger.answer(now, ids, verdict)]
        return self._admit(now, seen, kind, ids)

    def _barred(self, now: float, came: AttemptCame) -> Reason | None:
        """Return why an attempt is refused whatever else holds."""
        if came.incarnation != self._me.incarnation:
            return Reason.FENCED
        if came.service != self._service:
            return Reason.UNKNOWN_SERVICE
        if came.kind not in self._kinds:
            return Reason.UNKNOWN_KIND
        kind = self._kinds[came.kind]
        if now < self._fenced_until:
            return Reason.FENCED
        if came.body_bytes > kind.max_body_bytes:
            return Reason.TOO_LARGE
        return None

    def _admit(
        self, now: float, seen: Attempt, kind: Kind, ids: list[AttemptId]
    ) -> list[Any]:
        came = seen.came
        work = Work(came.attempt, kind, came.key, seen.due, ids)
        reason = self._admission.refusal(now, kind, seen.due - now)
        if reason is not None:
            return self._refuse(now, work, reason)
        self._admission.queues.put(work)
        return []

    def _refuse(self, now: float, work: Work, reason: Reason) -> list[Any]:
        """Refuse work that never ran; its key is free again."""
        ids = list(work.waiting)
        claim = self._claim_of(work)
        if claim is not None:
            claim.state = KeyState.REFUSED
            claim.waiting = []
        return [*self._ledger.answer(now, ids, NotRun(reason))]

    def _fill(self, now: float) -> list[Any]:
        """Start work while slots are free and its turn has come."""
        effects: list[Any] = []
        means = self._policy.finish_means
        for work in self._admission.queues.late(now, means):
            effects += self._refuse(now, work, Reason.DEADLINE)
        while (next_ := self._admission.start_next(now)) is not None:
            effects.append(self._start(now, next_))
        return effects

    def _claim_of(self, work: Work) -> Claim | None:
        """Return what is known of the key that decides on work."""
        if work.key is None or work.kind.idempotent:
            return None
        return self._keyed.claims.get(work.key)

    def _start(self, now: float, work: Work) -> StartWork:
        claim = self._claim_of(work)
        if work.keyed:
            if claim is None or claim.state is not KeyState.QUEUED:
                raise RuntimeError(f"expected {work.key} queued, got {claim}")
            claim.state = KeyState.RUNNING
            claim.work = work.id
        return StartWork(
            work=work.id,
            service=self._service,
            kind=work.kind.name,
            key=work.key,
            deadline_s=work.due - now,
        )

    def _ended(self, now: float, id: AttemptId, verdict: Verdict) -> list[Any]:
        shed = verdict == NotRun(Reason.SHED)
        how = Freed.SHED if shed else Freed.ENDED
        work = self._admission.free(now, id, how)
        if work is None:
            return []
        claim = self._claim_of(work)
        if shed and work.waiting and now < work.due - work.kind.mean_s:
            if claim is not None:
                claim.state = KeyState.QUEUED
            self._admission.queues.put(work, first=True)
            return []
        if isinstance(verdict, NotRun):
            return self._refuse(now, work, verdict.reason)
        ids = list(work.waiting)
        work.waiting.clear()
        if claim is not None:
            claim.state = KeyState.DONE
            claim.verdict = verdict
            window = self._windows(work.kind).repeat_s
            claim.expires = max(claim.expires, now + window)
        return [*self._ledger.answer(now, ids, verdict, work.id)]

    def _cancelled(self, now: float, attempt: AttemptId) -> list[Any]:
        """Free what only this attempt waited for."""
        if not self._ledger.cancel(now, attempt):
            return []
        work = self._admission.work_of(attempt)
        if work is None:
            return []
        work.waiting.remove(attempt)
        if work.waiting:
            return []
        if work.id not in self._admission.running:
            self._admission.queues.drop(work)
            return self._refuse(now, work, Reason.CANCELLED)
        if not work.kind.idempotent:
            return []
        self._admission.free(now, work.id, Freed.ENDED)
        return [CancelWork(work.id)]

    def _carry(self, now: float, asks: Asks) -> list[Any]:
        return [*asks.effects, *self._rule(now, asks.rulings)]

    def _rule(self, now: float, rulings: Iterable[Ruling]) -> list[Any]:
        effects: list[Any] = []
        for ruling in rulings:
            effects += self._rule_one(now, ruling)
        return effects

    def _rule_one(self, now: float, ruling: Ruling) -> list[Any]:
        ids = ruling.attempts
        match ruling.say:
            case Say.RUN:
                return self._run_key(now, ruling)
            case Say.WAIT:
                return []
            case Say.REPLY:
                claim = self._keyed.claims.get(ruling.key)
                if claim is None or claim.verdict is None:
                    return []
                return [
                    *self._ledger.answer(now, ids, claim.verdict, claim.work)
                ]
            case Say.ELSEWHERE:
                leaving = self._keyed.leaving
                reason = Reason.DRAINING if leaving else Reason.WRONG_HOME
                verdict = NotRun(reason)
                return [*self._ledger.answer(now, ids, verdict, go=ruling.go)]
            case Say.DOUBT:
                return [*self._ledger.doubt(now, ids)]

    def _run_key(self, now: float, ruling: Ruling) -> list[Any]:
        """Admit a key that is free to run here, or cede it if busy."""
        claim = self._keyed.claims.get(ruling.key)
        live = self._ledger.open(ruling.attempts)
        if claim is None or not live:
            self._keyed.claims.drop(ruling.key)
            return []
        # Work and claim share the list: who joins later waits in both.
        claim.waiting = [seen.came.attempt for seen in live]
        spare = live[0].came.spare
        kind = self._kinds[live[0].came.kind]
        wait = self._admission.wait_s(now, kind)
        longest = self._policy.cede_share * kind.deadline_s
        if spare is not None and wait > longest:
            return self._rule_one(
                now, self._keyed.cede(ruling.key, claim, spare)
            )
        return self._admit(now, live[0], kind, claim.waiting)

    def _tick(self, now: float) -> list[Any]:
        self._admission.tick(now)
        self._ledger.expire(now)
        effects = self._carry(now, self._keyed.tick(now))
        effects += self._overdue(now)
        effects += [DropAnswer(w) for w in self._keyed.claims.expire(now)]
        busy = len(self._admission.running)
        if busy != self._told_busy:
            self._told_busy = busy
            effects.append(Publish(LoadMeasured(busy=busy)))
        return effects

    def _overdue(self, now: float) -> list[Any]:
        """Answer what runs past its deadline; idempotent work is ended."""
        effects: list[Any] = []
        late = [w for w in self._admission.running.values() if w.due <= now]
        for work in late:
            ids = list(work.waiting)
            work.waiting.clear()
            verdict = MayHaveRun(Reason.DEADLINE)
            effects += self._ledger.answer(now, ids, verdict)
            if work.kind.idempotent:
                self._admission.free(now, work.id, Freed.ENDED)
                effects.append(CancelWork(work.id))
        return effects

    def _windows(self, kind: Kind) -> Windows:
        return Windows(
            self._policy.repeat_window_s(kind),
            self._policy.doubt_window_s(kind),
        )

    def _longest(self) -> Windows:
        """Return the windows of the kind that is remembered longest."""
        found = [self._windows(kind) for kind in self._kinds.values()]
        if not found:
            return Windows(KEEP_S, KEEP_S)
        return max(found, key=lambda win: win.repeat_s)

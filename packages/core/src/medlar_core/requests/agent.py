"""Requests at an agent, the only process that starts work on its server."""

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
from .attempts import Attempt
from .attempts import AttemptTable
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
from .key_ownership import KeyAction
from .key_ownership import KeyDecision
from .key_ownership import KeyOutcome
from .key_ownership import KeyOwnership
from .key_ownership import Windows
from .messages import ClaimAsk
from .messages import ClaimTold
from .policy import POLICY
from .policy import Policy
from .queues import Work

HOME_HISTORY_S = 600.0
"""Length of the history of key homes that is kept."""


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
        self._keys = KeyOwnership(self._me, service, policy, HOME_HISTORY_S)
        self._journal = Journal(service)
        self._attempts = AttemptTable(
            policy.view_spread_s, self._journal, self._admission.load
        )
        self._last_event_at: float | None = None
        self._fenced_until = 0.0
        self._published_busy = -1

    @property
    def open_work(self) -> int:
        """Running and queued work, and keys that may be retried.

        A draining agent stops only when this is 0.
        """
        active = len(self._admission.queues) + len(self._admission.running)
        return active + len(self._keys.claims)

    def explain(self, now: Seconds) -> AgentExplained:
        """Return the use of slots by kind, with floors and ranks."""
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
            keys=len(self._keys.claims),
            leaving=self._keys.draining,
        )

    def reduce(self, now: Seconds, event: Any) -> list[Any]:
        """Handle one event and return the effects to carry out."""
        effects = self._detect_pause(now)
        effects += self._on(now, event)
        effects += self._start_queued(now)
        effects += self._journal.take()
        return effects

    def _on(self, now: float, event: Any) -> list[Any]:
        match event:
            case AttemptCame():
                return self._on_attempt(now, event)
            case WorkEnded(work=work, verdict=verdict):
                return self._on_work_ended(now, work, verdict)
            case AttemptCancelled(attempt=attempt):
                return self._on_cancelled(now, attempt)
            case Received(src=src, msg=ClaimAsk() as ask):
                win = self._longest_windows()
                return self._apply(
                    now, self._keys.on_claim_ask(now, src, ask, win)
                )
            case Received(src=src, msg=ClaimTold() as told):
                return self._apply(
                    now, self._keys.on_claim_told(now, src, told)
                )
            case StoreAnswered(call=call, answer=answer):
                if call != FOUNDER_CALL:
                    return []
                return self._apply(
                    now, self._keys.on_store_answer(now, answer)
                )
            case ViewChanged(view=view):
                homes = candidates(view, self._service)
                self._keys.history.note(now, homes)
            case ConfigurationChanged():
                self._configure(event)
            case DrainAsked() | StopAsked():
                self._keys.draining = True
            case Tick():
                return self._tick(now)
        return []

    def _detect_pause(self, now: float) -> list[Any]:
        """Fence this process if the gap since the last event is a pause."""
        last_at, self._last_event_at = self._last_event_at, now
        if last_at is None or now - last_at <= self._policy.fence_gap_s:
            return []
        self._fenced_until = now + self._policy.fence_hold_s
        self._journal.note(now, None, Reason.FENCED)
        return self._apply_decisions(now, self._keys.on_pause(now))

    def _configure(self, event: ConfigurationChanged) -> None:
        for service in event.cfg.services:
            if service.name == self._service:
                self._kinds = {kind.name: kind for kind in service.kinds}
                self._admission.resize(service.slots, self._kinds)

    def _on_attempt(self, now: float, event: AttemptCame) -> list[Any]:
        seen = self._attempts.get(event.attempt)
        if seen is not None:
            return [seen.answer] if seen.answer is not None else []
        seen = self._attempts.add(now, event)
        ids = [event.attempt]
        reason = self._refusal_reason(now, event)
        if reason is not None:
            return [*self._attempts.answer(now, ids, NotRun(reason))]
        kind = self._kinds[event.kind]
        if event.key is not None and not kind.idempotent:
            win = self._windows(kind)
            return self._apply(now, self._keys.on_attempt(now, event, win))
        if self._keys.draining:
            verdict = NotRun(Reason.DRAINING)
            return [*self._attempts.answer(now, ids, verdict)]
        return self._admit(now, seen, kind, ids)

    def _refusal_reason(self, now: float, event: AttemptCame) -> Reason | None:
        """Return why an attempt is refused regardless of key and load."""
        if event.incarnation != self._me.incarnation:
            return Reason.FENCED
        if event.service != self._service:
            return Reason.UNKNOWN_SERVICE
        if event.kind not in self._kinds:
            return Reason.UNKNOWN_KIND
        kind = self._kinds[event.kind]
        if now < self._fenced_until:
            return Reason.FENCED
        if event.body_bytes > kind.max_body_bytes:
            return Reason.TOO_LARGE
        return None

    def _admit(
        self, now: float, seen: Attempt, kind: Kind, ids: list[AttemptId]
    ) -> list[Any]:
        event = seen.event
        work = Work(event.attempt, kind, event.key, seen.due, ids)
        reason = self._admission.refusal(now, kind, seen.due - now)
        if reason is not None:
            return self._refuse(now, work, reason)
        self._admission.queues.put(work)
        return []

    def _refuse(self, now: float, work: Work, reason: Reason) -> list[Any]:
        """Refuse work that never ran and release its key."""
        ids = list(work.waiting)
        claim = self._claim_of(work)
        if claim is not None:
            claim.state = KeyState.REFUSED
            claim.waiting = []
        return [*self._attempts.answer(now, ids, NotRun(reason))]

    def _start_queued(self, now: float) -> list[Any]:
        """Refuse late queued work, then start work while slots are free."""
        effects: list[Any] = []
        means = self._policy.finish_means
        for work in self._admission.queues.late(now, means):
            effects += self._refuse(now, work, Reason.DEADLINE)
        while (queued := self._admission.start_next(now)) is not None:
            effects.append(self._start(now, queued))
        return effects

    def _claim_of(self, work: Work) -> Claim | None:
        """Return the claim on the key of non-idempotent work, if any."""
        if work.key is None or work.kind.idempotent:
            return None
        return self._keys.claims.get(work.key)

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

    def _on_work_ended(
        self, now: float, id: AttemptId, verdict: Verdict
    ) -> list[Any]:
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
        return [*self._attempts.answer(now, ids, verdict, work.id)]

    def _on_cancelled(self, now: float, attempt: AttemptId) -> list[Any]:
        """Drop or cancel work that only this attempt waited for."""
        if not self._attempts.cancel(now, attempt):
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

    def _apply(self, now: float, outcome: KeyOutcome) -> list[Any]:
        return [
            *outcome.effects,
            *self._apply_decisions(now, outcome.decisions),
        ]

    def _apply_decisions(
        self, now: float, decisions: Iterable[KeyDecision]
    ) -> list[Any]:
        effects: list[Any] = []
        for decision in decisions:
            effects += self._apply_decision(now, decision)
        return effects

    def _apply_decision(self, now: float, decision: KeyDecision) -> list[Any]:
        ids = decision.attempts
        match decision.action:
            case KeyAction.RUN:
                return self._run_key(now, decision)
            case KeyAction.WAIT:
                return []
            case KeyAction.REPLY:
                claim = self._keys.claims.get(decision.key)
                if claim is None or claim.verdict is None:
                    return []
                return [
                    *self._attempts.answer(now, ids, claim.verdict, claim.work)
                ]
            case KeyAction.REDIRECT:
                draining = self._keys.draining
                reason = Reason.DRAINING if draining else Reason.WRONG_HOME
                verdict = NotRun(reason)
                return [
                    *self._attempts.answer(now, ids, verdict, go=decision.go)
                ]
            case KeyAction.IN_DOUBT:
                return [*self._attempts.doubt(now, ids)]

    def _run_key(self, now: float, decision: KeyDecision) -> list[Any]:
        """Admit a key that may run here, or cede it if the wait is long."""
        claim = self._keys.claims.get(decision.key)
        live = self._attempts.open(decision.attempts)
        if claim is None or not live:
            self._keys.claims.drop(decision.key)
            return []
        # Work and claim share this list, so later attempts join both.
        claim.waiting = [seen.event.attempt for seen in live]
        spare = live[0].event.spare
        kind = self._kinds[live[0].event.kind]
        wait = self._admission.wait_s(now, kind)
        longest = self._policy.cede_share * kind.deadline_s
        if spare is not None and wait > longest:
            return self._apply_decision(
                now, self._keys.cede(decision.key, claim, spare)
            )
        return self._admit(now, live[0], kind, claim.waiting)

    def _tick(self, now: float) -> list[Any]:
        self._admission.tick(now)
        self._attempts.expire(now)
        effects = self._apply(now, self._keys.tick(now))
        effects += self._answer_overdue(now)
        effects += [DropAnswer(w) for w in self._keys.claims.expire(now)]
        busy = len(self._admission.running)
        if busy != self._published_busy:
            self._published_busy = busy
            effects.append(Publish(LoadMeasured(busy=busy)))
        return effects

    def _answer_overdue(self, now: float) -> list[Any]:
        """Answer work past its deadline; cancel it if it is idempotent."""
        effects: list[Any] = []
        late = [w for w in self._admission.running.values() if w.due <= now]
        for work in late:
            ids = list(work.waiting)
            work.waiting.clear()
            verdict = MayHaveRun(Reason.DEADLINE)
            effects += self._attempts.answer(now, ids, verdict)
            if work.kind.idempotent:
                self._admission.free(now, work.id, Freed.ENDED)
                effects.append(CancelWork(work.id))
        return effects

    def _windows(self, kind: Kind) -> Windows:
        return Windows(
            self._policy.repeat_window_s(kind),
            self._policy.doubt_window_s(kind),
        )

    def _longest_windows(self) -> Windows:
        """Return the windows of the kind with the longest retry window."""
        found = [self._windows(kind) for kind in self._kinds.values()]
        if not found:
            return Windows(HOME_HISTORY_S, HOME_HISTORY_S)
        return max(found, key=lambda win: win.repeat_s)

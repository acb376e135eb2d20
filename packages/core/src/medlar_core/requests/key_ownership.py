"""At most one run per idempotency key, without prior consensus.

Each key has a home, the only agent that may start it or cede it to
another. A home that was not the home for the whole window asks the
earlier homes, each of which cedes the key for good in its answer. A key
that cannot be resolved this way is never started.
"""

import enum

import msgspec

from ..effects import CallStore
from ..effects import Send
from ..ids import AttemptId
from ..ids import IdempotencyKey
from ..ids import NodeId
from ..ids import ServiceName
from ..store import StoreAnswer
from .claims import Claim
from .claims import Claims
from .claims import KeyState
from .events import AttemptCame
from .events import Go
from .founder import Founder
from .homes import home_of
from .homes import HomeHistory
from .homes import same_process
from .messages import Claim as ToldClaim
from .messages import ClaimAsk
from .messages import ClaimTold
from .policy import Policy


class KeyAction(enum.Enum):
    """Action on the attempts for a key."""

    RUN = "run"
    WAIT = "wait"
    REPLY = "reply"
    REDIRECT = "elsewhere"
    IN_DOUBT = "doubt"


class KeyDecision(msgspec.Struct, frozen=True):
    """Decision on ``attempts`` for a key.

    ``go`` is the target of REDIRECT, None if it is not known.
    """

    action: KeyAction
    key: IdempotencyKey
    attempts: tuple[AttemptId, ...]
    go: Go | None = None


class Windows(msgspec.Struct, frozen=True):
    """How long a key is kept and how long its earlier homes matter."""

    repeat_s: float
    doubt_s: float


class KeyOutcome(msgspec.Struct, frozen=True):
    """Decisions, and the messages and store calls to send."""

    decisions: list[KeyDecision] = msgspec.field(default_factory=list)
    effects: list[Send | CallStore] = msgspec.field(default_factory=list)


class KeyOwnership:
    """Keys of non-idempotent work at one agent.

    ``draining`` is set once the agent starts no new key.
    """

    def __init__(
        self, me: Go, service: ServiceName, policy: Policy, keep_s: float
    ) -> None:
        self.me = me
        self.claims = Claims()
        self.history = HomeHistory(keep_s)
        self.draining = False
        self._policy = policy
        self._founder = Founder(me, service)

    def on_attempt(
        self, now: float, attempt: AttemptCame, win: Windows
    ) -> KeyOutcome:
        """Decide on an attempt, or ask earlier homes of its key first."""
        key = attempt.key
        if key is None:
            raise ValueError("expected an attempt with a key, got none")
        ids = (attempt.attempt,)
        claim = self.claims.get(key)
        if claim is not None and not _is_free(claim, attempt):
            claim.expires = max(claim.expires, now + win.repeat_s)
            return KeyOutcome(
                [self._decide_known(key, claim, attempt.attempt)]
            )
        ceded = attempt.ceded_by is not None
        home = home_of(key, self.history.homes)
        wrong_agent = home != self.me and not ceded
        if wrong_agent and not attempt.hops:
            return KeyOutcome(
                [KeyDecision(KeyAction.REDIRECT, key, ids, home)]
            )
        claim = Claim(KeyState.ASKING, now + win.repeat_s)
        claim.waiting.append(attempt.attempt)
        self.claims.put(key, claim)
        # A redirected attempt that reaches the wrong agent again means that
        # views differ: this agent asks the homes that it knows, as only
        # one of them can cede the key.
        claim.complete = ceded or self.history.covers(now, win.doubt_s)
        if not ceded:
            claim.to_ask = self._homes_to_ask(now, key, claim.complete, win)
        return self._settle(now, key, claim)

    def _decide_known(
        self, key: IdempotencyKey, claim: Claim, attempt: AttemptId
    ) -> KeyDecision:
        if claim.state is KeyState.DONE:
            return KeyDecision(KeyAction.REPLY, key, (attempt,))
        if claim.state is KeyState.CEDED:
            return KeyDecision(
                KeyAction.REDIRECT, key, (attempt,), claim.holder
            )
        claim.waiting.append(attempt)
        return KeyDecision(KeyAction.WAIT, key, (attempt,))

    def _homes_to_ask(
        self, now: float, key: IdempotencyKey, complete: bool, win: Windows
    ) -> list[Go]:
        found = list(self.history.earlier(now, key, win.doubt_s))
        if not complete:
            successor = home_of(key, self.history.homes, self.me.node)
            if successor is not None and successor not in found:
                found.append(successor)
        return [go for go in found if go != self.me]

    def _settle(
        self, now: float, key: IdempotencyKey, claim: Claim
    ) -> KeyOutcome:
        """Decide on a key once all homes answered, else ask the rest."""
        if claim.to_ask and not _all_released(claim):
            return self._ask(now, key, claim)
        if claim.complete or self._founder.is_me:
            return KeyOutcome([self._decide_free(key, claim)])
        founder = self._founder.known
        if founder is None:
            claim.next_ask = now + self._policy.ask_s
            claim.tries += 1
            return KeyOutcome(effects=list(self._founder.ask()))
        if founder not in claim.to_ask:
            claim.to_ask.append(founder)
            return self._ask(now, key, claim)
        return KeyOutcome([self._doubt(key, claim)])

    def _decide_free(self, key: IdempotencyKey, claim: Claim) -> KeyDecision:
        """Decide on a key that no other process may start."""
        ids = tuple(claim.waiting)
        if not self.draining:
            claim.state = KeyState.QUEUED
            return KeyDecision(KeyAction.RUN, key, ids)
        successor = home_of(key, self.history.homes, self.me.node)
        if successor is not None:
            return self.cede(key, claim, successor)
        claim.state = KeyState.REFUSED
        claim.waiting = []
        return KeyDecision(KeyAction.REDIRECT, key, ids)

    def cede(
        self, key: IdempotencyKey, claim: Claim, successor: Go
    ) -> KeyDecision:
        """Cede a key that never started here to another process for good."""
        ids = tuple(claim.waiting)
        claim.waiting = []
        claim.state = KeyState.CEDED
        claim.holder = Go(successor.node, successor.incarnation, ceded=True)
        return KeyDecision(KeyAction.REDIRECT, key, ids, claim.holder)

    def _ask(
        self, now: float, key: IdempotencyKey, claim: Claim
    ) -> KeyOutcome:
        claim.tries += 1
        claim.next_ask = now + self._policy.ask_s
        ask = ClaimAsk(key, self.me.incarnation)
        left = [go for go in claim.to_ask if go not in claim.released_by]
        return KeyOutcome(effects=[Send(go.node, ask) for go in left])

    def _doubt(self, key: IdempotencyKey, claim: Claim) -> KeyDecision:
        self.claims.drop(key)
        return KeyDecision(KeyAction.IN_DOUBT, key, tuple(claim.waiting))

    def tick(self, now: float) -> KeyOutcome:
        """Ask again after a missing answer; give up after ``ask_tries``."""
        outcome = KeyOutcome()
        for key, claim in self.claims.asking():
            if now < claim.next_ask:
                continue
            if claim.tries >= self._policy.ask_tries:
                outcome.decisions.append(self._doubt(key, claim))
                continue
            _extend(outcome, self._settle(now, key, claim))
        return outcome

    def on_pause(self, now: float) -> list[KeyDecision]:
        """Discard history after a pause; keys being asked are in doubt."""
        self.history.restart(now)
        self._founder.mark_paused()
        return [self._doubt(k, claim) for k, claim in self.claims.asking()]

    def on_claim_ask(
        self, now: float, src: NodeId, ask: ClaimAsk, win: Windows
    ) -> KeyOutcome:
        """Answer another home; cede the key unless it is held here."""
        peer = Go(src, ask.incarnation)
        claim = self.claims.get(ask.key)
        if claim is not None and self._is_held_from(peer, claim):
            held = ClaimTold(
                ask.key,
                self.me.incarnation,
                ToldClaim.HELD,
                holder=claim.holder or self.me,
            )
            return KeyOutcome(effects=[Send(src, held)])
        if claim is None:
            claim = Claim(KeyState.REFUSED, now + win.repeat_s)
            self.claims.put(ask.key, claim)
        decisions = []
        if claim.waiting:
            ids = tuple(claim.waiting)
            decisions.append(
                KeyDecision(KeyAction.REDIRECT, ask.key, ids, peer)
            )
        claim.waiting = []
        claim.state = KeyState.CEDED
        claim.holder = peer
        claim.expires = max(claim.expires, now + win.repeat_s)
        return KeyOutcome(
            decisions, [Send(src, self._cede_answer(now, peer, ask, win))]
        )

    def _cede_answer(
        self, now: float, peer: Go, ask: ClaimAsk, win: Windows
    ) -> ClaimTold:
        earlier = self.history.earlier(now, ask.key, win.doubt_s)
        prior = tuple(go for go in earlier if go not in (self.me, peer))
        return ClaimTold(
            ask.key,
            self.me.incarnation,
            ToldClaim.CEDED,
            prior=prior,
            whole=self._founder.is_me or self.history.covers(now, win.doubt_s),
        )

    def _is_held_from(self, peer: Go, claim: Claim) -> bool:
        """Return whether a key cannot be ceded to the asking process."""
        match claim.state:
            case KeyState.REFUSED:
                return False
            case KeyState.ASKING:
                return self.me.node < peer.node
            case KeyState.CEDED:
                holder = claim.holder
                return holder is None or not same_process(holder, peer)
            case _:
                return True

    def on_claim_told(
        self, now: float, src: NodeId, told: ClaimTold
    ) -> KeyOutcome:
        """Handle the answer of an earlier home."""
        claim = self.claims.get(told.key)
        if claim is None or claim.state is not KeyState.ASKING:
            return KeyOutcome()
        peer = Go(src, told.incarnation)
        if told.claim is ToldClaim.HELD:
            return KeyOutcome([self._redirect_to_holder(told, claim)])
        if peer not in claim.to_ask:
            return KeyOutcome()
        if peer not in claim.released_by:
            claim.released_by.append(peer)
        claim.complete = claim.complete or told.whole
        known = (self.me, *claim.to_ask)
        claim.to_ask.extend(go for go in told.prior if go not in known)
        if claim.to_ask and not _all_released(claim):
            new = [go for go in told.prior if go not in known]
            ask = ClaimAsk(told.key, self.me.incarnation)
            return KeyOutcome(effects=[Send(go.node, ask) for go in new])
        return self._settle(now, told.key, claim)

    def _redirect_to_holder(
        self, told: ClaimTold, claim: Claim
    ) -> KeyDecision:
        ids = tuple(claim.waiting)
        if told.holder is None or same_process(told.holder, self.me):
            return self._doubt(told.key, claim)
        claim.waiting = []
        claim.state = KeyState.CEDED
        claim.holder = told.holder
        return KeyDecision(KeyAction.REDIRECT, told.key, ids, told.holder)

    def on_store_answer(self, now: float, answer: StoreAnswer) -> KeyOutcome:
        """Handle the store's answer about the founder of the service."""
        outcome = KeyOutcome(
            effects=list(self._founder.on_store_answer(answer))
        )
        if outcome.effects or self._founder.known is None:
            return outcome
        for key, claim in self.claims.asking():
            _extend(outcome, self._settle(now, key, claim))
        return outcome


def _is_free(claim: Claim, attempt: AttemptCame) -> bool:
    """Return whether a key with a claim here may be decided again.

    The process that the key was ceded to may cede it back.
    """
    if claim.state is KeyState.CEDED and claim.holder is not None:
        return attempt.ceded_by == claim.holder.node
    return claim.state is KeyState.REFUSED


def _all_released(claim: Claim) -> bool:
    return all(go in claim.released_by for go in claim.to_ask)


def _extend(outcome: KeyOutcome, more: KeyOutcome) -> None:
    outcome.decisions.extend(more.decisions)
    outcome.effects.extend(more.effects)

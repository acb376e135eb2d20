"""At most one run per idempotency key, without agreement beforehand.

Each key has a home, the agent that alone may start it or cede it to
another. A home that was not always home in the window asks those that
were, and each of them gives the key up for good as it answers. What
can't be settled so is never started.
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
from .homes import History
from .homes import home_of
from .homes import same
from .messages import Claim as Told
from .messages import ClaimAsk
from .messages import ClaimTold
from .policy import Policy


class Say(enum.Enum):
    """What to do with attempts for a key."""

    RUN = "run"
    WAIT = "wait"
    REPLY = "reply"
    ELSEWHERE = "elsewhere"
    DOUBT = "doubt"


class Ruling(msgspec.Struct, frozen=True):
    """What to do with ``attempts`` for a key.

    ``go`` says where to go on ELSEWHERE, if that is known.
    """

    say: Say
    key: IdempotencyKey
    attempts: tuple[AttemptId, ...]
    go: Go | None = None


class Windows(msgspec.Struct, frozen=True):
    """How long a key is remembered and how long its past matters."""

    repeat_s: float
    doubt_s: float


class Asks(msgspec.Struct, frozen=True):
    """Rulings made and messages and store calls to send."""

    rulings: list[Ruling] = msgspec.field(default_factory=list)
    effects: list[Send | CallStore] = msgspec.field(default_factory=list)


class Keyed:
    """Keys of non-idempotent work at one agent.

    ``leaving`` is set once the agent starts no new key.
    """

    def __init__(
        self, me: Go, service: ServiceName, policy: Policy, keep_s: float
    ) -> None:
        self.me = me
        self.claims = Claims()
        self.history = History(keep_s)
        self.leaving = False
        self._policy = policy
        self._founder = Founder(me, service)

    def came(self, now: float, attempt: AttemptCame, win: Windows) -> Asks:
        """Rule on an attempt, or ask earlier homes of its key first."""
        key = attempt.key
        if key is None:
            raise ValueError("expected an attempt with a key, got none")
        ids = (attempt.attempt,)
        claim = self.claims.get(key)
        if claim is not None and not _is_free(claim, attempt):
            claim.expires = max(claim.expires, now + win.repeat_s)
            return Asks([self._known(key, claim, attempt.attempt)])
        ceded = attempt.ceded_by is not None
        home = home_of(key, self.history.homes)
        astray = home != self.me and not ceded
        if astray and not attempt.hops:
            return Asks([Ruling(Say.ELSEWHERE, key, ids, home)])
        claim = Claim(KeyState.ASKING, now + win.repeat_s)
        claim.waiting.append(attempt.attempt)
        self.claims.put(key, claim)
        # Views differ where an attempt went astray twice: whoever has it
        # now asks the homes it knows of, as only one of them can give it.
        claim.whole = ceded or self.history.covers(now, win.doubt_s)
        if not ceded:
            claim.to_ask = self._must_ask(now, key, claim.whole, win)
        return self._settle(now, key, claim)

    def _known(
        self, key: IdempotencyKey, claim: Claim, attempt: AttemptId
    ) -> Ruling:
        if claim.state is KeyState.DONE:
            return Ruling(Say.REPLY, key, (attempt,))
        if claim.state is KeyState.CEDED:
            return Ruling(Say.ELSEWHERE, key, (attempt,), claim.holder)
        claim.waiting.append(attempt)
        return Ruling(Say.WAIT, key, (attempt,))

    def _must_ask(
        self, now: float, key: IdempotencyKey, whole: bool, win: Windows
    ) -> list[Go]:
        found = list(self.history.earlier(now, key, win.doubt_s))
        if not whole:
            heir = home_of(key, self.history.homes, self.me.node)
            if heir is not None and heir not in found:
                found.append(heir)
        return [go for go in found if go != self.me]

    def _settle(self, now: float, key: IdempotencyKey, claim: Claim) -> Asks:
        """Rule on a key if all is told; else ask whom it still takes."""
        if claim.to_ask and not _all_told(claim):
            return self._ask(now, key, claim)
        if claim.whole or self._founder.is_me:
            return Asks([self._free(key, claim)])
        founder = self._founder.known
        if founder is None:
            claim.next_ask = now + self._policy.ask_s
            claim.tries += 1
            return Asks(effects=list(self._founder.ask()))
        if founder not in claim.to_ask:
            claim.to_ask.append(founder)
            return self._ask(now, key, claim)
        return Asks([self._doubt(key, claim)])

    def _free(self, key: IdempotencyKey, claim: Claim) -> Ruling:
        """Rule on a key that nobody else may start."""
        ids = tuple(claim.waiting)
        if not self.leaving:
            claim.state = KeyState.QUEUED
            return Ruling(Say.RUN, key, ids)
        heir = home_of(key, self.history.homes, self.me.node)
        if heir is not None:
            return self.cede(key, claim, heir)
        claim.state = KeyState.REFUSED
        claim.waiting = []
        return Ruling(Say.ELSEWHERE, key, ids)

    def cede(self, key: IdempotencyKey, claim: Claim, heir: Go) -> Ruling:
        """Give a key that never started here to another for good."""
        ids = tuple(claim.waiting)
        claim.waiting = []
        claim.state = KeyState.CEDED
        claim.holder = Go(heir.node, heir.incarnation, ceded=True)
        return Ruling(Say.ELSEWHERE, key, ids, claim.holder)

    def _ask(self, now: float, key: IdempotencyKey, claim: Claim) -> Asks:
        claim.tries += 1
        claim.next_ask = now + self._policy.ask_s
        ask = ClaimAsk(key, self.me.incarnation)
        left = [go for go in claim.to_ask if go not in claim.told]
        return Asks(effects=[Send(go.node, ask) for go in left])

    def _doubt(self, key: IdempotencyKey, claim: Claim) -> Ruling:
        self.claims.drop(key)
        return Ruling(Say.DOUBT, key, tuple(claim.waiting))

    def tick(self, now: float) -> Asks:
        """Ask again where no answer came, and give up after some tries."""
        made = Asks()
        for key, claim in self.claims.asking():
            if now < claim.next_ask:
                continue
            if claim.tries >= self._policy.ask_tries:
                made.rulings.append(self._doubt(key, claim))
                continue
            _add(made, self._settle(now, key, claim))
        return made

    def paused(self, now: float) -> list[Ruling]:
        """Take note that this process stood still for a while."""
        self.history.restart(now)
        self._founder.paused()
        return [self._doubt(k, claim) for k, claim in self.claims.asking()]

    def asked(
        self, now: float, src: NodeId, ask: ClaimAsk, win: Windows
    ) -> Asks:
        """Answer the home of a key; it gets the key if it is free here."""
        them = Go(src, ask.incarnation)
        claim = self.claims.get(ask.key)
        if claim is not None and self._kept_from(them, claim):
            held = ClaimTold(
                ask.key,
                self.me.incarnation,
                Told.HELD,
                holder=claim.holder or self.me,
            )
            return Asks(effects=[Send(src, held)])
        if claim is None:
            claim = Claim(KeyState.REFUSED, now + win.repeat_s)
            self.claims.put(ask.key, claim)
        rulings = []
        if claim.waiting:
            ids = tuple(claim.waiting)
            rulings.append(Ruling(Say.ELSEWHERE, ask.key, ids, them))
        claim.waiting = []
        claim.state = KeyState.CEDED
        claim.holder = them
        claim.expires = max(claim.expires, now + win.repeat_s)
        return Asks(rulings, [Send(src, self._give(now, them, ask, win))])

    def _give(
        self, now: float, them: Go, ask: ClaimAsk, win: Windows
    ) -> ClaimTold:
        earlier = self.history.earlier(now, ask.key, win.doubt_s)
        prior = tuple(go for go in earlier if go not in (self.me, them))
        return ClaimTold(
            ask.key,
            self.me.incarnation,
            Told.CEDED,
            prior=prior,
            whole=self._founder.is_me or self.history.covers(now, win.doubt_s),
        )

    def _kept_from(self, them: Go, claim: Claim) -> bool:
        """Return whether a key can't be given to a process that asks."""
        match claim.state:
            case KeyState.REFUSED:
                return False
            case KeyState.ASKING:
                return self.me.node < them.node
            case KeyState.CEDED:
                holder = claim.holder
                return holder is None or not same(holder, them)
            case _:
                return True

    def told(self, now: float, src: NodeId, told: ClaimTold) -> Asks:
        """Take the word of an earlier home."""
        claim = self.claims.get(told.key)
        if claim is None or claim.state is not KeyState.ASKING:
            return Asks()
        them = Go(src, told.incarnation)
        if told.claim is Told.HELD:
            return Asks([self._held(told, claim)])
        if them not in claim.to_ask:
            return Asks()
        if them not in claim.told:
            claim.told.append(them)
        claim.whole = claim.whole or told.whole
        known = (self.me, *claim.to_ask)
        claim.to_ask.extend(go for go in told.prior if go not in known)
        if claim.to_ask and not _all_told(claim):
            new = [go for go in told.prior if go not in known]
            ask = ClaimAsk(told.key, self.me.incarnation)
            return Asks(effects=[Send(go.node, ask) for go in new])
        return self._settle(now, told.key, claim)

    def _held(self, told: ClaimTold, claim: Claim) -> Ruling:
        ids = tuple(claim.waiting)
        if told.holder is None or same(told.holder, self.me):
            return self._doubt(told.key, claim)
        claim.waiting = []
        claim.state = KeyState.CEDED
        claim.holder = told.holder
        return Ruling(Say.ELSEWHERE, told.key, ids, told.holder)

    def answered(self, now: float, answer: StoreAnswer) -> Asks:
        """Take the store's answer about the founder of the service."""
        made = Asks(effects=list(self._founder.answered(answer)))
        if made.effects or self._founder.known is None:
            return made
        for key, claim in self.claims.asking():
            _add(made, self._settle(now, key, claim))
        return made


def _is_free(claim: Claim, attempt: AttemptCame) -> bool:
    """Return whether a key known here may be ruled on anew.

    Who got the key from here may cede it back.
    """
    if claim.state is KeyState.CEDED and claim.holder is not None:
        return attempt.ceded_by == claim.holder.node
    return claim.state is KeyState.REFUSED


def _all_told(claim: Claim) -> bool:
    return all(go in claim.told for go in claim.to_ask)


def _add(made: Asks, more: Asks) -> None:
    made.rulings.extend(more.rulings)
    made.effects.extend(more.effects)

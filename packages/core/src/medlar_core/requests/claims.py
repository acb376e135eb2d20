"""Idempotency keys known to an agent, each kept for a time window."""

import enum

import msgspec

from ..ids import AttemptId
from ..ids import IdempotencyKey
from ..verdict import Verdict
from .events import Go


class KeyState(enum.Enum):
    """State of a key at one agent."""

    ASKING = "asking"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"
    CEDED = "ceded"


class Claim(msgspec.Struct):
    """State of a key at this agent.

    ``waiting`` lists the attempts that wait for the answer; ``work`` is
    the attempt that runs or ran it, with its ``verdict`` when DONE;
    ``holder`` is the process that the key was ceded to when CEDED. While
    ASKING, ``to_ask`` are the earlier homes to ask and ``released_by``
    those that ceded the key; ``complete`` is set once the known homes
    cover the whole window.
    """

    state: KeyState
    expires: float
    waiting: list[AttemptId] = msgspec.field(default_factory=list)
    work: AttemptId | None = None
    verdict: Verdict | None = None
    holder: Go | None = None
    to_ask: list[Go] = msgspec.field(default_factory=list)
    released_by: list[Go] = msgspec.field(default_factory=list)
    complete: bool = False
    tries: int = 0
    next_ask: float = 0.0


NON_EXPIRING = (KeyState.RUNNING, KeyState.QUEUED, KeyState.ASKING)
"""States that never expire; only an event ends them."""


class Claims:
    """Claims by key; expired ones are removed."""

    def __init__(self) -> None:
        self._claims: dict[IdempotencyKey, Claim] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def get(self, key: IdempotencyKey) -> Claim | None:
        """Return the claim of a key, None if there is none."""
        return self._claims.get(key)

    def put(self, key: IdempotencyKey, claim: Claim) -> None:
        """Store the claim of a key."""
        self._claims[key] = claim

    def drop(self, key: IdempotencyKey) -> None:
        """Remove the claim of a key, if any."""
        self._claims.pop(key, None)

    def asking(self) -> list[tuple[IdempotencyKey, Claim]]:
        """Return the keys in state ASKING."""
        return [
            (key, claim)
            for key, claim in self._claims.items()
            if claim.state is KeyState.ASKING
        ]

    def expire(self, now: float) -> list[AttemptId]:
        """Remove expired keys; return the work whose answers to drop."""
        ended = [
            key
            for key, claim in self._claims.items()
            if claim.expires <= now and claim.state not in NON_EXPIRING
        ]
        claims = [self._claims.pop(key) for key in ended]
        return [c.work for c in claims if c.work is not None]

"""What an agent knows of idempotency keys, bounded by time windows."""

import enum

import msgspec

from ..ids import AttemptId
from ..ids import IdempotencyKey
from ..verdict import Verdict
from .events import Go


class KeyState(enum.Enum):
    """Life of a key at one agent."""

    ASKING = "asking"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"
    CEDED = "ceded"


class Claim(msgspec.Struct):
    """A key as this agent knows it.

    ``waiting`` lists attempts that want the answer; ``work`` is the
    attempt that runs or ran it, with its ``verdict`` when DONE;
    ``holder`` is who got the key when CEDED. While ASKING, ``to_ask``
    and ``told`` are the processes asked and those that gave it up.
    """

    state: KeyState
    expires: float
    waiting: list[AttemptId] = msgspec.field(default_factory=list)
    work: AttemptId | None = None
    verdict: Verdict | None = None
    holder: Go | None = None
    to_ask: list[Go] = msgspec.field(default_factory=list)
    told: list[Go] = msgspec.field(default_factory=list)
    whole: bool = False
    tries: int = 0
    next_ask: float = 0.0


LASTING = (KeyState.RUNNING, KeyState.QUEUED, KeyState.ASKING)
"""States that end by an event, never by time alone."""


class Claims:
    """Keys by name; those whose window ended are forgotten."""

    def __init__(self) -> None:
        self._claims: dict[IdempotencyKey, Claim] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def get(self, key: IdempotencyKey) -> Claim | None:
        """Return what is known of a key."""
        return self._claims.get(key)

    def put(self, key: IdempotencyKey, claim: Claim) -> None:
        """Remember a key."""
        self._claims[key] = claim

    def drop(self, key: IdempotencyKey) -> None:
        """Forget a key."""
        self._claims.pop(key, None)

    def asking(self) -> list[tuple[IdempotencyKey, Claim]]:
        """Return the keys whose earlier homes are being asked."""
        return [
            (key, claim)
            for key, claim in self._claims.items()
            if claim.state is KeyState.ASKING
        ]

    def expire(self, now: float) -> list[AttemptId]:
        """Forget keys past their window; return work with answers held."""
        ended = [
            key
            for key, claim in self._claims.items()
            if claim.expires <= now and claim.state not in LASTING
        ]
        claims = [self._claims.pop(key) for key in ended]
        return [c.work for c in claims if c.work is not None]

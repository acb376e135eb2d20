"""Control messages by which agents decide which one runs a key."""

import enum

import msgspec

from ..ids import IdempotencyKey
from ..ids import Incarnation
from .events import Go


class Claim(enum.Enum):
    """State of a key at the agent that is asked."""

    HELD = "held"
    CEDED = "ceded"


class ClaimAsk(msgspec.Struct, frozen=True, tag="requests.claim_ask"):
    """Query of the home of a key to an earlier home."""

    key: IdempotencyKey
    incarnation: Incarnation


class ClaimTold(msgspec.Struct, frozen=True, tag="requests.claim_told"):
    """Answer to ``ClaimAsk`` by the process with this incarnation.

    HELD: ``holder`` has the key. CEDED: the sender did not start it and
    never will; ``prior`` lists other earlier homes, and ``whole`` is
    True if the sender's history of homes covers the window.
    """

    key: IdempotencyKey
    incarnation: Incarnation
    claim: Claim
    holder: Go | None = None
    prior: tuple[Go, ...] = ()
    whole: bool = False


MESSAGES = (ClaimAsk, ClaimTold)

"""Control messages by which agents settle who runs a key."""

import enum

import msgspec

from ..ids import IdempotencyKey
from ..ids import Incarnation
from .events import Go


class Claim(enum.Enum):
    """What an agent knows of a key when it is asked."""

    HELD = "held"
    CEDED = "ceded"


class ClaimAsk(msgspec.Struct, frozen=True, tag="requests.claim_ask"):
    """The home of a key asks an earlier home what it knows of it."""

    key: IdempotencyKey
    incarnation: Incarnation


class ClaimTold(msgspec.Struct, frozen=True, tag="requests.claim_told"):
    """Answer to ``ClaimAsk`` by the process with this incarnation.

    HELD: the key is with ``holder``. CEDED: it is unknown here and will
    never start here; ``prior`` names other homes that it had, and
    ``whole`` tells whether the memory of homes here covers the window.
    """

    key: IdempotencyKey
    incarnation: Incarnation
    claim: Claim
    holder: Go | None = None
    prior: tuple[Go, ...] = ()
    whole: bool = False


MESSAGES = (ClaimAsk, ClaimTold)

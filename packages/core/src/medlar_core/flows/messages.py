"""Control messages of the flow part.

Keys travel as packed little-endian integers: 8 bytes for the whole key
of a flow, 4 bytes for a hint.
"""

import msgspec

from ..ids import Incarnation
from ..ids import NodeId
from ..ids import ServiceName


class Located(msgspec.Struct, frozen=True, tag="flows.located"):
    """The sender holds these flows, whose buckets the receiver owns."""

    batch: int
    incarnation: Incarnation
    keys: bytes


class LocatedAck(msgspec.Struct, frozen=True, tag="flows.located-ack"):
    """The receiver of a batch has it."""

    batch: int
    incarnation: Incarnation


class Ended(msgspec.Struct, frozen=True, tag="flows.ended"):
    """The sender no longer holds these flows."""

    keys: bytes


class Missed(msgspec.Struct, frozen=True, tag="flows.missed"):
    """A packet found no holder; the bucket's owner is to search."""

    caller: str
    address: str


class Locate(msgspec.Struct, frozen=True, tag="flows.locate"):
    """Does the receiver hold these flows? Answers go to ``origin``.

    A receiver that sees another owner try_acquire the question on once.
    """

    keys: bytes
    origin: NodeId
    relayed: bool = False


class NotHeld(msgspec.Struct, frozen=True, tag="flows.not-held"):
    """The sender does not hold these flows.

    ``known`` is a digest of the members and the configuration that the
    sender knows.
    """

    keys: bytes
    known: int


class Introduced(msgspec.Struct, frozen=True, tag="flows.introduced"):
    """The sender is a member, though membership may not say so yet."""

    incarnation: Incarnation


class IntroducedAck(msgspec.Struct, frozen=True, tag="flows.introduced-ack"):
    """The sender counts the receiver as a member."""

    incarnation: Incarnation


class Hint(msgspec.Struct, frozen=True, tag="flows.hint"):
    """Flows to a service that stay at ``holder`` when buckets move.

    Balancers pass it on along a tree that starts at ``root``.
    """

    holder: NodeId
    incarnation: Incarnation
    batch: int
    root: NodeId
    service: ServiceName
    marks: bytes


class HintAck(msgspec.Struct, frozen=True, tag="flows.hint-ack"):
    """The sender has the batch and try_acquire it on."""

    holder: NodeId
    incarnation: Incarnation
    batch: int


class HintsAsked(msgspec.Struct, frozen=True, tag="flows.hints-asked"):
    """A new balancer asks a peer for one slice of its hints."""

    part: int
    parts: int


class HintSlice(msgspec.Struct, frozen=True, tag="flows.hint-slice"):
    """One slice of hints, as answer to ``HintsAsked``.

    ``numbers`` gives, for each short_key, the index of its holder and of the
    service that the holder's flows are for.
    """

    part: int
    parts: int
    holders: tuple[NodeId, ...]
    services: tuple[ServiceName, ...]
    marks: bytes
    numbers: bytes


MESSAGES = (
    Located,
    LocatedAck,
    Ended,
    Missed,
    Locate,
    NotHeld,
    Introduced,
    IntroducedAck,
    Hint,
    HintAck,
    HintsAsked,
    HintSlice,
)

"""Control messages of the flow reducers.

Keys are sent as packed little-endian integers: 8 bytes for a whole flow
key, 4 bytes for the short key of a hint.
"""

import msgspec

from ..ids import Incarnation
from ..ids import NodeId
from ..ids import ServiceName


class Located(msgspec.Struct, frozen=True, tag="flows.located"):
    """The sender holds these flows, whose buckets the receiver owns.

    A reply to ``Locate`` has batch 0 and is not acknowledged.
    """

    batch: int
    incarnation: Incarnation
    keys: bytes


class LocatedAck(msgspec.Struct, frozen=True, tag="flows.located-ack"):
    """Acknowledges a batch of ``Located``."""

    batch: int
    incarnation: Incarnation


class Ended(msgspec.Struct, frozen=True, tag="flows.ended"):
    """The sender does not hold these flows, or no longer."""

    keys: bytes


class Missed(msgspec.Struct, frozen=True, tag="flows.missed"):
    """A packet found no holder; the bucket's owner starts a lookup."""

    caller: str
    address: str


class Locate(msgspec.Struct, frozen=True, tag="flows.locate"):
    """Asks the receiver whether it holds these flows.

    Replies go to ``origin``. A receiver that takes another agent for the
    owner relays the query once.
    """

    keys: bytes
    origin: NodeId
    relayed: bool = False


class NotHeld(msgspec.Struct, frozen=True, tag="flows.not-held"):
    """The sender does not hold these flows.

    ``known`` is a digest of the members and the configuration version of
    the sender.
    """

    keys: bytes
    known: int


class Introduced(msgspec.Struct, frozen=True, tag="flows.introduced"):
    """The sender is a member that membership may not list yet."""

    incarnation: Incarnation


class IntroducedAck(msgspec.Struct, frozen=True, tag="flows.introduced-ack"):
    """The sender has added the receiver to its members."""

    incarnation: Incarnation


class Hint(msgspec.Struct, frozen=True, tag="flows.hint"):
    """Flows to a service that stay at ``holder`` when buckets move.

    Balancers relay it along a tree that starts at ``root``. ``marks`` are
    the packed short keys of the flows.
    """

    holder: NodeId
    incarnation: Incarnation
    batch: int
    root: NodeId
    service: ServiceName
    marks: bytes


class HintAck(msgspec.Struct, frozen=True, tag="flows.hint-ack"):
    """The sender has received the batch and relays it."""

    holder: NodeId
    incarnation: Incarnation
    batch: int


class HintsAsked(msgspec.Struct, frozen=True, tag="flows.hints-asked"):
    """A new balancer requests one slice of a peer's hints."""

    part: int
    parts: int


class HintSlice(msgspec.Struct, frozen=True, tag="flows.hint-slice"):
    """One slice of hints, in response to ``HintsAsked``.

    ``marks`` are packed short keys. ``numbers`` gives for each of them the
    index of its holder and service in ``holders`` and ``services``.
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

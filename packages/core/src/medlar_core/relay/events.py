"""Events of the relay, beside those shared by all parts."""

import enum

import msgspec

from ..ids import NodeId
from ..ids import ServiceName
from .forwarded import ForwardedPacket
from .routes import RouteTable
from .segment import Segment


class CallerSent(msgspec.Struct, frozen=True):
    """A packet of a caller came to this balancer."""

    segment: Segment


class PassedOn(msgspec.Struct, frozen=True):
    """A balancer or an agent handed a packet to this agent."""

    src: NodeId
    wrapped: ForwardedPacket
    segment: Segment


class ServerReturned(msgspec.Struct, frozen=True):
    """The server beside this agent sent or bounced a packet."""

    segment: Segment


class RoutesFetched(msgspec.Struct, frozen=True):
    """A balancer's configuration was read."""

    src: NodeId
    table: RouteTable


class SeedsChanged(msgspec.Struct, frozen=True):
    """The settings name other processes to begin with."""

    seeds: tuple[NodeId, ...]


class ServerPhase(enum.Enum):
    """What a server says of itself."""

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"


class ServerAnnounced(msgspec.Struct, frozen=True):
    """The server beside this agent told its state.

    ``born_ms`` is when it started, by its own clock; ``sequence`` grows
    with each announcement of one incarnation. ``age_s`` is for how long
    it has run, infinite if unknown.
    """

    server: str
    born_ms: int
    sequence: int
    service: ServiceName
    phase: ServerPhase
    slots: int
    cold_s: float
    age_s: float = float("inf")


class ServerLeft(msgspec.Struct, frozen=True):
    """A server says that it ends now; ``born_ms`` is 0 if not told."""

    server: str
    born_ms: int

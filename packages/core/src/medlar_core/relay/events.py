"""Events of the relay, in addition to those shared by all parts."""

import enum

import msgspec

from ..ids import NodeId
from ..ids import ServiceName
from .configuration.routes import RouteTable
from .configuration.scope_record import ScopeRecord
from .lookup.forwarded import ForwardedPacket
from .segment import Segment
from .zones.evacuation import EvacuatedPlaces


class CallerPacketReceived(msgspec.Struct, frozen=True):
    """A balancer received a packet of a caller."""

    segment: Segment


class PacketForwarded(msgspec.Struct, frozen=True):
    """A balancer or an agent forwarded a packet to this agent."""

    src: NodeId
    packet: ForwardedPacket
    segment: Segment


class ServerPacketReceived(msgspec.Struct, frozen=True):
    """The local server sent or bounced a packet."""

    segment: Segment


class RoutesFetched(msgspec.Struct, frozen=True):
    """What a balancer shares with others was fetched.

    Balancers of earlier versions have no record and no evacuated places.
    """

    src: NodeId
    table: RouteTable
    record: ScopeRecord | None = None
    evacuated: EvacuatedPlaces = EvacuatedPlaces()


class RoutesFetchFailed(msgspec.Struct, frozen=True):
    """A balancer did not give its route table."""

    src: NodeId


class SeedsChanged(msgspec.Struct, frozen=True):
    """The seed processes in the settings have changed."""

    seeds: tuple[NodeId, ...]


class ServerPhase(enum.Enum):
    """State of a server as it announces it."""

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"


class ServerAnnounced(msgspec.Struct, frozen=True):
    """The local server announced its state.

    ``born_ms`` is when it started, by its own clock; ``sequence`` grows
    with each announcement of one incarnation. ``cold_s`` is how long it
    counts as newly started, ``age_s`` how long it has run, infinite if
    unknown.
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
    """A server announced that it ends now; ``born_ms`` is 0 if unknown."""

    server: str
    born_ms: int

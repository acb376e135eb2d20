"""Packets of flows that one relay process forwards to another."""

import enum

import msgspec

from ...ids import NodeId
from ...ids import ServiceName
from ..scope import FlowScope
from ..scope import UNKNOWN_SCOPE
from ..terms import DEFAULT_TERMS
from ..terms import FlowTerms


class ForwardReason(enum.IntEnum):
    """Reason for forwarding a packet to an agent."""

    ROUTED = 0
    """A balancer chose the agent by hash."""
    PLACED = 1
    """Another agent chose the receiver for the flow or has it in its table
    as the holder."""
    LOOKUP = 2
    """Another agent looks up the holder and expects a reply."""
    DELEGATED = 3
    """An agent of another service asks for a lookup among the agents of
    ``service``, and for its result."""


class ForwardedPacket(msgspec.Struct, array_like=True, kw_only=True):
    """A datagram with the service that its address is routed to.

    ``reason`` is a :class:`ForwardReason`. ``declined`` names agents whose
    servers did not accept the flow. ``via`` is the balancer that
    received a SYN from the caller; ``hops`` counts the agents that have
    forwarded the packet. ``low_priority`` is set in a SYN if room has to be
    left at a server for flows of higher priority. ``scope`` is what the
    balancer told of the flow; who forwards the packet passes it on.
    ``terms`` and ``regions`` are those of the flow's route, told with a SYN.
    ``unused_1`` and ``unused_2`` are services and agents in packets of
    earlier versions, which keep their places.
    """

    reason: int
    service: ServiceName
    data: bytes
    declined: tuple[NodeId, ...] = ()
    unused_1: tuple[str, ...] = ()
    via: NodeId = NodeId("")
    hops: int = 0
    low_priority: bool = False
    unused_2: tuple[str, ...] = ()
    scope: FlowScope
    terms: FlowTerms = DEFAULT_TERMS
    regions: tuple[str, ...] = ()


class _UnscopedPacket(msgspec.Struct, array_like=True):
    """The fields of a packet from a process of an earlier version.

    It may end after any of those that have a default.
    """

    reason: int
    service: ServiceName
    data: bytes
    declined: tuple[NodeId, ...] = ()
    unused_1: tuple[str, ...] = ()
    via: NodeId = NodeId("")
    hops: int = 0
    low_priority: bool = False
    unused_2: tuple[str, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ForwardedPacket)
_unscoped_decoder = msgspec.msgpack.Decoder(_UnscopedPacket)


def encode(packet: ForwardedPacket) -> bytes:
    """Return a forwarded packet as MessagePack."""
    return _encoder.encode(packet)


def decode(data: bytes) -> ForwardedPacket:
    """Return the forwarded packet in MessagePack data.

    :raises msgspec.DecodeError: if the data is not a forwarded packet.
    """
    try:
        return _decoder.decode(data)
    except msgspec.ValidationError:
        packet = _unscoped_decoder.decode(data)
        fields = msgspec.structs.asdict(packet)
        return ForwardedPacket(**fields, scope=UNKNOWN_SCOPE)

"""Packets of flows on their way between the relay's processes."""

import enum

import msgspec

from ..ids import NodeId
from ..ids import ServiceName


class ForwardReason(enum.IntEnum):
    """ForwardReason a packet is handed to an agent."""

    ROUTED = 0
    """A balancer chose the agent by hash."""
    PLACED = 1
    """Another agent holds that the flow is, or shall be, here."""
    LOOKUP = 2
    """Another agent looks for the holder and wants an answer."""


class ForwardedPacket(msgspec.Struct, array_like=True, omit_defaults=True):
    """A datagram and the service that its address leads to.

    ``declined`` names agents whose servers took the flow not.
    ``other_services`` names further services that may hold the flow, opened
    under another version of the configuration or by another weight.
    ``via`` is the balancer that an opening packet came through and
    ``hops`` counts the agents that handed the packet on. ``low_priority``
    tells that an opening packet gives way to more urgent ones.
    """

    reason: int
    service: ServiceName
    data: bytes
    declined: tuple[NodeId, ...] = ()
    other_services: tuple[ServiceName, ...] = ()
    via: NodeId = NodeId("")
    hops: int = 0
    low_priority: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ForwardedPacket)


def encode(wrapped: ForwardedPacket) -> bytes:
    """Return the bytes of a wrapped packet."""
    return _encoder.encode(wrapped)


def decode(data: bytes) -> ForwardedPacket:
    """Return the wrapped packet in bytes.

    :raises msgspec.DecodeError: if there is none.
    """
    return _decoder.decode(data)

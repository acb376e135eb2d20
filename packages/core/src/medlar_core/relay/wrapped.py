"""Packets of flows on their way between the relay's processes."""

import enum

import msgspec

from ..ids import NodeId
from ..ids import ServiceName


class Why(enum.IntEnum):
    """Why a packet is handed to an agent."""

    ROUTED = 0
    """A balancer chose the agent by hash."""
    PLACED = 1
    """Another agent holds that the flow is, or shall be, here."""
    ASKED = 2
    """Another agent looks for the holder and wants an answer."""


class Wrapped(msgspec.Struct, array_like=True, omit_defaults=True):
    """A datagram and the service that its address leads to.

    ``declined`` names agents whose servers took the flow not.
    ``elsewhere`` names further services that may hold the flow, opened
    under another version of the configuration or by another weight.
    ``via`` is the balancer that an opening packet came through and
    ``hops`` counts the agents that handed the packet on. ``yields`` tells
    that an opening packet gives way to more urgent ones.
    """

    why: int
    service: ServiceName
    data: bytes
    declined: tuple[NodeId, ...] = ()
    elsewhere: tuple[ServiceName, ...] = ()
    via: NodeId = NodeId("")
    hops: int = 0
    yields: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Wrapped)


def encode(wrapped: Wrapped) -> bytes:
    """Return the bytes of a wrapped packet."""
    return _encoder.encode(wrapped)


def decode(data: bytes) -> Wrapped:
    """Return the wrapped packet in bytes.

    :raises msgspec.DecodeError: if there is none.
    """
    return _decoder.decode(data)

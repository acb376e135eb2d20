"""Packets of flows, as balancers and agents exchange them."""

import enum

import msgspec
import xxhash

from .ids import FlowKey
from .ids import NodeId
from .ids import ServiceName
from .ids import Version


class Flag(enum.IntFlag):
    """Packet flags; those but ``BOUNCED`` are named as in TCP."""

    NONE = 0
    SYN = 1
    ACK = 2
    FIN = 4
    RST = 8
    BOUNCED = 16
    """The server returned the packet because it doesn't know the flow."""


class Packet(msgspec.Struct, array_like=True, omit_defaults=True):
    """One packet of a flow.

    ``caller`` and ``address`` are ``ip:port``. The fabric leaves the
    routing fields empty. ``version`` is the version of the bucket that
    the balancer used for routing. ``hops`` counts the agents that have
    forwarded the packet and ``asked`` lists them.
    """

    caller: str
    address: str
    flags: int
    payload: bytes = b""
    service: ServiceName = ServiceName("")
    version: Version = Version(0)
    hops: int = 0
    asked: tuple[NodeId, ...] = ()
    via: NodeId = NodeId("")


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Packet)


def encode(packet: Packet) -> bytes:
    """Encode a packet as a datagram."""
    return _encoder.encode(packet)


def decode(data: bytes) -> Packet:
    """Decode a packet from a datagram.

    :raises msgspec.DecodeError: if the datagram is not a valid packet.
    """
    return _decoder.decode(data)


def flow_key(caller: str, address: str) -> FlowKey:
    """Return the 64-bit key of the flow between caller and address."""
    return FlowKey(xxhash.xxh3_64_intdigest(f"{caller}>{address}".encode()))

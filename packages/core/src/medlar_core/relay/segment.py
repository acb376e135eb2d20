"""Parsed packets of opaque flows.

The relay reads addresses, flags and sequence numbers. It never reads or
changes the payload that caller and server exchange.
"""

import functools
import ipaddress
import socket
from typing import NamedTuple
from typing import NewType
from typing import Protocol

import msgspec
import xxhash

Endpoint = NewType("Endpoint", int)
"""IPv4 address and port in one number: address * 65,536 + port."""

_PORT_BITS = 16
_PORT_MASK = 0xFFFF
_ENDPOINT_BYTES = 6
HOST_CACHE_SIZE = 4_096
"""Endpoints whose address is cached as text."""


class FlowId(NamedTuple):
    """Identifies a flow: the caller's endpoint and the address it called."""

    caller: Endpoint
    address: Endpoint

    def __str__(self) -> str:
        return f"{endpoint_text(self.caller)}>{endpoint_text(self.address)}"

    @property
    def key(self) -> int:
        """64-bit hash, the same in every process."""
        caller = self.caller.to_bytes(_ENDPOINT_BYTES, "big")
        address = self.address.to_bytes(_ENDPOINT_BYTES, "big")
        return xxhash.xxh3_64_intdigest(caller + address)


class Segment(msgspec.Struct, frozen=True):
    """A parsed packet of a flow; ``data`` is the complete datagram.

    ``flags`` holds values of :class:`medlar_core.packets.Flag`. ``size``
    counts payload bytes. ``seq`` and ``ack`` are sequence and
    acknowledgement number; in a SYN ``ack`` counts its retransmissions.
    ``tag`` is a number that a server copies into a packet it bounces.
    """

    data: bytes
    flags: int
    src: Endpoint
    dst: Endpoint
    size: int
    seq: int
    ack: int
    tag: int = 0

    @property
    def inward(self) -> FlowId:
        """The flow of a packet that its caller sent."""
        return FlowId(self.src, self.dst)

    @property
    def outward(self) -> FlowId:
        """The flow of a packet that its server sent."""
        return FlowId(self.dst, self.src)


class SegmentCodec(Protocol):
    """Parses and builds datagrams in the format of the platform."""

    def decode(self, data: bytes) -> Segment:
        """Return the parsed packet of a datagram.

        :raises ValueError: if the datagram is not a valid packet.
        """
        ...

    def without_bounce_marks(self, data: bytes) -> bytes:
        """Return the datagram without the marks of an earlier bounce.

        A packet has to be delivered to a server without them.
        """
        ...

    def reset(self, flow: FlowId, seq: int) -> bytes:
        """Return the datagram that resets a flow, addressed to its caller."""
        ...


def endpoint(host: str, port: int) -> Endpoint:
    """Return the endpoint of a host and a port.

    :raises ValueError: if the host is not an IPv4 address.
    """
    try:
        packed = socket.inet_pton(socket.AF_INET, host)
    except OSError as exc:
        raise ValueError(f"expected an IPv4 address, got {host!r}") from exc
    return Endpoint(int.from_bytes(packed, "big") << _PORT_BITS | port)


@functools.lru_cache(maxsize=HOST_CACHE_SIZE)
def host_of(address: Endpoint) -> str:
    """Return the IPv4 address of an endpoint as text."""
    return str(ipaddress.IPv4Address(address >> _PORT_BITS))


def endpoint_text(address: Endpoint) -> str:
    """Return an endpoint as ``ip:port``."""
    return f"{host_of(address)}:{address & _PORT_MASK}"


def is_later(seq: int, than: int) -> bool:
    """Return whether a 32-bit sequence number is after another.

    The comparison allows for wrap-around.
    """
    return 0 < (seq - than) & 0xFFFFFFFF < 0x80000000

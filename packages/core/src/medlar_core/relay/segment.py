"""Datagrams of opaque flows and the marks that the relay reads.

The relay reads who talks to whom and how far the two are. The bytes
that caller and server exchange are never read or changed.
"""

import functools
import ipaddress
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
HOSTS_KEPT = 4_096
"""Endpoints whose address is kept as text."""


class FlowId(NamedTuple):
    """A flow: the endpoint of its caller and the address it called."""

    caller: Endpoint
    address: Endpoint

    def __str__(self) -> str:
        return f"{endpoint_text(self.caller)}>{endpoint_text(self.address)}"

    @property
    def key(self) -> int:
        """64-bit hash, equal in every process."""
        caller = self.caller.to_bytes(_ENDPOINT_BYTES, "big")
        address = self.address.to_bytes(_ENDPOINT_BYTES, "big")
        return xxhash.xxh3_64_intdigest(caller + address)


class Segment(msgspec.Struct, frozen=True):
    """One datagram of a flow, and what the relay reads of it.

    ``size`` counts payload bytes; ``seq`` and ``ack`` are positions of
    the sender and of what it received. ``tag`` is a number that a server
    leaves unchanged in what it bounces. ``flags`` holds values of
    :class:`medlar_core.packets.Flag`.
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
        """The flow of a segment that its caller sent."""
        return FlowId(self.src, self.dst)

    @property
    def outward(self) -> FlowId:
        """The flow of a segment that its server sent."""
        return FlowId(self.dst, self.src)


class SegmentCodec(Protocol):
    """Reads and writes the datagrams of the platform."""

    def decode(self, data: bytes) -> Segment:
        """Return the segment in a datagram.

        :raises ValueError: if the datagram holds no segment.
        """
        ...

    def without_bounce_marks(self, data: bytes) -> bytes:
        """Return the datagram without the marks of an earlier bounce."""
        ...

    def reset(self, flow: FlowId, seq: int) -> bytes:
        """Return a reset of a flow, addressed to its caller."""
        ...


def endpoint(host: str, port: int) -> Endpoint:
    """Return the endpoint of a host and a port.

    :raises ValueError: if the host is no IPv4 address.
    """
    return Endpoint(int(ipaddress.IPv4Address(host)) << _PORT_BITS | port)


@functools.lru_cache(maxsize=HOSTS_KEPT)
def host_of(place: Endpoint) -> str:
    """Return the IPv4 address of an endpoint as text."""
    return str(ipaddress.IPv4Address(place >> _PORT_BITS))


def endpoint_text(place: Endpoint) -> str:
    """Return an endpoint as ``ip:port``."""
    return f"{host_of(place)}:{place & _PORT_MASK}"


def is_later(seq: int, than: int) -> bool:
    """Return whether a 32-bit position lies after another."""
    return 0 < (seq - than) & 0xFFFFFFFF < 0x80000000

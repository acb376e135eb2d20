"""Packets as callers and servers write them, and their sums."""

import zlib

import msgspec

from medlar_core.packets import Flag
from medlar_core.relay.segment import Endpoint
from medlar_core.relay.segment import FlowId
from medlar_core.relay.segment import Segment
from medlar_platform.header import HeaderCodec

from ..standin import HEADER_BYTES
from ..standin import packet

_SUM = slice(5, 9)
_WIRE = {Flag.SYN: 4, Flag.ACK: 8, Flag.FIN: 16, Flag.RST: 64}
_codec = HeaderCodec()


class Packet(msgspec.Struct, frozen=True):
    """A packet of one end: what it says and what came with it."""

    segment: Segment
    payload: bytes
    is_own: bool
    """Whether the sum is that of the end that is said to send it."""

    @property
    def is_reset(self) -> bool:
        """Whether it is a reset that the relay may write."""
        return bool(self.segment.flags & Flag.RST) and not self.payload


def write(
    src: Endpoint,
    dst: Endpoint,
    flags: Flag,
    seq: int,
    ack: int,
    payload: bytes = b"",
) -> bytes:
    """Return a packet with its sum."""
    wire = sum(bit for flag, bit in _WIRE.items() if flags & flag)
    data = bytearray(packet(src, dst, wire, payload, seq, ack))
    data[_SUM] = _sum(data)
    return bytes(data)


def read(data: bytes) -> Packet:
    """Return the packet in a datagram."""
    segment = _codec.decode(data)
    return Packet(segment, data[HEADER_BYTES:], data[_SUM] == _sum(data))


def bounced(data: bytes) -> bytes:
    """Return a packet as a server returns what it does not hold."""
    return data[:4] + bytes([data[4] | 1]) + data[5:]


def port_of(flow: FlowId) -> int:
    """Return the port that a flow's caller called."""
    return flow.address & 0xFFFF


def _sum(data: bytes | bytearray) -> bytes:
    """Return the sum over all but what the relay may change."""
    kept = bytes([data[4] & ~1]) + bytes(data[9:])
    return zlib.crc32(kept, 0x5EED).to_bytes(4, "big")

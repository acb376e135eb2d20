"""Encoding of callers' and servers' packets, with checksums."""

import zlib

import msgspec

from medlar_core.packets import Flag
from medlar_core.relay.segment import Endpoint
from medlar_core.relay.segment import FlowId
from medlar_core.relay.segment import Segment
from medlar_platform.header import HeaderCodec

from ..standin import HEADER_BYTES
from ..standin import packet

_CHECKSUM = slice(5, 9)
_FLAG_BITS = {Flag.SYN: 4, Flag.ACK: 8, Flag.FIN: 16, Flag.RST: 64}
_codec = HeaderCodec()


class Packet(msgspec.Struct, frozen=True):
    """Decoded packet."""

    segment: Segment
    payload: bytes
    is_intact: bool
    """Whether the checksum is that of an unmodified packet."""

    @property
    def is_reset(self) -> bool:
        """Whether it is a reset without payload, as the relay sends."""
        return bool(self.segment.flags & Flag.RST) and not self.payload


def encode(
    src: Endpoint,
    dst: Endpoint,
    flags: Flag,
    seq: int,
    ack: int,
    payload: bytes = b"",
) -> bytes:
    """Return an encoded packet with its checksum."""
    flag_bits = sum(bit for flag, bit in _FLAG_BITS.items() if flags & flag)
    data = bytearray(packet(src, dst, flag_bits, payload, seq, ack))
    data[_CHECKSUM] = _checksum(data)
    return bytes(data)


def decode(data: bytes) -> Packet:
    """Return the packet in a datagram."""
    segment = _codec.decode(data)
    return Packet(
        segment, data[HEADER_BYTES:], data[_CHECKSUM] == _checksum(data)
    )


def bounced(data: bytes) -> bytes:
    """Return a packet as bounced by a server that does not know its flow."""
    return data[:4] + bytes([data[4] | 1]) + data[5:]


def port_of(flow: FlowId) -> int:
    """Return the destination port of a flow."""
    return flow.address & 0xFFFF


def _checksum(data: bytes | bytearray) -> bytes:
    """Return the checksum of all fields that the relay must not change."""
    covered = bytes([data[4] & ~1]) + bytes(data[9:])
    return zlib.crc32(covered, 0x5EED).to_bytes(4, "big")

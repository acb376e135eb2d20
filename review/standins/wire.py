"""Packets between clients and servers, with the keyed sum of the two ends."""

import hashlib
import ipaddress
import struct
from typing import NamedTuple

SYN, ACK, FIN, RST, BOUNCED = 4, 8, 16, 64, 1
MAX_DATA = 1_200
_HEAD = struct.Struct(">IBIHIHIHII")
_SUMMED = struct.Struct(">BHIHIHII")
_KEY = b"known to clients and servers only"


class FlowId(NamedTuple):
    """The client's end and the address that it called."""

    client: tuple[str, int]
    address: tuple[str, int]


class Packet(NamedTuple):
    """A packet; ``echo`` and BOUNCED are outside of the keyed sum."""

    src: tuple[str, int]
    dst: tuple[str, int]
    flags: int
    seq: int
    ack: int
    data: bytes
    echo: int
    sum: int

    @property
    def is_genuine(self) -> bool:
        """Whether its sender wrote it so."""
        return self.sum == _sum(
            self.src, self.dst, self.flags, self.seq, self.ack, self.data
        )

    @property
    def is_system_reset(self) -> bool:
        """Whether it is a reset that the system under test has made."""
        return self.flags == RST and not self.sum and not self.data


def encode(src, dst, flags, seq, ack, data=b"") -> bytes:
    """Return the datagram of a packet that an end sends."""
    total = _sum(src, dst, flags, seq, ack, data)
    return _pack(0, src, dst, flags, seq, ack, data, total)


def decode(datagram: bytes) -> Packet:
    """Return the packet of a datagram."""
    echo, flags, total, size, dst, sport, src, dport, seq, ack = (
        _HEAD.unpack_from(datagram)
    )
    data = datagram[_HEAD.size :]
    if len(data) != size:
        raise ValueError("the length field does not match the datagram")
    return Packet(
        (_text(src), sport),
        (_text(dst), dport),
        flags,
        seq,
        ack,
        data,
        echo,
        total,
    )


def bounced(datagram: bytes) -> bytes:
    """Return the datagram with BOUNCED set, all else unchanged."""
    flags = datagram[4] | BOUNCED
    return datagram[:4] + bytes([flags]) + datagram[5:]


def _pack(echo, src, dst, flags, seq, ack, data, total) -> bytes:
    head = _HEAD.pack(
        echo,
        flags,
        total,
        len(data),
        _number(dst[0]),
        src[1],
        _number(src[0]),
        dst[1],
        seq & 0xFFFFFFFF,
        ack & 0xFFFFFFFF,
    )
    return head + data


def _sum(src, dst, flags, seq, ack, data) -> int:
    fields = _SUMMED.pack(
        flags & ~BOUNCED,
        len(data),
        _number(dst[0]),
        src[1],
        _number(src[0]),
        dst[1],
        seq & 0xFFFFFFFF,
        ack & 0xFFFFFFFF,
    )
    digest = hashlib.blake2s(fields + data, key=_KEY[:32], digest_size=4)
    return int.from_bytes(digest.digest(), "big") or 1


def _number(host: str) -> int:
    return int(ipaddress.IPv4Address(host))


def _text(number: int) -> str:
    return str(ipaddress.IPv4Address(number))

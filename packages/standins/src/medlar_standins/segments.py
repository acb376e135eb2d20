"""Segments that peers of feeds exchange: one flag byte and a payload.

The flags are those of TCP, so that a plain UDP socket can act as a
peer that opens, uses and closes a flow.
"""

import msgspec

from medlar_core.packets import Flag


class Segment(msgspec.Struct, frozen=True):
    """Flags and payload of one datagram of a feed."""

    flags: int
    payload: bytes


def pack(segment: Segment) -> bytes:
    """Return the datagram of a segment."""
    return bytes([segment.flags]) + segment.payload


def unpack(data: bytes) -> Segment | None:
    """Return the segment in a datagram, or None if it is malformed."""
    if not data or data[0] > max(Flag) * 2 - 1:
        return None
    return Segment(data[0], data[1:])

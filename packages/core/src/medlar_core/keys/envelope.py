"""The sealed content of a control message: a time stamp and its JSON."""

import struct

import msgspec

from ..ids import NodeId
from ..timeline.hlc import Stamp
from .seal import Sealer
from .seal import SealReason
from .seal import SealRefusal
from .seal import Unsealed

_STAMP = struct.Struct("!QI")
"""Milliseconds and counter of the sender's hybrid logical clock."""
_MAX_COUNTER = 2**32 - 1


class Envelope(msgspec.Struct, frozen=True):
    """An authenticated message: sender, the sender's stamp, JSON body."""

    src: NodeId
    stamp: Stamp
    body: bytes


def seal(
    sealer: Sealer, now_wall: float, stamp: Stamp, body: bytes, dst: NodeId
) -> bytes:
    """Seal a message for one process.

    ``now_wall`` is the wall clock in seconds since 1970.
    """
    head = _STAMP.pack(stamp.ms, min(stamp.counter, _MAX_COUNTER))
    return sealer.seal(now_wall, head + body, dst)


def unseal(
    sealer: Sealer, now_wall: float, data: bytes
) -> Envelope | SealReason:
    """Open a sealed message, or return why it is refused."""
    match sealer.open(now_wall, data):
        case SealRefusal(reason=reason):
            return reason
        case Unsealed(src=src, body=body) if len(body) >= _STAMP.size:
            stamp = Stamp(*_STAMP.unpack_from(body))
            return Envelope(src, stamp, body[_STAMP.size :])
        case _:
            return SealReason.MALFORMED

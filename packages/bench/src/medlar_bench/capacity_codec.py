"""Measures what coding and sealing one control message costs."""

import time

import msgspec
import numpy

from medlar_core.ids import NodeId
from medlar_core.keys.key import Key
from medlar_core.keys.seal import Sealer
from medlar_core.keys.seal import Unsealed
from medlar_core.requests.messages import ClaimAsk
from medlar_core.wire import decode
from medlar_core.wire import encode

SIZES = (100, 200, 400, 800)
"""Bytes of text in the messages that are timed."""
MESSAGES = 2_000
SRC = NodeId("10.0.0.1:7000")
DST = NodeId("10.0.0.2:7000")


class CodecCost(msgspec.Struct, frozen=True):
    """Processor seconds of coding, sealing, opening and decoding.

    A message at one end costs half of both: its sender codes and seals
    it, its receiver opens and decodes it.
    """

    per_message_s: float
    per_byte_s: float


def measure_codec() -> CodecCost:
    """Time messages of four sizes and fit a line."""
    spent = [_time(size) for size in SIZES]
    per_byte, per_message = numpy.polyfit(SIZES, spent, 1)
    return CodecCost(float(per_message) / 2, max(0.0, float(per_byte)) / 2)


def _time(size: int) -> float:
    """Return the seconds for both ends of one message of a size."""
    key = Key(b"a key for measurements, 32 bytes")
    sender = Sealer((key,), SRC, 1)
    receiver = Sealer((key,), DST, 1)
    msg = ClaimAsk("k" * size, 1)  # type: ignore[arg-type]
    begin = time.thread_time()
    for _ in range(MESSAGES):
        sealed = sender.seal(1.0, encode(msg), DST)
        opened = receiver.open(1.0, sealed)
        assert isinstance(opened, Unsealed)
        decode(opened.body)
    return (time.thread_time() - begin) / MESSAGES

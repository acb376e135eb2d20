"""Packed lists of flow keys and of hints, as messages carry them."""

import numpy as np

from ..ids import FlowKey

_KEY_BYTES = 8
_MARK_BYTES = 4
MARK = 0xFFFFFFFF
"""The bits of a flow key that a hint carries."""


def pack_keys(keys: list[FlowKey]) -> bytes:
    """Return keys as little-endian integers of 8 bytes."""
    return np.array(keys, "<u8").tobytes()


def unpack_keys(data: bytes) -> list[FlowKey]:
    """Return the keys in a message; an incomplete last one is left out."""
    whole = len(data) - len(data) % _KEY_BYTES
    found: list[FlowKey] = np.frombuffer(data[:whole], "<u8").tolist()
    return found


def mark(key: int) -> int:
    """Return the bits of a flow key that a hint carries."""
    return key & MARK


def pack_marks(marks: list[int]) -> bytes:
    """Return marks as little-endian integers of 4 bytes."""
    return np.array(marks, "<u4").tobytes()


def unpack_marks(data: bytes) -> list[int]:
    """Return the marks in a message; an incomplete last one is left out."""
    whole = len(data) - len(data) % _MARK_BYTES
    found: list[int] = np.frombuffer(data[:whole], "<u4").tolist()
    return found

"""Packed lists of flow keys and of hints, as messages carry them."""

import numpy as np

from ..ids import FlowKey

_KEY_BYTES = 8
_SHORT_KEY_BYTES = 4
SHORT_KEY_MASK = 0xFFFFFFFF
"""The bits of a flow key that a hint carries."""


def pack_keys(keys: list[FlowKey]) -> bytes:
    """Return keys as little-endian integers of 8 bytes."""
    return np.array(keys, "<u8").tobytes()


def unpack_keys(data: bytes) -> list[FlowKey]:
    """Return the keys in a message; an incomplete last one is left out."""
    whole = len(data) - len(data) % _KEY_BYTES
    found: list[FlowKey] = np.frombuffer(data[:whole], "<u8").tolist()
    return found


def short_key(key: int) -> int:
    """Return the bits of a flow key that a hint carries."""
    return key & SHORT_KEY_MASK


def pack_short_keys(short_keys: list[int]) -> bytes:
    """Return short_keys as little-endian integers of 4 bytes."""
    return np.array(short_keys, "<u4").tobytes()


def unpack_short_keys(data: bytes) -> list[int]:
    """Return the short_keys in a message; an incomplete last one is left out."""
    whole = len(data) - len(data) % _SHORT_KEY_BYTES
    found: list[int] = np.frombuffer(data[:whole], "<u4").tolist()
    return found

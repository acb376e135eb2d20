"""Packed lists of flow keys and short keys, as sent in messages."""

import numpy as np

from ..ids import FlowKey

_KEY_BYTES = 8
_SHORT_KEY_BYTES = 4
SHORT_KEY_MASK = 0xFFFFFFFF
"""Mask of the bits of a flow key that a hint carries."""


def pack_keys(keys: list[FlowKey]) -> bytes:
    """Return keys as little-endian integers of 8 bytes."""
    return np.array(keys, "<u8").tobytes()


def unpack_keys(data: bytes) -> list[FlowKey]:
    """Return the keys in a message, ignoring an incomplete last one."""
    whole = len(data) - len(data) % _KEY_BYTES
    found: list[FlowKey] = np.frombuffer(data[:whole], "<u8").tolist()
    return found


def short_key(key: int) -> int:
    """Return the low 32 bits of a flow key, which hints carry."""
    return key & SHORT_KEY_MASK


def pack_short_keys(short_keys: list[int]) -> bytes:
    """Return short keys as little-endian integers of 4 bytes."""
    return np.array(short_keys, "<u4").tobytes()


def unpack_short_keys(data: bytes) -> list[int]:
    """Return the short keys in a message, ignoring an incomplete one."""
    whole = len(data) - len(data) % _SHORT_KEY_BYTES
    found: list[int] = np.frombuffer(data[:whole], "<u4").tolist()
    return found

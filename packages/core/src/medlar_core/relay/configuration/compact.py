"""Compact form of the configuration, between processes and in the store."""

import base64
import binascii
from typing import TypeVar
import zlib

import msgspec

from ...store import Revision
from ..zones.evacuation import EvacuatedPlaces
from .routes import RouteTable
from .scope_record import ScopeRecord
from .scope_record import share
from .scope_record import SharedRoutes

DECODED_BYTES_MAX = 32 * 1024 * 1024
"""Bounds what damaged data can decompress to."""

_T = TypeVar("_T")


class RoutesCopy(msgspec.Struct, frozen=True):
    """Copy of the configuration in the store.

    ``revision`` is that of the operators' item that it was made of.
    """

    revision: Revision
    table: RouteTable


class CompactRoutes:
    """What a balancer gives to others; encoded again only after a change."""

    def __init__(self) -> None:
        self._table: RouteTable | None = None
        self._record: ScopeRecord | None = None
        self._evacuated = EvacuatedPlaces()
        self._data = b""

    def encode(
        self,
        table: RouteTable,
        record: ScopeRecord | None,
        evacuated: EvacuatedPlaces,
    ) -> bytes:
        """Return the compact form of what a balancer shares."""
        is_known = (
            table is self._table
            and record is self._record
            and evacuated is self._evacuated
        )
        if not is_known:
            self._table, self._record = table, record
            self._evacuated = evacuated
            self._data = _compress(share(table, record, evacuated))
        return self._data


def decode_shared(data: bytes) -> SharedRoutes:
    """Return what another balancer gives.

    :raises ValueError: if the data is damaged.
    """
    return _decompress(data, SharedRoutes)


def encode_copy(copy: RoutesCopy) -> str:
    """Return a copy as a value of the store, which is text."""
    return base64.b85encode(_compress(copy)).decode()


def decode_copy(text: str) -> RoutesCopy:
    """Return the copy in a value of the store.

    :raises ValueError: if the value is damaged.
    """
    return _decompress(base64.b85decode(text), RoutesCopy)


def _compress(value: SharedRoutes | RoutesCopy) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(value))


def _decompress(data: bytes, kind: type[_T]) -> _T:
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, DECODED_BYTES_MAX)
    except (zlib.error, binascii.Error) as exc:
        raise ValueError(str(exc)) from exc
    if not decompressor.eof:
        raise ValueError("expected a whole compressed value, its end is cut")
    return msgspec.msgpack.decode(plain, type=kind)

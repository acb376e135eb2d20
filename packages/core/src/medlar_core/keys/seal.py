"""Authentication of control messages with a keyed hash.

A sealed message is a header (format, key id, sender's epoch, counter,
stamp and name), the body, and a truncated HMAC-SHA-256 over the
receiver's name, the header and the body. Messages are authenticated but
not encrypted. A message that was modified, replayed, or sealed for
another process is refused.
"""

import collections
import enum
import hmac
import itertools
import struct

import msgspec

from ..ids import NodeId
from .key import Key
from .replay import ReplayCheck
from .replay import ReplayWindow

FORMAT = 1
MAC_BYTES = 16
MAX_SEALED_BYTES = 2 * 1024 * 1024
MAX_NODE_BYTES = 64
_HEADER = struct.Struct("!B4sQIQB")
"""Format, key id, epoch, counter, stamp in milliseconds, name size."""
_MAX_COUNTER = 2**32
OVERHEAD_BYTES = _HEADER.size + MAC_BYTES
"""Bytes that sealing adds, besides the sender's name."""


class SealReason(enum.Enum):
    """Why a sealed message is refused."""

    TOO_LARGE = "too-large"
    MALFORMED = "malformed"
    UNKNOWN_KEY = "unknown-key"
    BAD_MAC = "bad-mac"
    STALE = "stale"
    REPLAYED = "replayed"
    TOO_MANY_SENDERS = "too-many-senders"


class Unsealed(msgspec.Struct, frozen=True):
    """An authenticated message and its sender."""

    src: NodeId
    body: bytes


class SealRefusal(msgspec.Struct, frozen=True):
    """A sealed message was refused."""

    reason: SealReason


_REFUSALS = {
    ReplayCheck.STALE: SealReason.STALE,
    ReplayCheck.REPLAYED: SealReason.REPLAYED,
    ReplayCheck.FULL: SealReason.TOO_MANY_SENDERS,
}


class Sealer:
    """Seals and opens the control messages of one process.

    The first of ``keys`` seals, all of them open. ``epoch`` must differ
    between runs of a process, as the wall clock at its start in
    microseconds does. ``refused`` counts refused messages by reason.
    """

    def __init__(
        self, keys: tuple[Key, ...], node: NodeId, epoch: int
    ) -> None:
        self.node = node
        self.refused: collections.Counter[SealReason] = collections.Counter()
        self._name = node.encode()
        self._epoch = epoch
        self._counter = itertools.count()
        self._window = ReplayWindow()
        self.use(keys)

    def use(self, keys: tuple[Key, ...]) -> None:
        """Replace the keys; the first one seals, all of them open.

        :raises ValueError: if there is no key.
        """
        if not keys:
            raise ValueError("keys: got none; expected at least one")
        self._secrets = {key.id: key.secret for key in keys}
        self._current = keys[0].id

    def seal(self, now_wall: float, body: bytes, dst: NodeId) -> bytes:
        """Seal a body for one process.

        ``now_wall`` is the wall clock in seconds since 1970.
        """
        counter = next(self._counter) % _MAX_COUNTER
        head = _HEADER.pack(
            FORMAT,
            self._current,
            self._epoch,
            counter,
            int(now_wall * 1000),
            len(self._name),
        )
        data = b"".join((head, self._name, body))
        return data + _mac(self._secrets[self._current], dst.encode(), data)

    def open(self, now_wall: float, data: bytes) -> Unsealed | SealRefusal:
        """Open a sealed message, or return why it is refused."""
        result = self._open(now_wall, data)
        if isinstance(result, SealReason):
            self.refused[result] += 1
            return SealRefusal(result)
        return result

    def _open(self, now_wall: float, data: bytes) -> Unsealed | SealReason:
        if len(data) > MAX_SEALED_BYTES:
            return SealReason.TOO_LARGE
        if len(data) < OVERHEAD_BYTES:
            return SealReason.MALFORMED
        version, key_id, epoch, counter, sent_ms, size = _HEADER.unpack_from(
            data
        )
        start = _HEADER.size + size
        end = len(data) - MAC_BYTES
        if version != FORMAT or start > end or not 0 < size <= MAX_NODE_BYTES:
            return SealReason.MALFORMED
        secret = self._secrets.get(key_id)
        if secret is None:
            return SealReason.UNKNOWN_KEY
        mac = _mac(secret, self._name, data[:end])
        if not hmac.compare_digest(mac, data[end:]):
            return SealReason.BAD_MAC
        try:
            src = NodeId(data[_HEADER.size : start].decode("ascii"))
        except UnicodeDecodeError:
            return SealReason.MALFORMED
        check = self._window.check(
            now_wall, src, epoch, counter, sent_ms / 1000
        )
        return _REFUSALS.get(check) or Unsealed(src, data[start:end])


def _mac(secret: bytes, dst: bytes, data: bytes) -> bytes:
    prefixed = bytes((len(dst) & 0xFF,)) + dst + data
    return hmac.digest(secret, prefixed, "sha256")[:MAC_BYTES]

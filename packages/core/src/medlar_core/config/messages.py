"""Messages that replicate the configuration between processes."""

import msgspec

from ..ids import ChangeId
from ..ids import Version
from .shards import Digest


class Have(msgspec.Struct, frozen=True, tag="config.have", omit_defaults=True):
    """The sender's version; 0 with an empty root if it has none.

    ``gathers`` is the root that the sender is assembling: it holds some
    shards of it.
    """

    version: Version
    root: Digest
    gathers: Digest = b""


class Want(msgspec.Struct, frozen=True, tag="config.want"):
    """Requests the update from ``version`` to the newest version.

    ``whole`` requests the list of shard digests instead of a delta.
    """

    version: Version
    whole: bool = False


class Delta(msgspec.Struct, frozen=True, tag="config.delta"):
    """The change from ``base`` to ``version``, as a compressed Patch.

    A receiver uses it only if the patched tree has the root ``root``.
    """

    base: Version
    version: Version
    root: Digest
    change: ChangeId
    body: bytes


class Parts(msgspec.Struct, frozen=True, tag="config.parts"):
    """The digests of all shards of a version, concatenated in order."""

    version: Version
    root: Digest
    change: ChangeId
    digests: bytes


class WantShards(msgspec.Struct, frozen=True, tag="config.want-shards"):
    """Requests some shards of a root."""

    root: Digest
    indices: tuple[int, ...]


class Shards(msgspec.Struct, frozen=True, tag="config.shards"):
    """Some shards of a root, compressed together as a list of JSON texts."""

    root: Digest
    indices: tuple[int, ...]
    body: bytes


MESSAGES = (Have, Want, Delta, Parts, WantShards, Shards)

"""Messages by which processes spread the configuration."""

import msgspec

from ..ids import ChangeId
from ..ids import Version
from .shards import Digest


class Have(msgspec.Struct, frozen=True, tag="config.have", omit_defaults=True):
    """The sender's version; 0 with an empty root is none.

    ``gathers`` is a root of which the sender holds some shards.
    """

    version: Version
    root: Digest
    gathers: Digest = b""


class Want(msgspec.Struct, frozen=True, tag="config.want"):
    """Asks for what brings ``version`` to the newest.

    ``whole`` asks for the list of parts in place of a change.
    """

    version: Version
    whole: bool = False


class Delta(msgspec.Struct, frozen=True, tag="config.delta"):
    """The change from ``base`` to ``version``, a compressed Patch.

    It is in force only if it gives exactly ``root``.
    """

    base: Version
    version: Version
    root: Digest
    change: ChangeId
    body: bytes


class Parts(msgspec.Struct, frozen=True, tag="config.parts"):
    """The digests of all shards of a version, joined in order."""

    version: Version
    root: Digest
    change: ChangeId
    digests: bytes


class WantShards(msgspec.Struct, frozen=True, tag="config.want-shards"):
    """Asks for some shards of a root."""

    root: Digest
    indices: tuple[int, ...]


class Shards(msgspec.Struct, frozen=True, tag="config.shards"):
    """Some shards of a root, compressed together as a list of texts."""

    root: Digest
    indices: tuple[int, ...]
    body: bytes


MESSAGES = (Have, Want, Delta, Parts, WantShards, Shards)

"""Calls to the platform's key-value store and their answers, as data."""

from typing import TypeAlias

import msgspec

Revision: TypeAlias = int
"""Store-wide counter that grows with each write; 0 means absent."""


class Get(msgspec.Struct, frozen=True, tag="get"):
    """Read one key."""

    key: str


class List(msgspec.Struct, frozen=True, tag="list"):
    """Read all keys under a prefix; counts as one call."""

    prefix: str


class Put(msgspec.Struct, frozen=True, tag="put"):
    """Write a key if its revision is the expected one.

    ``expected`` of 0 means that the key must be absent. ``lease`` attaches
    the key to a lease; the store deletes the key when the lease ends.
    """

    key: str
    value: str
    expected: Revision
    lease: int = 0


class Delete(msgspec.Struct, frozen=True, tag="delete"):
    """Delete a key if its revision is the expected one."""

    key: str
    expected: Revision


class LeaseGrant(msgspec.Struct, frozen=True, tag="lease-grant"):
    """Create a lease that ends ``ttl_s`` seconds after its last renewal."""

    ttl_s: float


class LeaseKeep(msgspec.Struct, frozen=True, tag="lease-keep"):
    """Renew a lease."""

    lease: int


class Compare(msgspec.Struct, frozen=True, tag="compare"):
    """Ask whether a key still has a revision; writes nothing.

    The answer is ``Changed`` without items if it has, else ``Found`` with
    the key's current item. It saves the transfer of a large item.
    """

    key: str
    revision: Revision


class Watch(msgspec.Struct, frozen=True, tag="watch"):
    """Wait for a change under a prefix after a revision.

    The call counts as one call for its whole duration. If nothing changes
    within ``wait_s`` seconds, the answer is ``Changed`` without items.
    """

    prefix: str
    after: Revision
    wait_s: float


StoreOp: TypeAlias = (
    Get | List | Compare | Put | Delete | LeaseGrant | LeaseKeep | Watch
)


class Item(msgspec.Struct, frozen=True):
    """One key with its value, as stored."""

    key: str
    value: str
    revision: Revision
    lease: int = 0


class Found(msgspec.Struct, frozen=True, tag="found"):
    """Answer to Get (0 or 1 items) and List."""

    items: tuple[Item, ...]
    revision: Revision


class Changed(msgspec.Struct, frozen=True, tag="changed"):
    """Answer to Watch; ``deleted`` lists the deleted keys."""

    items: tuple[Item, ...]
    deleted: tuple[str, ...]
    revision: Revision


class Written(msgspec.Struct, frozen=True, tag="written"):
    """Answer to Put or Delete that was applied."""

    revision: Revision


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """Answer to Put or Delete whose expected revision did not match."""

    actual: Revision


class Leased(msgspec.Struct, frozen=True, tag="leased"):
    """Answer to LeaseGrant and LeaseKeep."""

    lease: int
    ttl_s: float


class LeaseLapsed(msgspec.Struct, frozen=True, tag="lease-lapsed"):
    """The lease is unknown or has ended."""

    lease: int


class HistoryGone(msgspec.Struct, frozen=True, tag="history-gone"):
    """The store no longer has the changes a Watch needs: use List again."""


class Unavailable(msgspec.Struct, frozen=True, tag="unavailable"):
    """The store did not answer; a write may or may not have been applied."""

    why: str


StoreAnswer: TypeAlias = (
    Found
    | Changed
    | Written
    | Conflict
    | Leased
    | LeaseLapsed
    | HistoryGone
    | Unavailable
)

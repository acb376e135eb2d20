"""Calls to the platform's key-value service and their answers, as data."""

from typing import TypeAlias

import msgspec

Revision: TypeAlias = int
"""Store-wide counter that grows with each write; 0 means absent."""


class Get(msgspec.Struct, frozen=True, tag="get"):
    """Read one key."""

    key: str


class List(msgspec.Struct, frozen=True, tag="list"):
    """Read every key under a prefix; counts as one call."""

    prefix: str


class Put(msgspec.Struct, frozen=True, tag="put"):
    """Write a key if its revision is the expected one.

    ``expected`` of 0 means that the key must be absent; ``lease`` ties
    the key to a lease, after whose end it is deleted.
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
    """Ask for a lease that ends ``ttl_s`` seconds after its last renewal."""

    ttl_s: float


class LeaseKeep(msgspec.Struct, frozen=True, tag="lease-keep"):
    """Renew a lease."""

    lease: int


class Watch(msgspec.Struct, frozen=True, tag="watch"):
    """Wait for a change under a prefix after a revision.

    The call counts as one while it waits and answers ``Changed`` with no
    items when ``wait_s`` ends.
    """

    prefix: str
    after: Revision
    wait_s: float


StoreOp: TypeAlias = Get | List | Put | Delete | LeaseGrant | LeaseKeep | Watch


class Item(msgspec.Struct, frozen=True):
    """One key as the store holds it."""

    key: str
    value: str
    revision: Revision
    lease: int = 0


class Found(msgspec.Struct, frozen=True, tag="found"):
    """Answer to Get (0 or 1 items) and List."""

    items: tuple[Item, ...]
    revision: Revision


class Changed(msgspec.Struct, frozen=True, tag="changed"):
    """Answer to Watch; ``deleted`` names keys that went."""

    items: tuple[Item, ...]
    deleted: tuple[str, ...]
    revision: Revision


class Written(msgspec.Struct, frozen=True, tag="written"):
    """Answer to Put or Delete that took effect."""

    revision: Revision


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """Answer to Put or Delete whose expected revision did not match."""

    actual: Revision


class Leased(msgspec.Struct, frozen=True, tag="leased"):
    """Answer to LeaseGrant and LeaseKeep."""

    lease: int
    ttl_s: float


class LeaseLapsed(msgspec.Struct, frozen=True, tag="lease-lapsed"):
    """The lease named is unknown or has ended."""

    lease: int


class HistoryGone(msgspec.Struct, frozen=True, tag="history-gone"):
    """The changes that a watch asks for are no longer kept: read anew."""


class Unavailable(msgspec.Struct, frozen=True, tag="unavailable"):
    """No answer: a write may or may not have taken effect."""

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

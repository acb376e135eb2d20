"""Configuration changes and their outcomes, as shown to operators."""

from typing import TypeAlias

import msgspec

from ..ids import ChangeId
from ..ids import Version
from .merge import FieldConflict
from .problem import Problem


class Change(msgspec.Struct, frozen=True):
    """A change to apply.

    ``base`` is the version that the document was edited from, 0 if there
    was none. ``by`` names the operator. ``at_least`` is the newest version
    known to be in force: after the store lost its newest versions, their
    numbers must not be assigned again.
    """

    id: ChangeId
    by: str
    base: Version
    at_least: Version = Version(0)


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The change is accepted as a version.

    ``again``: an earlier run had the change accepted. ``merged``: the
    version contains concurrent changes too. ``unchanged``: the document
    equals the current version and nothing was written.
    """

    change: ChangeId
    version: Version
    again: bool = False
    merged: bool = False
    unchanged: bool = False


class Rejected(msgspec.Struct, frozen=True, tag="rejected"):
    """The change was not accepted; this run will not apply it later."""

    change: ChangeId
    why: str
    conflicts: tuple[FieldConflict, ...] = ()
    problems: tuple[Problem, ...] = ()


class Unknown(msgspec.Struct, frozen=True, tag="unknown"):
    """The store did not answer in time.

    ``written``: the write was sent and its result is unknown. ``how``
    tells the operator how to find out.
    """

    change: ChangeId
    written: bool
    how: str


Outcome: TypeAlias = Accepted | Rejected | Unknown

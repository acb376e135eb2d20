"""What an operator hears of a change."""

from typing import TypeAlias

import msgspec

from ..ids import ChangeId
from ..ids import Version
from .merge import FieldConflict
from .problem import Problem


class Change(msgspec.Struct, frozen=True):
    """A change to apply.

    ``base`` is the version that the document was written against, 0
    where there was none. ``by`` names the operator. ``at_least`` is the
    newest version known in force: a store that lost its newest versions
    must not hand out their numbers again.
    """

    id: ChangeId
    by: str
    base: Version
    at_least: Version = Version(0)


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The change is accepted as a version.

    ``again`` says that it was so before this run, ``merged`` that other
    changes are in the version too, ``unchanged`` that the document was
    in force as it stands and nothing was written.
    """

    change: ChangeId
    version: Version
    again: bool = False
    merged: bool = False
    unchanged: bool = False


class Rejected(msgspec.Struct, frozen=True, tag="rejected"):
    """Nothing was changed, and never will be by this run."""

    change: ChangeId
    why: str
    conflicts: tuple[FieldConflict, ...] = ()
    problems: tuple[Problem, ...] = ()


class Unknown(msgspec.Struct, frozen=True, tag="unknown"):
    """The store did not answer in time.

    ``written`` says whether a write was sent whose end is not known;
    ``how`` tells how to ask again.
    """

    change: ChangeId
    written: bool
    how: str


Outcome: TypeAlias = Accepted | Rejected | Unknown

"""The configuration in force in a process."""

import msgspec

from ..ids import ChangeId
from ..ids import ServiceName
from ..ids import Version
from .problem import Problem
from .shards import check_tree
from .shards import Digest
from .shards import EMPTY_TREE
from .shards import Patch
from .shards import patch_between
from .shards import patch_to
from .shards import Tree

MAX_STEPS = 64
MAX_FIRST_SERVICES = 32
"""Most services that a first delta to a new process may contain."""
NO_CHANGE = ChangeId("")


class Candidate(msgspec.Struct, frozen=True):
    """An accepted configuration that may be put in force."""

    tree: Tree
    version: Version
    change: ChangeId


class _VersionStep(msgspec.Struct, frozen=True):
    """What changed between two consecutive versions in force here."""

    base: Version
    version: Version
    names: frozenset[ServiceName]
    places: bool


class ConfigInForce:
    """The configuration in force; only a newer one replaces it.

    The names that changed in the last ``MAX_STEPS`` versions are kept, so
    that a peer that is a few versions behind is sent only a delta.
    """

    def __init__(self) -> None:
        self.tree: Tree = EMPTY_TREE
        self.version = Version(0)
        self.change: ChangeId = NO_CHANGE
        self._steps: list[_VersionStep] = []

    @property
    def root(self) -> Digest:
        """Return the root in force; empty if there is no configuration."""
        return self.tree.root if self.version else b""

    def replace(self, new: Candidate) -> Problem | None:
        """Put a newer, valid configuration in force.

        Return the problem if it is refused. A version that is not newer
        is ignored if it has the root in force.
        """
        if new.version <= self.version:
            older = Problem("version", str(new.version), "a newer version")
            same = new.tree.root == self.tree.root
            return None if same else older
        problems = check_tree(new.tree, self.tree if self.version else None)
        if problems:
            return problems[0]
        self._record_step(new)
        self.tree = new.tree
        self.version = new.version
        self.change = new.change
        return None

    def patch_from(self, version: Version) -> Patch | None:
        """Return the changes since a version; None if no longer recorded."""
        if version == 0:
            return self._first_patch()
        names: set[ServiceName] = set()
        places = False
        reached = self.version
        for step in reversed(self._steps):
            if reached <= version:
                break
            if step.version != reached:
                return None
            names |= step.names
            places = places or step.places
            reached = step.base
        if reached > version:
            return None
        return patch_to(self.tree, names, places)

    def _first_patch(self) -> Patch | None:
        services = self.tree.cfg.services
        if len(services) > MAX_FIRST_SERVICES:
            return None
        return patch_to(self.tree, (svc.name for svc in services), True)

    def _record_step(self, new: Candidate) -> None:
        patch = patch_between(self.tree, new.tree)
        names = {svc.name for svc in patch.services} | set(patch.removed)
        places_changed = patch.places is not None
        step = _VersionStep(
            self.version, new.version, frozenset(names), places_changed
        )
        self._steps.append(step)
        del self._steps[:-MAX_STEPS]

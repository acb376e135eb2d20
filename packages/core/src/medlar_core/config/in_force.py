"""The version that a process holds in force, and its guard."""

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
"""Services that a process without a configuration gets in one change."""
NO_CHANGE = ChangeId("")


class Candidate(msgspec.Struct, frozen=True):
    """A whole configuration that was accepted under a version."""

    tree: Tree
    version: Version
    change: ChangeId


class _Step(msgspec.Struct, frozen=True):
    """What changed from one version held here to the next."""

    base: Version
    version: Version
    names: frozenset[ServiceName]
    places: bool


class ConfigInForce:
    """The configuration in force; it is only ever replaced by a newer one.

    The last steps are remembered, so that a peer that is a few versions
    behind gets only what changed.
    """

    def __init__(self) -> None:
        self.tree: Tree = EMPTY_TREE
        self.version = Version(0)
        self.change: ChangeId = NO_CHANGE
        self._steps: list[_Step] = []

    @property
    def root(self) -> Digest:
        """Return the root of what is held; empty where there is none."""
        return self.tree.root if self.version else b""

    def offer(self, new: Candidate) -> Problem | None:
        """Take a configuration in force, or tell why it is refused."""
        if new.version <= self.version:
            older = Problem("version", str(new.version), "a newer version")
            same = new.tree.root == self.tree.root
            return None if same else older
        found = check_tree(new.tree, self.tree if self.version else None)
        if found:
            return found[0]
        self._remember(new)
        self.tree = new.tree
        self.version = new.version
        self.change = new.change
        return None

    def patch_from(self, version: Version) -> Patch | None:
        """Return what changed since a version, None where unknown."""
        if version == 0:
            return self._first_patch()
        names: set[ServiceName] = set()
        places = False
        at = self.version
        for step in reversed(self._steps):
            if at <= version:
                break
            if step.version != at:
                return None
            names |= step.names
            places = places or step.places
            at = step.base
        if at > version:
            return None
        return patch_to(self.tree, names, places)

    def _first_patch(self) -> Patch | None:
        services = self.tree.cfg.services
        if len(services) > MAX_FIRST_SERVICES:
            return None
        return patch_to(self.tree, (svc.name for svc in services), True)

    def _remember(self, new: Candidate) -> None:
        patch = patch_between(self.tree, new.tree)
        names = {svc.name for svc in patch.services} | set(patch.removed)
        moved = patch.places is not None
        step = _Step(self.version, new.version, frozenset(names), moved)
        self._steps.append(step)
        del self._steps[:-MAX_STEPS]

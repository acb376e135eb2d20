"""Three-way merge of two changes that began at the same base."""

from collections.abc import Iterator
from typing import Any

import msgspec

from .model import Configuration
from .model import Place
from .model import Service
from .shards import build_tree
from .shards import Tree


class FieldConflict(msgspec.Struct, frozen=True):
    """A field that both changes set, to different values.

    ``by``, ``change`` and ``version`` tell who set it first; they are
    empty where the history no longer tells.
    """

    path: str
    mine: str
    theirs: str
    by: str = ""
    change: str = ""
    version: int = 0


class Merged(msgspec.Struct, frozen=True):
    """The merged document, or the fields that stand against it."""

    tree: Tree
    conflicts: tuple[FieldConflict, ...]


class _Absent(msgspec.Struct, frozen=True):
    """Stands for an entry that a document does not have."""


ABSENT = _Absent()


def merge(base: Tree, mine: Tree, theirs: Tree) -> Merged:
    """Return both changes as one document, or where they conflict."""
    if base.root == theirs.root:
        return Merged(mine, ())
    conflicts: list[FieldConflict] = []
    services = _merge_named(
        "services",
        [tree.cfg.services for tree in (base, mine, theirs)],
        conflicts,
    )
    places = _merge_named(
        "places",
        [tree.cfg.places for tree in (base, mine, theirs)],
        conflicts,
    )
    cfg = Configuration(places=tuple(places), services=tuple(services))
    return Merged(build_tree(cfg), tuple(conflicts))


def _merge_named(
    path: str,
    sides: list[tuple[Any, ...]],
    conflicts: list[FieldConflict],
) -> list[Any]:
    base, mine, theirs = ({x.name: x for x in side} for side in sides)
    merged = []
    for name in sorted(base.keys() | mine.keys() | theirs.keys()):
        entry = _merge_entry(
            f"{path}.{name}",
            base.get(name, ABSENT),
            mine.get(name, ABSENT),
            theirs.get(name, ABSENT),
            conflicts,
        )
        if entry is not ABSENT:
            merged.append(entry)
    return merged


def _merge_entry(
    path: str,
    base: Any,
    mine: Any,
    theirs: Any,
    conflicts: list[FieldConflict],
) -> Any:
    if mine in (base, theirs):
        return theirs
    if theirs == base:
        return mine
    if ABSENT in (base, mine, theirs):
        conflicts.append(_conflict(path, mine, theirs))
        return theirs
    fields = {}
    for field in mine.__struct_fields__:
        was, ours, other = (getattr(x, field) for x in (base, mine, theirs))
        here = f"{path}.{field}"
        fields[field] = _merge_field(here, was, ours, other, conflicts)
    return type(mine)(**fields)


def _merge_field(
    path: str,
    base: Any,
    mine: Any,
    theirs: Any,
    conflicts: list[FieldConflict],
) -> Any:
    if mine in (base, theirs):
        return theirs
    if theirs != base:
        conflicts.append(_conflict(path, mine, theirs))
    return mine


def _conflict(path: str, mine: Any, theirs: Any) -> FieldConflict:
    return FieldConflict(path, _shown(mine), _shown(theirs))


def _shown(value: Any) -> str:
    if value is ABSENT:
        return "absent"
    return msgspec.json.encode(value).decode()


def differences(old: Tree, new: Tree) -> Iterator[FieldConflict]:
    """Yield every field that differs; ``theirs`` is the old value."""
    sides = (
        ("places", old.cfg.places, new.cfg.places),
        ("services", old.cfg.services, new.cfg.services),
    )
    for path, before, after in sides:
        olds: dict[str, Service | Place] = {x.name: x for x in before}
        news: dict[str, Service | Place] = {x.name: x for x in after}
        for name in sorted(olds.keys() | news.keys()):
            here = f"{path}.{name}"
            a, b = olds.get(name, ABSENT), news.get(name, ABSENT)
            if a == b:
                continue
            if isinstance(a, _Absent) or isinstance(b, _Absent):
                yield _conflict(here, b, a)
                continue
            for field in a.__struct_fields__:
                x, y = getattr(a, field), getattr(b, field)
                if x != y:
                    yield _conflict(f"{here}.{field}", y, x)

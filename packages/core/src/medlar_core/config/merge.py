"""Three-way merge of two documents with a common base version."""

from collections.abc import Iterator
from typing import Any

import msgspec

from .model import Configuration
from .model import Place
from .model import Service
from .shards import build_tree
from .shards import Tree


class FieldConflict(msgspec.Struct, frozen=True):
    """A field that both changes set to different values.

    ``by``, ``change`` and ``version`` identify the accepted change that
    set it; they are empty if the history no longer contains it.
    """

    path: str
    mine: str
    theirs: str
    by: str = ""
    change: str = ""
    version: int = 0


class Merged(msgspec.Struct, frozen=True):
    """The merged document, valid only if there are no conflicts."""

    tree: Tree
    conflicts: tuple[FieldConflict, ...]


class _Absent(msgspec.Struct, frozen=True):
    """Marker for an entry that a document does not contain."""


ABSENT = _Absent()


def merge(base: Tree, mine: Tree, theirs: Tree) -> Merged:
    """Return both changes merged into one document, or the conflicts."""
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
        base_value, mine_value, theirs_value = (
            getattr(x, field) for x in (base, mine, theirs)
        )
        entry_path = f"{path}.{field}"
        fields[field] = _merge_field(
            entry_path, base_value, mine_value, theirs_value, conflicts
        )
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
    return FieldConflict(path, _json_text(mine), _json_text(theirs))


def _json_text(value: Any) -> str:
    if value is ABSENT:
        return "absent"
    return msgspec.json.encode(value).decode()


def differences(old: Tree, new: Tree) -> Iterator[FieldConflict]:
    """Yield each changed field: ``mine`` is new, ``theirs`` is old."""
    sides = (
        ("places", old.cfg.places, new.cfg.places),
        ("services", old.cfg.services, new.cfg.services),
    )
    for path, before, after in sides:
        old_entries: dict[str, Service | Place] = {x.name: x for x in before}
        new_entries: dict[str, Service | Place] = {x.name: x for x in after}
        for name in sorted(old_entries.keys() | new_entries.keys()):
            entry_path = f"{path}.{name}"
            a, b = old_entries.get(name, ABSENT), new_entries.get(name, ABSENT)
            if a == b:
                continue
            if isinstance(a, _Absent) or isinstance(b, _Absent):
                yield _conflict(entry_path, b, a)
                continue
            for field in a.__struct_fields__:
                x, y = getattr(a, field), getattr(b, field)
                if x != y:
                    yield _conflict(f"{entry_path}.{field}", y, x)

from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec

from medlar_bench.config.documents import document
from medlar_core.config.merge import differences
from medlar_core.config.merge import merge
from medlar_core.config.model import Configuration
from medlar_core.config.shards import build_tree

BASE = document(4)


def with_service(
    cfg: Configuration, index: int, **fields: Any
) -> Configuration:
    services = list(cfg.services)
    services[index] = msgspec.structs.replace(services[index], **fields)
    return msgspec.structs.replace(cfg, services=tuple(services))


def without(cfg: Configuration, index: int) -> Configuration:
    kept = cfg.services[:index] + cfg.services[index + 1 :]
    return msgspec.structs.replace(cfg, services=kept)


def merge_from_base(mine: Configuration, theirs: Configuration) -> Any:
    base, mine_tree, theirs_tree = map(build_tree, (BASE, mine, theirs))
    return merge(base, mine_tree, theirs_tree)


def test_changes_of_different_services_are_merged() -> None:
    result = merge_from_base(
        with_service(BASE, 0, slots=7), with_service(BASE, 1, slots=8)
    )
    expected = with_service(with_service(BASE, 0, slots=7), 1, slots=8)
    assert result.conflicts == ()
    assert result.tree == build_tree(expected)


def test_changes_of_different_fields_of_a_service_are_merged() -> None:
    result = merge_from_base(
        with_service(BASE, 0, slots=7), with_service(BASE, 0, warm_s=3.0)
    )
    assert result.conflicts == ()
    assert result.tree == build_tree(
        with_service(BASE, 0, slots=7, warm_s=3.0)
    )


def test_same_field_set_to_different_values_is_a_conflict() -> None:
    result = merge_from_base(
        with_service(BASE, 0, slots=7), with_service(BASE, 0, slots=8)
    )
    (conflict,) = result.conflicts
    assert conflict.path == "services.service-00000.slots"
    assert (conflict.mine, conflict.theirs) == ("7", "8")


def test_service_removed_by_one_and_changed_by_other_is_a_conflict() -> None:
    result = merge_from_base(without(BASE, 0), with_service(BASE, 0, slots=8))
    assert [c.path for c in result.conflicts] == ["services.service-00000"]
    assert result.conflicts[0].mine == "absent"


SLOTS = st.lists(st.integers(1, 3), min_size=4, max_size=4)


def slotted(slots: list[int]) -> Configuration:
    cfg = BASE
    for index, value in enumerate(slots):
        cfg = with_service(cfg, index, slots=value)
    return cfg


@settings(derandomize=True, max_examples=100)
@given(SLOTS, SLOTS, SLOTS)
def test_merge_keeps_each_change_or_reports_a_conflict(
    base: list[int], mine: list[int], theirs: list[int]
) -> None:
    trees = [build_tree(slotted(side)) for side in (base, mine, theirs)]
    result = merge(*trees)
    conflicting = {
        conflict.path.split(".")[1] for conflict in result.conflicts
    }
    for index, service in enumerate(result.tree.cfg.services):
        sides = {mine[index], theirs[index]} - {base[index]}
        if len(sides) == 2:
            assert service.name in conflicting
        else:
            assert service.slots in (sides or {base[index]})


def test_differences_yield_each_changed_field() -> None:
    new = without(with_service(BASE, 0, slots=99), 3)
    result = list(differences(build_tree(BASE), build_tree(new)))
    assert [c.path for c in result] == [
        "services.service-00000.slots",
        "services.service-00003",
    ]
    assert result[1].mine == "absent"

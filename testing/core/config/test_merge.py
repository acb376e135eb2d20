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


def with_service(cfg: Configuration, at: int, **fields: Any) -> Configuration:
    services = list(cfg.services)
    services[at] = msgspec.structs.replace(services[at], **fields)
    return msgspec.structs.replace(cfg, services=tuple(services))


def without(cfg: Configuration, at: int) -> Configuration:
    kept = cfg.services[:at] + cfg.services[at + 1 :]
    return msgspec.structs.replace(cfg, services=kept)


def merged(mine: Configuration, theirs: Configuration) -> Any:
    base, mine_tree, theirs_tree = map(build_tree, (BASE, mine, theirs))
    return merge(base, mine_tree, theirs_tree)


def test_changes_of_different_services_both_stand() -> None:
    found = merged(
        with_service(BASE, 0, slots=7), with_service(BASE, 1, slots=8)
    )
    both = with_service(with_service(BASE, 0, slots=7), 1, slots=8)
    assert found.conflicts == ()
    assert found.tree == build_tree(both)


def test_changes_of_different_fields_of_a_service_both_stand() -> None:
    found = merged(
        with_service(BASE, 0, slots=7), with_service(BASE, 0, warm_s=3.0)
    )
    assert found.conflicts == ()
    assert found.tree == build_tree(with_service(BASE, 0, slots=7, warm_s=3.0))


def test_the_same_field_set_twice_is_a_conflict() -> None:
    found = merged(
        with_service(BASE, 0, slots=7), with_service(BASE, 0, slots=8)
    )
    (conflict,) = found.conflicts
    assert conflict.path == "services.service-00000.slots"
    assert (conflict.mine, conflict.theirs) == ("7", "8")


def test_a_service_removed_by_one_and_changed_by_another_conflicts() -> None:
    found = merged(without(BASE, 0), with_service(BASE, 0, slots=8))
    assert [c.path for c in found.conflicts] == ["services.service-00000"]
    assert found.conflicts[0].mine == "absent"


SLOTS = st.lists(st.integers(1, 3), min_size=4, max_size=4)


def slotted(slots: list[int]) -> Configuration:
    cfg = BASE
    for at, value in enumerate(slots):
        cfg = with_service(cfg, at, slots=value)
    return cfg


@settings(derandomize=True, max_examples=100)
@given(SLOTS, SLOTS, SLOTS)
def test_a_merge_keeps_each_change_or_tells_of_it(
    base: list[int], mine: list[int], theirs: list[int]
) -> None:
    trees = [build_tree(slotted(side)) for side in (base, mine, theirs)]
    found = merge(*trees)
    told = {conflict.path.split(".")[1] for conflict in found.conflicts}
    for at, service in enumerate(found.tree.cfg.services):
        sides = {mine[at], theirs[at]} - {base[at]}
        if len(sides) == 2:
            assert service.name in told
        else:
            assert service.slots in (sides or {base[at]})


def test_differences_tell_each_field() -> None:
    new = without(with_service(BASE, 0, slots=99), 3)
    found = list(differences(build_tree(BASE), build_tree(new)))
    assert [c.path for c in found] == [
        "services.service-00000.slots",
        "services.service-00003",
    ]
    assert found[1].mine == "absent"

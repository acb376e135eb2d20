from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from medlar_bench.config.documents import document
from medlar_core.config import parts
from medlar_core.config.problem import Problem

POOL = document(12).services
PLACES = document(1).places


def tree_of(chosen: list[tuple[int, int]]) -> parts.Tree:
    services = {
        i: msgspec.structs.replace(POOL[i], slots=slots) for i, slots in chosen
    }
    cfg = msgspec.structs.replace(
        document(1), services=tuple(services.values())
    )
    return parts.build(cfg)


CHOSEN = st.lists(
    st.tuples(st.integers(0, len(POOL) - 1), st.integers(1, 3)), max_size=12
)


@settings(derandomize=True, max_examples=100)
@given(CHOSEN, CHOSEN)
def test_a_patch_between_two_trees_gives_the_second(
    a: list[tuple[int, int]], b: list[tuple[int, int]]
) -> None:
    old, new = tree_of(a), tree_of(b)
    assert parts.patched(old, parts.patch_between(old, new)) == new


def test_the_order_of_a_document_does_not_change_its_root() -> None:
    cfg = document(9)
    turned = msgspec.structs.replace(
        cfg,
        services=tuple(reversed(cfg.services)),
        places=tuple(reversed(cfg.places)),
    )
    assert parts.build(turned) == parts.build(cfg)


def test_a_shard_other_than_the_one_named_is_refused() -> None:
    tree = parts.build(document(3))
    data = parts.encode_shard(tree.shards[0])
    found = parts.decode_shard(data + b" ", tree.digests[0])
    assert isinstance(found, Problem)


def test_a_service_in_a_shard_not_its_own_is_a_fault() -> None:
    tree = parts.build(document(1))
    at = parts.shard_index(tree.cfg.services[0].name)
    shards = list(tree.shards)
    other = at % (parts.SHARDS - 1) + 1
    shards[at], shards[other] = shards[other], shards[at]
    moved = parts.assemble(tuple(shards))
    assert parts.faults(tree) == ()
    assert "another shard" in parts.faults(moved)[0].text


@pytest.mark.parametrize(
    "data",
    [b"", b"garbage", parts.squeeze([1])[:-3], parts.squeeze("x" * 2**21)],
    ids=["empty", "garbage", "cut short", "too large"],
)
def test_bytes_that_do_not_expand_are_refused(data: bytes) -> None:
    assert isinstance(parts.expand(data), Problem)

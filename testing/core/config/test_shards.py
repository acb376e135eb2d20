from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from medlar_bench.config.documents import document
from medlar_core.config.model import Configuration
from medlar_core.config.problem import Problem
from medlar_core.config.shards import apply_patch
from medlar_core.config.shards import assemble
from medlar_core.config.shards import build_tree
from medlar_core.config.shards import check_tree
from medlar_core.config.shards import compress_json
from medlar_core.config.shards import decode_shard
from medlar_core.config.shards import decompress_json
from medlar_core.config.shards import digest
from medlar_core.config.shards import encode_shard
from medlar_core.config.shards import patch_between
from medlar_core.config.shards import shard_index
from medlar_core.config.shards import SHARDS
from medlar_core.config.shards import Tree

POOL = document(12).services
PLACES = document(1).places


def tree_of(chosen: list[tuple[int, int]]) -> Tree:
    services = {
        i: msgspec.structs.replace(POOL[i], slots=slots) for i, slots in chosen
    }
    cfg = msgspec.structs.replace(
        document(1), services=tuple(services.values())
    )
    return build_tree(cfg)


CHOSEN = st.lists(
    st.tuples(st.integers(0, len(POOL) - 1), st.integers(1, 3)), max_size=12
)


@settings(derandomize=True, max_examples=100)
@given(CHOSEN, CHOSEN)
def test_a_patch_between_two_trees_gives_the_second(
    a: list[tuple[int, int]], b: list[tuple[int, int]]
) -> None:
    old, new = tree_of(a), tree_of(b)
    assert apply_patch(old, patch_between(old, new)) == new


def test_the_order_of_a_document_does_not_change_its_root() -> None:
    cfg = document(9)
    turned = msgspec.structs.replace(
        cfg,
        services=tuple(reversed(cfg.services)),
        places=tuple(reversed(cfg.places)),
    )
    assert build_tree(turned) == build_tree(cfg)


def test_a_shard_other_than_the_one_named_is_refused() -> None:
    tree = build_tree(document(3))
    data = encode_shard(tree.shards[0])
    found = decode_shard(data + b" ", tree.digests[0])
    assert isinstance(found, Problem)


def test_a_service_in_a_shard_not_its_own_is_a_fault() -> None:
    tree = build_tree(document(1))
    at = shard_index(tree.cfg.services[0].name)
    shards = list(tree.shards)
    other = at % (SHARDS - 1) + 1
    shards[at], shards[other] = shards[other], shards[at]
    moved = assemble(tuple(shards))
    assert check_tree(tree) == ()
    assert "another shard" in check_tree(moved)[0].text


@pytest.mark.parametrize(
    "data",
    [b"", b"garbage", compress_json([1])[:-3], compress_json("x" * 2**21)],
    ids=["empty", "garbage", "cut short", "too large"],
)
def test_bytes_that_do_not_expand_are_refused(data: bytes) -> None:
    assert isinstance(decompress_json(data), Problem)


def test_defaults_written_out_do_not_change_the_root() -> None:
    cfg = document(2)
    plain = msgspec.to_builtins(cfg)
    for held in plain["services"]:
        held.update(slots=2, connections=2000, warm_s=10, buckets=1024)
    explicit = msgspec.convert(plain, Configuration)
    assert explicit.services[0].warm_s == 10.0
    left_out = [
        msgspec.structs.replace(held, slots=2, connections=2000)
        for held in cfg.services
    ]
    short = msgspec.structs.replace(cfg, services=tuple(left_out))
    assert build_tree(explicit).root == build_tree(short).root


def test_a_shard_in_another_form_is_refused() -> None:
    tree = build_tree(document(1))
    text = encode_shard(tree.shards[0]).replace(b",", b", ")
    found = decode_shard(text, digest(text))
    assert isinstance(found, Problem)
    assert "canonical" in found.expected

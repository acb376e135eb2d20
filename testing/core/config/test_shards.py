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
def test_applying_the_patch_between_trees_gives_the_second(
    a: list[tuple[int, int]], b: list[tuple[int, int]]
) -> None:
    old, new = tree_of(a), tree_of(b)
    assert apply_patch(old, patch_between(old, new)) == new


def test_entry_order_does_not_change_the_root() -> None:
    cfg = document(9)
    reordered = msgspec.structs.replace(
        cfg,
        services=tuple(reversed(cfg.services)),
        places=tuple(reversed(cfg.places)),
    )
    assert build_tree(reordered) == build_tree(cfg)


def test_shard_with_another_digest_is_refused() -> None:
    tree = build_tree(document(3))
    data = encode_shard(tree.shards[0])
    result = decode_shard(data + b" ", tree.digests[0])
    assert isinstance(result, Problem)


def test_service_in_the_wrong_shard_is_a_problem() -> None:
    tree = build_tree(document(1))
    index = shard_index(tree.cfg.services[0].name)
    shards = list(tree.shards)
    other = index % (SHARDS - 1) + 1
    shards[index], shards[other] = shards[other], shards[index]
    swapped = assemble(tuple(shards))
    assert check_tree(tree) == ()
    assert "another shard" in check_tree(swapped)[0].text


@pytest.mark.parametrize(
    "data",
    [b"", b"garbage", compress_json([1])[:-3], compress_json("x" * 2**21)],
    ids=["empty", "garbage", "truncated", "too large"],
)
def test_bytes_that_do_not_decompress_are_refused(data: bytes) -> None:
    assert isinstance(decompress_json(data), Problem)


def test_explicit_defaults_do_not_change_the_root() -> None:
    cfg = document(2)
    plain = msgspec.to_builtins(cfg)
    for service in plain["services"]:
        service.update(slots=2, connections=2000, warm_s=10, buckets=1024)
    explicit = msgspec.convert(plain, Configuration)
    assert explicit.services[0].warm_s == 10.0
    services = [
        msgspec.structs.replace(service, slots=2, connections=2000)
        for service in cfg.services
    ]
    without_defaults = msgspec.structs.replace(cfg, services=tuple(services))
    assert build_tree(explicit).root == build_tree(without_defaults).root


def test_shard_that_is_not_canonical_is_refused() -> None:
    tree = build_tree(document(1))
    text = encode_shard(tree.shards[0]).replace(b",", b", ")
    result = decode_shard(text, digest(text))
    assert isinstance(result, Problem)
    assert "canonical" in result.expected

import random

import pytest

from medlar_bench.config.documents import document
from medlar_core.config.assembly import Assembly
from medlar_core.config.assembly import read_parts
from medlar_core.config.assembly import STARTUP_BYTES_PER_S
from medlar_core.config.assembly import STEADY_BYTES_PER_S
from medlar_core.config.assembly import Target
from medlar_core.config.messages import Parts
from medlar_core.config.messages import Shards
from medlar_core.config.messages import WantShards
from medlar_core.config.problem import Problem
from medlar_core.config.shards import build_tree
from medlar_core.config.shards import compress_json
from medlar_core.config.shards import EMPTY_TREE
from medlar_core.config.shards import encode_shard
from medlar_core.ids import ChangeId
from medlar_core.ids import NodeId
from medlar_core.ids import Version
from medlar_fakes.net import wire_bytes

TREE = build_tree(document(1200))
PARTS = Parts(Version(7), TREE.root, ChangeId("c"), b"".join(TREE.digests))


def new_assembly() -> Assembly:
    target = read_parts(PARTS)
    assert isinstance(target, Target)
    assembly = Assembly(0.0, target, EMPTY_TREE)
    assembly.add_peer(NodeId("10.0.0.2:7000"))
    return assembly


def shards_response(want: WantShards) -> Shards:
    texts = [encode_shard(TREE.shards[i]).decode() for i in want.indices]
    return Shards(want.root, want.indices, compress_json(texts))


@pytest.mark.parametrize(
    ("fleet_starting", "rate"),
    [(False, STEADY_BYTES_PER_S), (True, STARTUP_BYTES_PER_S)],
)
def test_shards_are_requested_at_a_limited_rate(
    fleet_starting: bool, rate: float
) -> None:
    assembly = new_assembly()
    rng = random.Random(1)
    now = received = largest = 0.0
    while assembly.result() is None:
        for send in assembly.request_shards(now, rng, fleet_starting):
            msg = shards_response(send.msg)
            assembly.add_shards(now, msg)
            received += wire_bytes(msg)
            largest = max(largest, wire_bytes(msg))
        now += 0.1
    assert 0.7 * rate < (received - largest) / now < 1.1 * rate
    assert assembly.result() == assembly.result()


def test_result_is_the_whole_target() -> None:
    assembly = new_assembly()
    indices = tuple(range(len(TREE.shards)))
    assembly.add_shards(0.0, shards_response(WantShards(TREE.root, indices)))
    candidate = assembly.result()
    assert candidate is not None
    assert (candidate.tree, candidate.version) == (TREE, 7)


def test_shard_with_another_digest_is_refused() -> None:
    assembly = new_assembly()
    response = shards_response(WantShards(TREE.root, (1,)))
    wrong_index = Shards(TREE.root, (2,), response.body)
    assert isinstance(assembly.add_shards(0.0, wrong_index), Problem)
    assert assembly.shard(2) is None


def test_digests_of_a_different_root_are_refused() -> None:
    parts = Parts(Version(7), b"0" * 10, ChangeId("c"), PARTS.digests)
    assert isinstance(read_parts(parts), Problem)

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


def gathering() -> Assembly:
    target = read_parts(PARTS)
    assert isinstance(target, Target)
    made = Assembly(0.0, target, EMPTY_TREE)
    made.add_peer(NodeId("10.0.0.2:7000"))
    return made


def answer(want: WantShards) -> Shards:
    texts = [encode_shard(TREE.shards[i]).decode() for i in want.indices]
    return Shards(want.root, want.indices, compress_json(texts))


@pytest.mark.parametrize(
    ("hurry", "pace"),
    [(False, STEADY_BYTES_PER_S), (True, STARTUP_BYTES_PER_S)],
)
def test_parts_come_at_their_pace(hurry: bool, pace: float) -> None:
    made = gathering()
    rng = random.Random(1)
    now = came = largest = 0.0
    while made.whole() is None:
        for send in made.ask(now, rng, hurry):
            msg = answer(send.msg)
            made.take(now, msg)
            came += wire_bytes(msg)
            largest = max(largest, wire_bytes(msg))
        now += 0.1
    assert 0.7 * pace < (came - largest) / now < 1.1 * pace
    assert made.whole() == made.whole()


def test_what_is_gathered_is_the_whole_target() -> None:
    made = gathering()
    every = tuple(range(len(TREE.shards)))
    made.take(0.0, answer(WantShards(TREE.root, every)))
    found = made.whole()
    assert found is not None
    assert (found.tree, found.version) == (TREE, 7)


def test_a_shard_that_is_not_of_the_target_is_refused() -> None:
    made = gathering()
    wrong = answer(WantShards(TREE.root, (1,)))
    moved = Shards(TREE.root, (2,), wrong.body)
    assert isinstance(made.take(0.0, moved), Problem)
    assert made.shard(2) is None


def test_digests_of_another_root_are_refused() -> None:
    parts = Parts(Version(7), b"0" * 10, ChangeId("c"), PARTS.digests)
    assert isinstance(read_parts(parts), Problem)

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from medlar_bench.config.documents import document
from medlar_bench.config.everywhere import changed
from medlar_bench.config.fleet import Fleet
from medlar_core.config.messages import Delta
from medlar_core.config.messages import Have
from medlar_core.config.messages import Parts
from medlar_core.config.messages import Shards
from medlar_core.config.messages import Want
from medlar_core.config.messages import WantShards
from medlar_core.config.parts import build
from medlar_core.config.parts import EMPTY
from medlar_core.config.parts import patch_between
from medlar_core.config.parts import squeeze
from medlar_core.config.records import Head
from medlar_core.config.records import HEAD_KEY
from medlar_core.config.spread import ConfigSpread
from medlar_core.config.watch import WAIT_S
from medlar_core.events import Received
from medlar_core.events import Tick
from medlar_core.ids import ChangeId
from medlar_core.ids import NodeId
from medlar_core.ids import Version
from medlar_core.store import Put

DOC = document(6)
REFUSED = "document-refused"
NODE = NodeId("10.0.0.1:7000")
PEER = NodeId("10.0.0.2:7000")


def fleet(seed: int = 1) -> Fleet:
    made = Fleet(3, 10, seed)
    made.apply("first", DOC, 0)
    assert made.settle(lambda: made.everywhere(1), 20.0)
    return made


def put_head(made: Fleet, text: str) -> None:
    revision = made.store.items[HEAD_KEY].revision
    made.store.call(Put(HEAD_KEY, text, revision), lambda _: None)
    made.clock.run_until(made.clock.now + 5.0)


def refusals(made: Fleet) -> list[str]:
    return [e.text for _, e in made.records if e.reason == REFUSED]


def test_a_change_reaches_all_while_messages_are_lost_and_doubled() -> None:
    made = fleet()
    made.net.faults.loss = 0.3
    made.net.faults.duplicate = 0.3
    made.apply("two", changed(DOC, 0), 1)
    assert made.settle(lambda: made.everywhere(2), 20.0)
    assert not made.went_back


def test_a_change_reaches_all_if_the_store_dies_as_it_is_accepted() -> None:
    made = fleet()
    change = made.apply("two", changed(DOC, 0), 1)
    made.settle(lambda: change in made.outcomes, 5.0, 0.001)
    made.store.down = True
    assert made.settle(lambda: made.everywhere(2), 10.0)


def test_processes_that_were_cut_off_take_the_newest_at_the_end() -> None:
    made = fleet()
    agents = [
        node for node, is_balancer in made.alive.items() if not is_balancer
    ]
    made.net.cut = lambda a, b: (a in agents[:5]) is not (b in agents[:5])
    made.apply("two", changed(DOC, 0), 1)
    made.clock.run_until(made.clock.now + 60.0)
    assert {made.newest(node) for node in agents[:5]} == {1}
    made.net.cut = lambda a, b: False
    assert made.settle(lambda: made.everywhere(2), 10.0)


def test_without_the_operators_tool_watchers_still_spread_a_change() -> None:
    made = fleet()
    made.apply("two", changed(DOC, 0), 1, handover=False)
    assert made.settle(lambda: made.everywhere(2), 10.0)


def test_few_processes_wait_at_the_store() -> None:
    made = Fleet(12, 10, 1)
    made.apply("first", DOC, 0)
    made.settle(lambda: made.everywhere(1), 20.0)
    made.store.calls.clear()
    made.clock.run_until(made.clock.now + 2 * WAIT_S)
    assert sum(made.store.calls.values()) <= 3 * 3


def test_another_balancer_watches_when_the_watcher_dies() -> None:
    made = fleet()
    for node in [n for n, is_balancer in made.alive.items() if is_balancer]:
        made.start(is_balancer=True)
        made.kill(node)
    made.tell_view()
    made.clock.run_until(made.clock.now + 5.0)
    made.apply("two", changed(DOC, 0), 1, handover=False)
    assert made.settle(lambda: made.everywhere(2), 15.0)


def test_a_process_that_joins_in_an_outage_takes_the_newest() -> None:
    made = fleet()
    made.apply("two", changed(DOC, 0), 1)
    made.settle(lambda: made.everywhere(2), 10.0)
    made.store.down = True
    made.records.clear()
    node = made.start(is_balancer=False)
    assert made.settle(lambda: made.newest(node) > 0, 10.0)
    assert list(made.force[node]) == [2]
    (said,) = [e.text for n, e in made.records if n == node]
    assert "peers told their version" in said


def test_a_process_without_peers_reads_the_store() -> None:
    made = fleet()
    lone = NodeId("10.9.9.9:7000")
    made.force[lone] = {}
    made.net.attach(lone, ConfigSpread(lone, (), random.Random(1)))
    assert made.settle(lambda: made.newest(lone) == 1, 10.0)


def test_a_process_alone_asks_an_empty_store_less_and_less() -> None:
    made = Fleet(1, 0, 1)
    lone = NodeId("10.9.9.9:7000")
    made.kill(next(iter(made.alive)))
    made.net.attach(lone, ConfigSpread(lone, (), random.Random(1)))
    made.clock.run_until(300.0)
    assert 5 < sum(made.store.calls.values()) < 25


@pytest.mark.parametrize(
    "text",
    [
        "garbage",
        "{}",
        '{"version": 2, "root": "00", "recent": [], "schema": 9}',
        '{"version": 2, "root": "00", "recent": []}',
    ],
    ids=["garbage", "empty", "schema", "missing parts"],
)
def test_a_bad_head_is_refused_and_the_last_good_stays(text: str) -> None:
    made = fleet()
    good = made.store.items[HEAD_KEY].value
    put_head(made, text)
    assert refusals(made)
    assert {made.newest(node) for node in made.alive} == {1}
    put_head(made, good)
    made.apply("two", changed(DOC, 0), 1)
    assert made.settle(lambda: made.everywhere(2), 20.0)


def test_a_store_that_went_back_is_refused() -> None:
    made = fleet()
    old = made.store.items[HEAD_KEY].value
    made.apply("two", changed(DOC, 0), 1)
    made.settle(lambda: made.everywhere(2), 10.0)
    put_head(made, old)
    assert "the store went back" in refusals(made)[0]
    assert not made.went_back


def test_a_document_with_faults_written_by_hand_is_refused() -> None:
    made = fleet()
    bad = msgspec.structs.replace(DOC.services[0], slots=0)
    tree = build(msgspec.structs.replace(DOC, services=(bad,)))
    record = {"shards": [named.hex() for named in tree.digests]}
    root = tree.root.hex()
    parts = {f"config/root/{root}": msgspec.json.encode(record).decode()}
    for named, shard in zip(tree.digests, tree.shards, strict=True):
        text = msgspec.json.encode(shard).decode()
        parts[f"config/shard/{named.hex()}"] = text
    for key, value in parts.items():
        made.store.call(Put(key, value, 0), lambda _: None)
    head = Head(Version(2), root, ())
    put_head(made, msgspec.json.encode(head).decode())
    assert any("slots: got 0" in text for text in refusals(made))
    assert {made.newest(node) for node in made.alive} == {1}


def test_a_process_many_versions_behind_takes_the_parts() -> None:
    made = fleet()
    late = next(iter(made.alive))
    made.net.pause(late)
    made.net.faults.delay_s = 0.0001
    cfg = DOC
    for number in range(1, 71):
        cfg = changed(cfg, number)
        change = made.apply(f"change-{number}", cfg, number)
        made.settle(lambda c=change: c in made.outcomes, 5.0, 0.05)
    made.net.kill(late)
    made.force[late] = {}
    made.net.attach(late, ConfigSpread(late, (), random.Random(2)))
    made.tell_view()
    assert made.settle(lambda: made.everywhere(71), 30.0)


def spread_at(version: int) -> ConfigSpread:
    spread = ConfigSpread(NODE, [PEER], random.Random(1))
    spread.reduce(0.0, Tick())
    tree = build(DOC)
    body = squeeze(patch_between(EMPTY, tree))
    delta = Delta(Version(0), Version(version), tree.root, ChangeId("c"), body)
    spread.reduce(0.1, Received(PEER, delta))
    assert spread.version == version
    return spread


def test_an_older_version_from_a_peer_changes_nothing() -> None:
    spread = spread_at(5)
    tree = build(changed(DOC, 0))
    body = squeeze(patch_between(EMPTY, tree))
    for base in (0, 4, 5):
        old = Delta(Version(base), Version(4), tree.root, ChangeId("o"), body)
        spread.reduce(1.0, Received(PEER, old))
    assert spread.version == 5
    assert spread.cfg == DOC


def test_a_change_that_comes_before_its_base_waits_for_it() -> None:
    spread = spread_at(1)
    docs = [DOC, changed(DOC, 0), changed(changed(DOC, 0), 1)]
    trees = [build(doc) for doc in docs]
    deltas = [
        Delta(
            Version(i),
            Version(i + 1),
            trees[i].root,
            ChangeId(f"c{i}"),
            squeeze(patch_between(trees[i - 1], trees[i])),
        )
        for i in (1, 2)
    ]
    spread.reduce(1.0, Received(PEER, deltas[1]))
    assert spread.version == 1
    spread.reduce(1.1, Received(PEER, deltas[0]))
    assert spread.version == 3


def test_the_newest_change_that_waits_is_the_one_kept() -> None:
    spread = spread_at(1)
    trees = [build(DOC)]
    for number in range(3):
        trees.append(build(changed(trees[-1].cfg, number)))
    deltas = [
        Delta(
            Version(i),
            Version(i + 1),
            trees[i].root,
            ChangeId(f"c{i}"),
            squeeze(patch_between(trees[i - 1], trees[i])),
        )
        for i in (1, 2, 3)
    ]
    for delta in (deltas[1], deltas[2], deltas[0], deltas[1]):
        spread.reduce(1.0, Received(PEER, delta))
    assert spread.version == 4


def test_a_change_that_gives_another_root_is_not_taken() -> None:
    spread = spread_at(1)
    delta = Delta(
        Version(1), Version(2), b"0" * 10, ChangeId("x"), squeeze({})
    )
    effects = spread.reduce(1.0, Received(PEER, delta))
    assert spread.version == 1
    assert [e.msg for e in effects] == [Want(Version(1), whole=True)]


def test_another_root_under_the_same_version_raises_the_counter() -> None:
    spread = spread_at(1)
    spread.reduce(1.0, Received(PEER, Have(Version(1), b"1" * 10)))
    assert spread.refused == 1
    assert spread.cfg == DOC


def test_peers_that_ask_too_much_are_not_served() -> None:
    spread = spread_at(1)
    want = Want(Version(0), whole=True)
    sent = 0
    for _ in range(99):
        sent += len(spread.reduce(1.0, Received(PEER, want)))
    assert 0 < sent < 99


BYTES = st.binary(max_size=30) | st.just(build(DOC).root)
NUMBER = st.integers(-2, 2**40)
ANY = st.one_of(
    st.builds(Have, NUMBER, BYTES, BYTES),
    st.builds(Want, NUMBER, st.booleans()),
    st.builds(
        Delta,
        st.integers(0, 2),
        NUMBER,
        BYTES,
        st.text(max_size=5),
        BYTES | st.sampled_from([squeeze({}), squeeze({"services": [{}]})]),
    ),
    st.builds(Parts, NUMBER, BYTES, st.text(max_size=5), BYTES),
    st.builds(WantShards, BYTES, st.tuples(NUMBER, st.integers(0, 70))),
    st.builds(Shards, BYTES, st.tuples(NUMBER), BYTES),
)


@settings(derandomize=True, max_examples=200)
@given(st.lists(ANY, max_size=8))
def test_no_message_crashes_or_takes_a_bad_document(
    msgs: list[object],
) -> None:
    spread = spread_at(1)
    for msg in msgs:
        spread.reduce(1.0, Received(PEER, msg))
    assert spread.cfg == DOC


def test_a_joining_process_hears_several_before_it_takes_the_newest() -> None:
    spread = ConfigSpread(NODE, [PEER], random.Random(1))
    spread.reduce(0.0, Tick())
    told = [(PEER, 4), ("10.0.0.3:7000", 6), ("10.0.0.4:7000", 4)]
    asked = []
    for src, version in told:
        have = Have(Version(version), b"%010d" % version)
        effects = spread.reduce(0.1, Received(NodeId(src), have))
        asked += [(e.dst, e.msg) for e in effects]
    assert asked == [("10.0.0.3:7000", Want(Version(0)))]


def holding(services: int) -> Fleet:
    """Return a fleet that has a large document in force everywhere."""
    made = Fleet(4, 36, 1)
    made.apply("first", document(services), 0)
    assert made.settle(lambda: made.everywhere(1), 90.0)
    made.net.faults.loss = 0.1
    made.store.down = True
    made.clock.run_until(made.clock.now + 20.0)
    return made


def test_a_joining_process_keeps_the_budget_of_bytes() -> None:
    made = holding(services=600)
    node = made.start(is_balancer=False)
    worst = 0
    while not made.newest(node):
        before = made.net.bytes_recv[node]
        made.clock.run_until(made.clock.now + 10.0)
        worst = max(worst, made.net.bytes_recv[node] - before)
    assert 20_000 < worst < 10 * 5000


def test_all_balancers_at_once_get_a_large_document_from_agents() -> None:
    made = holding(services=1000)
    old = [node for node, is_balancer in made.alive.items() if is_balancer]
    for node in old:
        made.kill(node)
    new = [made.start(is_balancer=True, tell=False) for _ in old]
    made.tell_view()
    assert made.settle(lambda: all(map(made.newest, new)), 15.0)

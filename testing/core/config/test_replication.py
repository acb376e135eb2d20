import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from medlar_bench.config.documents import document
from medlar_bench.config.fleet import Fleet
from medlar_bench.config.propagation import with_more_slots
from medlar_core.config.messages import Delta
from medlar_core.config.messages import Have
from medlar_core.config.messages import Parts
from medlar_core.config.messages import Shards
from medlar_core.config.messages import Want
from medlar_core.config.messages import WantShards
from medlar_core.config.records import Head
from medlar_core.config.records import HEAD_KEY
from medlar_core.config.replication import ConfigReplicator
from medlar_core.config.shards import build_tree
from medlar_core.config.shards import compress_json
from medlar_core.config.shards import EMPTY_TREE
from medlar_core.config.shards import patch_between
from medlar_core.config.store_watch import WATCH_WAIT_S
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


def new_fleet(seed: int = 1) -> Fleet:
    fleet = Fleet(3, 10, seed)
    fleet.apply("first", DOC, 0)
    assert fleet.settle(lambda: fleet.in_force_everywhere(1), 20.0)
    return fleet


def put_head(fleet: Fleet, text: str) -> None:
    revision = fleet.store.items[HEAD_KEY].revision
    fleet.store.call(Put(HEAD_KEY, text, revision), lambda _: None)
    fleet.clock.run_until(fleet.clock.now + 5.0)


def refusals(fleet: Fleet) -> list[str]:
    return [e.text for _, e in fleet.records if e.reason == REFUSED]


def test_change_reaches_all_despite_lost_and_duplicated_messages() -> None:
    fleet = new_fleet()
    fleet.net.faults.loss = 0.3
    fleet.net.faults.duplicate = 0.3
    fleet.apply("two", with_more_slots(DOC, 0), 1)
    assert fleet.settle(lambda: fleet.in_force_everywhere(2), 20.0)
    assert not fleet.reverted_nodes


def test_change_reaches_all_if_the_store_fails_once_accepted() -> None:
    fleet = new_fleet()
    change = fleet.apply("two", with_more_slots(DOC, 0), 1)
    fleet.settle(lambda: change in fleet.outcomes, 5.0, 0.001)
    fleet.store.down = True
    assert fleet.settle(lambda: fleet.in_force_everywhere(2), 10.0)


def test_partitioned_processes_get_the_newest_after_healing() -> None:
    fleet = new_fleet()
    agents = [
        node for node, is_balancer in fleet.alive.items() if not is_balancer
    ]
    fleet.net.cut = lambda a, b: (a in agents[:5]) is not (b in agents[:5])
    fleet.apply("two", with_more_slots(DOC, 0), 1)
    fleet.clock.run_until(fleet.clock.now + 60.0)
    assert {fleet.newest(node) for node in agents[:5]} == {1}
    fleet.net.cut = lambda a, b: False
    assert fleet.settle(lambda: fleet.in_force_everywhere(2), 10.0)


def test_watchers_replicate_a_change_without_a_push() -> None:
    fleet = new_fleet()
    fleet.apply("two", with_more_slots(DOC, 0), 1, handover=False)
    assert fleet.settle(lambda: fleet.in_force_everywhere(2), 10.0)


def test_few_processes_watch_the_store() -> None:
    fleet = Fleet(12, 10, 1)
    fleet.apply("first", DOC, 0)
    fleet.settle(lambda: fleet.in_force_everywhere(1), 20.0)
    fleet.store.calls.clear()
    fleet.clock.run_until(fleet.clock.now + 2 * WATCH_WAIT_S)
    assert sum(fleet.store.calls.values()) <= 3 * 3


def test_another_balancer_replaces_a_failed_watcher() -> None:
    fleet = new_fleet()
    for node in [n for n, is_balancer in fleet.alive.items() if is_balancer]:
        fleet.start(is_balancer=True)
        fleet.kill(node)
    fleet.publish_view()
    fleet.clock.run_until(fleet.clock.now + 5.0)
    fleet.apply("two", with_more_slots(DOC, 0), 1, handover=False)
    assert fleet.settle(lambda: fleet.in_force_everywhere(2), 15.0)


def test_new_process_gets_the_newest_without_the_store() -> None:
    fleet = new_fleet()
    fleet.apply("two", with_more_slots(DOC, 0), 1)
    fleet.settle(lambda: fleet.in_force_everywhere(2), 10.0)
    fleet.store.down = True
    fleet.records.clear()
    node = fleet.start(is_balancer=False)
    assert fleet.settle(lambda: fleet.newest(node) > 0, 10.0)
    assert list(fleet.in_force_at[node]) == [2]
    (event_text,) = [e.text for n, e in fleet.records if n == node]
    assert "peers reported their version" in event_text


def test_process_without_peers_reads_the_store() -> None:
    fleet = new_fleet()
    node = NodeId("10.9.9.9:7000")
    fleet.in_force_at[node] = {}
    fleet.net.attach(node, ConfigReplicator(node, (), random.Random(1)))
    assert fleet.settle(lambda: fleet.newest(node) == 1, 10.0)


def test_reads_of_an_empty_store_back_off() -> None:
    fleet = Fleet(1, 0, 1)
    node = NodeId("10.9.9.9:7000")
    fleet.kill(next(iter(fleet.alive)))
    fleet.net.attach(node, ConfigReplicator(node, (), random.Random(1)))
    fleet.clock.run_until(300.0)
    assert 5 < sum(fleet.store.calls.values()) < 25


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
def test_invalid_head_is_refused_and_the_version_in_force_stays(
    text: str,
) -> None:
    fleet = new_fleet()
    good = fleet.store.items[HEAD_KEY].value
    put_head(fleet, text)
    assert refusals(fleet)
    assert {fleet.newest(node) for node in fleet.alive} == {1}
    put_head(fleet, good)
    fleet.apply("two", with_more_slots(DOC, 0), 1)
    assert fleet.settle(lambda: fleet.in_force_everywhere(2), 20.0)


def test_store_that_lost_versions_is_refused() -> None:
    fleet = new_fleet()
    old = fleet.store.items[HEAD_KEY].value
    fleet.apply("two", with_more_slots(DOC, 0), 1)
    fleet.settle(lambda: fleet.in_force_everywhere(2), 10.0)
    put_head(fleet, old)
    assert "the store lost versions" in refusals(fleet)[0]
    assert not fleet.reverted_nodes


def test_invalid_document_in_the_store_is_refused() -> None:
    fleet = new_fleet()
    bad = msgspec.structs.replace(DOC.services[0], slots=0)
    tree = build_tree(msgspec.structs.replace(DOC, services=(bad,)))
    record = {"shards": [named.hex() for named in tree.digests]}
    root = tree.root.hex()
    parts = {f"config/root/{root}": msgspec.json.encode(record).decode()}
    for named, shard in zip(tree.digests, tree.shards, strict=True):
        text = msgspec.json.encode(shard).decode()
        parts[f"config/shard/{named.hex()}"] = text
    for key, value in parts.items():
        fleet.store.call(Put(key, value, 0), lambda _: None)
    head = Head(Version(2), root, ())
    put_head(fleet, msgspec.json.encode(head).decode())
    assert any("slots: got 0" in text for text in refusals(fleet))
    assert {fleet.newest(node) for node in fleet.alive} == {1}


def test_process_many_versions_behind_catches_up() -> None:
    fleet = new_fleet()
    behind = next(iter(fleet.alive))
    fleet.net.pause(behind)
    fleet.net.faults.delay_s = 0.0001
    cfg = DOC
    for number in range(1, 71):
        cfg = with_more_slots(cfg, number)
        change = fleet.apply(f"change-{number}", cfg, number)
        fleet.settle(lambda c=change: c in fleet.outcomes, 5.0, 0.05)
    fleet.net.kill(behind)
    fleet.in_force_at[behind] = {}
    fleet.net.attach(behind, ConfigReplicator(behind, (), random.Random(2)))
    fleet.publish_view()
    assert fleet.settle(lambda: fleet.in_force_everywhere(71), 30.0)


def replicator_at(version: int) -> ConfigReplicator:
    replicator = ConfigReplicator(NODE, [PEER], random.Random(1))
    replicator.reduce(0.0, Tick())
    tree = build_tree(DOC)
    body = compress_json(patch_between(EMPTY_TREE, tree))
    delta = Delta(Version(0), Version(version), tree.root, ChangeId("c"), body)
    replicator.reduce(0.1, Received(PEER, delta))
    assert replicator.version == version
    return replicator


def test_older_version_of_a_peer_is_ignored() -> None:
    replicator = replicator_at(5)
    tree = build_tree(with_more_slots(DOC, 0))
    body = compress_json(patch_between(EMPTY_TREE, tree))
    for base in (0, 4, 5):
        old = Delta(Version(base), Version(4), tree.root, ChangeId("o"), body)
        replicator.reduce(1.0, Received(PEER, old))
    assert replicator.version == 5
    assert replicator.cfg == DOC


def test_delta_received_before_its_base_is_applied_after_it() -> None:
    replicator = replicator_at(1)
    docs = [
        DOC,
        with_more_slots(DOC, 0),
        with_more_slots(with_more_slots(DOC, 0), 1),
    ]
    trees = [build_tree(doc) for doc in docs]
    deltas = [
        Delta(
            Version(i),
            Version(i + 1),
            trees[i].root,
            ChangeId(f"c{i}"),
            compress_json(patch_between(trees[i - 1], trees[i])),
        )
        for i in (1, 2)
    ]
    replicator.reduce(1.0, Received(PEER, deltas[1]))
    assert replicator.version == 1
    replicator.reduce(1.1, Received(PEER, deltas[0]))
    assert replicator.version == 3


def test_newest_pending_delta_is_kept() -> None:
    replicator = replicator_at(1)
    trees = [build_tree(DOC)]
    for number in range(3):
        trees.append(build_tree(with_more_slots(trees[-1].cfg, number)))
    deltas = [
        Delta(
            Version(i),
            Version(i + 1),
            trees[i].root,
            ChangeId(f"c{i}"),
            compress_json(patch_between(trees[i - 1], trees[i])),
        )
        for i in (1, 2, 3)
    ]
    for delta in (deltas[1], deltas[2], deltas[0], deltas[1]):
        replicator.reduce(1.0, Received(PEER, delta))
    assert replicator.version == 4


def test_delta_with_a_different_root_is_not_applied() -> None:
    replicator = replicator_at(1)
    delta = Delta(
        Version(1), Version(2), b"0" * 10, ChangeId("x"), compress_json({})
    )
    effects = replicator.reduce(1.0, Received(PEER, delta))
    assert replicator.version == 1
    assert [e.msg for e in effects] == [Want(Version(1), whole=True)]


def test_different_root_of_the_same_version_is_counted() -> None:
    replicator = replicator_at(1)
    replicator.reduce(1.0, Received(PEER, Have(Version(1), b"1" * 10)))
    assert replicator.refused == 1
    assert replicator.cfg == DOC


def test_excess_requests_of_peers_are_dropped() -> None:
    replicator = replicator_at(1)
    want = Want(Version(0), whole=True)
    sent = 0
    for _ in range(99):
        sent += len(replicator.reduce(1.0, Received(PEER, want)))
    assert 0 < sent < 99


BYTES = st.binary(max_size=30) | st.just(build_tree(DOC).root)
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
        BYTES
        | st.sampled_from(
            [compress_json({}), compress_json({"services": [{}]})]
        ),
    ),
    st.builds(Parts, NUMBER, BYTES, st.text(max_size=5), BYTES),
    st.builds(WantShards, BYTES, st.tuples(NUMBER, st.integers(0, 70))),
    st.builds(Shards, BYTES, st.tuples(NUMBER), BYTES),
)


@settings(derandomize=True, max_examples=200)
@given(st.lists(ANY, max_size=8))
def test_no_message_raises_or_replaces_the_configuration(
    msgs: list[object],
) -> None:
    replicator = replicator_at(1)
    for msg in msgs:
        replicator.reduce(1.0, Received(PEER, msg))
    assert replicator.cfg == DOC


def test_new_process_awaits_several_responses_for_the_newest() -> None:
    replicator = ConfigReplicator(NODE, [PEER], random.Random(1))
    replicator.reduce(0.0, Tick())
    reported = [(PEER, 4), ("10.0.0.3:7000", 6), ("10.0.0.4:7000", 4)]
    asked = []
    for src, version in reported:
        have = Have(Version(version), b"%010d" % version)
        effects = replicator.reduce(0.1, Received(NodeId(src), have))
        asked += [(e.dst, e.msg) for e in effects]
    assert asked == [("10.0.0.3:7000", Want(Version(0)))]


def fleet_with_services(services: int) -> Fleet:
    """Return a fleet that has a large document in force everywhere."""
    fleet = Fleet(4, 36, 1)
    fleet.apply("first", document(services), 0)
    assert fleet.settle(lambda: fleet.in_force_everywhere(1), 90.0)
    fleet.net.faults.loss = 0.1
    fleet.store.down = True
    fleet.clock.run_until(fleet.clock.now + 20.0)
    return fleet


def test_new_process_keeps_to_its_byte_rate() -> None:
    fleet = fleet_with_services(services=600)
    node = fleet.start(is_balancer=False)
    worst = 0
    while not fleet.newest(node):
        before = fleet.net.bytes_recv[node]
        fleet.clock.run_until(fleet.clock.now + 10.0)
        worst = max(worst, fleet.net.bytes_recv[node] - before)
    assert 20_000 < worst < 10 * 5000


def test_replaced_balancers_get_a_large_document_from_agents() -> None:
    fleet = fleet_with_services(services=1000)
    old = [node for node, is_balancer in fleet.alive.items() if is_balancer]
    for node in old:
        fleet.kill(node)
    new = [fleet.start(is_balancer=True, publish=False) for _ in old]
    fleet.publish_view()
    assert fleet.settle(lambda: all(map(fleet.newest, new)), 15.0)

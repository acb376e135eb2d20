import random
from typing import TypeVar

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from medlar_bench.config.documents import document
from medlar_bench.config.racing import with_slots
from medlar_core.config.history import History
from medlar_core.config.history import read_history
from medlar_core.config.model import Configuration
from medlar_core.config.outcome import Accepted
from medlar_core.config.outcome import Change
from medlar_core.config.prune import prune
from medlar_core.config.records import load_tree
from medlar_core.config.records import put_immutable
from medlar_core.config.records import root_key
from medlar_core.config.records import StoreRoutine
from medlar_core.config.shards import build_tree
from medlar_core.config.shards import Tree
from medlar_core.config.writer import ConfigWriter
from medlar_core.effects import CallStore
from medlar_core.events import StoreAnswered
from medlar_core.events import Tick
from medlar_core.ids import ChangeId
from medlar_core.ids import Version
from medlar_core.store import StoreAnswer
from medlar_core.store import StoreOp
from medlar_fakes.clock import Clock
from medlar_fakes.store import Store

T = TypeVar("T")
DOC = document(3)


@pytest.fixture(autouse=True)
def few_pages(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("medlar_core.config.prune.MAX_PAGES", 1)


def call_store(store: Store, op: StoreOp) -> StoreAnswer:
    answers: list[StoreAnswer] = []
    store.call(op, answers.append)
    store.clock.run_until(store.clock.now + 3.0)
    return answers[0]


def run_routine(store: Store, routine: StoreRoutine[T]) -> T:
    try:
        op = next(routine)
        while True:
            op = routine.send(call_store(store, op))
    except StopIteration as end:
        result: T = end.value
        return result


def apply(store: Store, name: str, cfg: Configuration, base: int) -> None:
    change = Change(ChangeId(name), "tester", Version(base))
    writer = ConfigWriter(change, cfg, random.Random(1), (), 1e6)
    event: Tick | StoreAnswered = Tick()
    while writer.outcome is None:
        effects = writer.reduce(store.clock.now, event)
        event = Tick()
        for effect in effects:
            if isinstance(effect, CallStore):
                answer = call_store(store, effect.op)
                event = StoreAnswered(effect.call, answer)
        store.clock.run_until(store.clock.now + 1.0)
    assert isinstance(writer.outcome, Accepted)


def apply_slots(store: Store, slots: list[int]) -> None:
    """Apply documents that differ in the slots of the first service."""
    for number, count in enumerate(slots):
        cfg = with_slots(DOC, 0, count)
        apply(store, f"change-{number}", cfg, number)


def history_of(store: Store) -> History:
    found = run_routine(store, read_history())
    assert isinstance(found, History)
    return found


def assert_all_kept(store: Store) -> None:
    for record in history_of(store).changes:
        found = run_routine(store, load_tree(record.root, None))
        assert isinstance(found, Tree), record


def test_versions_outside_the_history_are_deleted() -> None:
    store = Store(Clock())
    apply_slots(store, list(range(100, 170)))
    first = root_key(history_of(store).changes[0].root)
    keys = len(store.items)
    assert run_routine(store, prune(history_of(store))) == 33
    assert len(store.items) == keys - 33
    assert first not in store.items
    assert_all_kept(store)


@settings(derandomize=True, max_examples=12)
@given(st.integers(0, 10**6))
def test_versions_that_were_accepted_again_are_kept(seed: int) -> None:
    rng = random.Random(seed)
    store = Store(Clock(), seed)
    slots = [1]
    while len(slots) < 66:
        slots.append(rng.choice([x for x in (1, 2, 3, 4) if x != slots[-1]]))
    apply_slots(store, slots)
    run_routine(store, prune(history_of(store)))
    assert_all_kept(store)


def test_record_that_a_pending_change_wrote_again_is_kept() -> None:
    store = Store(Clock())
    apply_slots(store, list(range(100, 170)))
    old = build_tree(with_slots(DOC, 0, 100))
    key = root_key(old.root.hex())
    run_routine(store, put_immutable(key, store.items[key].value))
    run_routine(store, prune(history_of(store)))
    assert key in store.items


def test_prune_resumes_after_the_store_was_unavailable() -> None:
    store = Store(Clock())
    apply_slots(store, list(range(100, 170)))
    routine = prune(history_of(store))
    op = next(routine)
    for _ in range(9):
        op = routine.send(call_store(store, op))
    store.down = True
    with pytest.raises(StopIteration):
        routine.send(call_store(store, op))
    store.down = False
    pages = len(history_of(store).pages)
    run_routine(store, prune(history_of(store)))
    assert len(history_of(store).pages) == pages - 1
    assert_all_kept(store)
    assert not [
        key
        for key in store.items
        if key == root_key(build_tree(with_slots(DOC, 0, 100)).root.hex())
    ]


@pytest.mark.parametrize("seed", range(4))
def test_lost_answers_to_writes_lose_no_record(seed: int) -> None:
    store = Store(Clock(), seed)
    store.lose_answers = 0.6
    apply_slots(store, [1, 2, 1, 2, 1])
    assert_all_kept(store)

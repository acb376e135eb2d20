from medlar_core import store as ops
from medlar_fakes.clock import Clock
from medlar_fakes.store import Store


def ask(store: Store, op: ops.StoreOp) -> ops.StoreAnswer:
    answers: list[ops.StoreAnswer] = []
    store.call(op, answers.append)
    store.clock.run_until(store.clock.now + 5.0)
    return answers[0]


def test_put_with_stale_revision_is_a_conflict() -> None:
    store = Store(Clock())
    assert ask(store, ops.Put("a", "1", 0)) == ops.Written(1)
    assert ask(store, ops.Put("a", "2", 0)) == ops.Conflict(1)


def test_lost_answer_leaves_the_write_in_effect() -> None:
    store = Store(Clock())
    store.lose_answers = 1.0
    assert isinstance(ask(store, ops.Put("a", "1", 0)), ops.Unavailable)
    assert store.items["a"].value == "1"


def test_lapsed_lease_deletes_its_keys() -> None:
    store = Store(Clock())
    lease = ask(store, ops.LeaseGrant(1.0))
    assert isinstance(lease, ops.Leased)
    ask(store, ops.Put("a", "1", 0, lease.lease))
    store.clock.run_until(20.0)
    found = ask(store, ops.Get("a"))
    assert isinstance(found, ops.Found)
    assert found.items == ()


def test_watch_answers_when_a_key_changes() -> None:
    store = Store(Clock())
    answers: list[ops.StoreAnswer] = []
    store.call(ops.Watch("a", 0, 30.0), answers.append)
    store.clock.run_until(1.0)
    assert answers == []
    ask(store, ops.Put("a/b", "1", 0))
    assert isinstance(answers[0], ops.Changed)
    assert answers[0].items[0].key == "a/b"

import random

from medlar_core.effects import CallStore
from medlar_core.events import StoreAnswered
from medlar_core.ids import Seconds
from medlar_core.store import Found
from medlar_core.store import Get
from medlar_core.store import Unavailable
from medlar_core.storeaccess.access import CALL_LIMIT_S
from medlar_core.storeaccess.access import Part
from medlar_core.storeaccess.access import QUEUE_LIMIT
from medlar_core.storeaccess.access import StoreAccess
from medlar_core.storeaccess.circuit import LONGEST_PAUSE_S

FAILED = Unavailable("down")


def s(value: float) -> Seconds:
    return Seconds(value)


def asked(store: StoreAccess, now: float) -> list[CallStore]:
    store.submit(s(now), Part.MEMBERS, Get("k"), spread_s=0.0)
    return store.due(s(now))


def fail(store: StoreAccess, now: float, calls: list[CallStore]) -> None:
    for call in calls:
        store.take(s(now), Part.MEMBERS, StoreAnswered(call.call, FAILED))


def test_answers_go_to_the_part_that_asked_and_only_once() -> None:
    store = StoreAccess(random.Random(1))
    (call,) = asked(store, 0.0)
    answer = StoreAnswered(call.call, Found((), 1))
    assert store.take(s(0.1), Part.CONFIGURATION, answer) is None
    assert store.take(s(0.1), Part.MEMBERS, answer) == answer.answer
    assert store.take(s(0.1), Part.MEMBERS, answer) is None


def test_calls_stay_within_the_rate() -> None:
    store = StoreAccess(random.Random(1), rate=2.0, burst=4.0)
    for _ in range(60):
        store.submit(s(0.0), Part.MEMBERS, Get("k"), spread_s=0.0)
    times = [0.125 * n for n in range(73)]  # exact in binary: 9 s
    sent = sum(len(store.due(s(now))) for now in times)
    assert sent == 4 + 18


def test_a_failing_store_gets_only_probes() -> None:
    store = StoreAccess(random.Random(1))
    sent = 0
    for second in range(1800):
        now = float(second)
        calls = asked(store, now)
        sent += len(calls)
        fail(store, now, calls)
    assert store.failing
    assert sent <= 1800 / (LONGEST_PAUSE_S / 2) + 10


def test_processes_return_apart_and_within_the_longest_pause() -> None:
    first: list[float] = []
    for seed in range(200):
        store = StoreAccess(random.Random(seed))
        for tick in range(1200):
            now = tick * 0.5
            calls = asked(store, now)
            if now < 500.0:
                fail(store, now, calls)
            elif calls:
                first.append(now - 500.0)
                break
    assert len(first) == 200
    assert max(first) <= LONGEST_PAUSE_S + 0.5
    worst = max(sum(int(at) == sec for at in first) for sec in range(21))
    assert worst <= 200 / 20 * 3


def test_an_answer_that_never_comes_ends_the_wait() -> None:
    store = StoreAccess(random.Random(1))
    (call,) = asked(store, 0.0)
    store.due(s(CALL_LIMIT_S))
    assert not store.is_pending(call.call)


def test_a_full_queue_drops_its_oldest_call() -> None:
    store = StoreAccess(random.Random(1))
    calls = [
        store.submit(s(0.0), Part.MEMBERS, Get("k"))
        for _ in range(QUEUE_LIMIT + 1)
    ]
    assert not store.is_pending(calls[0])
    assert store.is_pending(calls[1])


def test_a_cancelled_call_never_goes() -> None:
    store = StoreAccess(random.Random(1))
    call = store.submit(s(0.0), Part.MEMBERS, Get("k"))
    store.cancel(call)
    assert store.due(s(1.0)) == []

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


def submit(store: StoreAccess, now: float) -> list[CallStore]:
    store.submit(s(now), Part.MEMBERS, Get("k"), spread_s=0.0)
    return store.due(s(now))


def fail_calls(store: StoreAccess, now: float, calls: list[CallStore]) -> None:
    for call in calls:
        store.take(s(now), Part.MEMBERS, StoreAnswered(call.call, FAILED))


def test_answer_is_returned_once_to_the_submitting_part() -> None:
    store = StoreAccess(random.Random(1))
    (call,) = submit(store, 0.0)
    answer = StoreAnswered(call.call, Found((), 1))
    assert store.take(s(0.1), Part.CONFIGURATION, answer) is None
    assert store.take(s(0.1), Part.MEMBERS, answer) == answer.answer
    assert store.take(s(0.1), Part.MEMBERS, answer) is None


def test_calls_stay_within_the_rate_limit() -> None:
    store = StoreAccess(random.Random(1), rate=2.0, burst=4.0)
    for _ in range(60):
        store.submit(s(0.0), Part.MEMBERS, Get("k"), spread_s=0.0)
    # 9 s in steps of 1/8 s, which floating point represents exactly.
    times = [0.125 * n for n in range(73)]
    sent = sum(len(store.due(s(now))) for now in times)
    assert sent == 4 + 18


def test_failing_store_receives_only_probes() -> None:
    store = StoreAccess(random.Random(1))
    sent = 0
    for second in range(1800):
        now = float(second)
        calls = submit(store, now)
        sent += len(calls)
        fail_calls(store, now, calls)
    assert store.failing
    assert sent <= 1800 / (LONGEST_PAUSE_S / 2) + 10


def test_processes_reconnect_spread_over_the_longest_pause() -> None:
    first_sent_at: list[float] = []
    for seed in range(200):
        store = StoreAccess(random.Random(seed))
        for tick in range(1200):
            now = tick * 0.5
            calls = submit(store, now)
            if now < 500.0:
                fail_calls(store, now, calls)
            elif calls:
                first_sent_at.append(now - 500.0)
                break
    assert len(first_sent_at) == 200
    assert max(first_sent_at) <= LONGEST_PAUSE_S + 0.5
    worst = max(
        sum(int(at) == sec for at in first_sent_at) for sec in range(21)
    )
    assert worst <= 200 / 20 * 3


def test_unanswered_call_expires() -> None:
    store = StoreAccess(random.Random(1))
    (call,) = submit(store, 0.0)
    store.due(s(CALL_LIMIT_S))
    assert not store.is_pending(call.call)


def test_full_queue_drops_the_oldest_call() -> None:
    store = StoreAccess(random.Random(1))
    calls = [
        store.submit(s(0.0), Part.MEMBERS, Get("k"))
        for _ in range(QUEUE_LIMIT + 1)
    ]
    assert not store.is_pending(calls[0])
    assert store.is_pending(calls[1])


def test_cancelled_call_is_not_sent() -> None:
    store = StoreAccess(random.Random(1))
    call = store.submit(s(0.0), Part.MEMBERS, Get("k"))
    store.cancel(call)
    assert store.due(s(1.0)) == []

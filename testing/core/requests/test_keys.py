"""A key runs at most once, whoever believes to be its home."""

from typing import Any

import pytest

from medlar_core.effects import CallStore
from medlar_core.effects import Send
from medlar_core.events import DrainAsked
from medlar_core.events import Received
from medlar_core.events import StoreAnswered
from medlar_core.events import Tick
from medlar_core.ids import AttemptId
from medlar_core.ids import IdempotencyKey
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import Seconds
from medlar_core.requests.agent import AgentRequests
from medlar_core.requests.events import AnswerAttempt
from medlar_core.requests.events import AttemptCancelled
from medlar_core.requests.events import CancelWork
from medlar_core.requests.events import DropAnswer
from medlar_core.requests.events import Go
from medlar_core.requests.events import StartWork
from medlar_core.requests.events import WorkEnded
from medlar_core.requests.founder import FOUNDER_CALL
from medlar_core.requests.homes import home_of
from medlar_core.requests.messages import Claim
from medlar_core.requests.messages import ClaimAsk
from medlar_core.requests.messages import ClaimTold
from medlar_core.store import Found
from medlar_core.store import Item
from medlar_core.store import Written
from medlar_core.verdict import MayHaveRun
from medlar_core.verdict import NotRun
from medlar_core.verdict import Ran
from medlar_core.verdict import Reason

from .kit import agent
from .kit import attempt
from .kit import only
from .kit import server
from .kit import SLOT
from .kit import view

RAN = Ran(200, "digest", 1)
LONG_AGO = 0.0
NOW = 100.0
X, Y = server("x"), server("y")


def key_at(home: str, *nodes: str) -> str:
    """Return a key whose home among some agents is the one given."""
    homes = tuple(Go(NodeId(n), Incarnation(1)) for n in nodes)
    for number in range(1000):
        found = home_of(IdempotencyKey(f"k{number}"), homes)
        if found is not None and found.node == home:
            return f"k{number}"
    raise AssertionError(f"expected a key of {home}, got none")


KEY = key_at("x", "x", "y")


def tick_until(host: AgentRequests, since: float, until: float) -> list[Any]:
    """Let time pass in steps, so that no pause is seen."""
    effects: list[Any] = []
    now = since
    while now < until:
        effects += host.reduce(Seconds(now), Tick())
        now += 0.1
    return effects


def settled(node: str, *servers: Any) -> AgentRequests:
    """Return an agent whose view has long been the same."""
    host = agent(node, LONG_AGO, *servers)
    tick_until(host, LONG_AGO, NOW)
    return host


def give(host: AgentRequests, event: Any, now: float = NOW) -> list[Any]:
    return host.reduce(Seconds(now), event)


def verdict(effects: list[Any]) -> Any:
    return only(effects, AnswerAttempt)[0].verdict


def test_repeat_while_running_shares_the_first_answer() -> None:
    host = settled("x", X, Y)
    assert only(give(host, attempt("1", SLOT, KEY)), StartWork)
    assert give(host, attempt("2", SLOT, KEY)) == []
    answers = only(give(host, WorkEnded(AttemptId("1"), RAN)), AnswerAttempt)
    assert [(a.attempt, a.work) for a in answers] == [("1", "1"), ("2", "1")]


def test_repeat_after_the_end_gets_the_held_answer() -> None:
    host = settled("x", X, Y)
    give(host, attempt("1", SLOT, KEY))
    give(host, WorkEnded(AttemptId("1"), RAN))
    effects = give(host, attempt("2", SLOT, KEY))
    assert only(effects, StartWork) == []
    assert only(effects, AnswerAttempt)[0].work == "1"


def test_cancelled_key_runs_on_for_its_repeat() -> None:
    host = settled("x", X, Y)
    give(host, attempt("1", SLOT, KEY))
    assert only(give(host, AttemptCancelled(AttemptId("1"))), CancelWork) == []
    give(host, WorkEnded(AttemptId("1"), RAN))
    assert verdict(give(host, attempt("2", SLOT, KEY))) == RAN


def test_doubled_attempt_gets_its_first_answer_again() -> None:
    host = settled("x", X, Y)
    stale = attempt("1", SLOT, KEY, incarnation=Incarnation(7))
    first = give(host, stale)
    assert verdict(first) == NotRun(Reason.FENCED)
    assert verdict(give(host, stale, NOW + 0.5)) == NotRun(Reason.FENCED)


def test_agent_that_is_not_home_names_the_home() -> None:
    host = settled("y", X, Y)
    answer = only(give(host, attempt("1", SLOT, KEY)), AnswerAttempt)[0]
    assert answer.verdict == NotRun(Reason.WRONG_HOME)
    assert answer.go == Go(NodeId("x"), Incarnation(1))


def test_new_home_asks_the_earlier_one_before_it_runs() -> None:
    host = settled("x", Y)
    give(host, view(X, Y, version=2))
    effects = give(host, attempt("1", SLOT, KEY))
    assert only(effects, StartWork) == []
    asked = ClaimAsk(IdempotencyKey(KEY), Incarnation(1))
    assert only(effects, Send) == [Send(NodeId("y"), asked)]
    told = ClaimTold(asked.key, Incarnation(1), Claim.CEDED, whole=True)
    assert only(give(host, Received(NodeId("y"), told)), StartWork)


def test_ceded_key_never_starts_at_its_earlier_home() -> None:
    earlier = settled("y", Y)
    ask = ClaimAsk(IdempotencyKey(KEY), Incarnation(1))
    told = only(give(earlier, Received(NodeId("x"), ask)), Send)[0].msg
    assert told.claim is Claim.CEDED
    effects = give(earlier, attempt("1", SLOT, KEY))
    assert only(effects, StartWork) == []
    assert only(effects, AnswerAttempt)[0].go.node == "x"


@pytest.mark.parametrize(
    ("repeat", "wanted"),
    [
        (False, NotRun(Reason.KEY_IN_DOUBT)),
        (True, MayHaveRun(Reason.KEY_IN_DOUBT)),
        (None, MayHaveRun(Reason.KEY_IN_DOUBT)),
    ],
)
def test_key_of_a_dead_home_is_not_run(repeat: Any, wanted: Any) -> None:
    host = settled("x", Y)
    give(host, view(X, Y, version=2))
    effects = give(host, attempt("1", SLOT, KEY, repeat=repeat))
    effects += tick_until(host, NOW, NOW + 0.7)
    assert only(effects, StartWork) == []
    assert verdict(effects) == wanted


def test_restarted_earlier_home_settles_nothing() -> None:
    host = settled("x", Y)
    give(host, view(X, Y, version=2))
    give(host, attempt("1", SLOT, KEY))
    told = ClaimTold(
        IdempotencyKey(KEY), Incarnation(2), Claim.CEDED, whole=True
    )
    assert only(give(host, Received(NodeId("y"), told)), StartWork) == []


def test_two_that_ask_each_other_do_not_both_start() -> None:
    x, y = settled("x", X, Y), settled("y", X, Y)
    give(x, view(X, Y, server("z"), version=2))
    for host in (x, y):
        host.reduce(Seconds(NOW + 5.0), Tick())
    later = NOW + 6.0
    give(x, attempt("1", SLOT, KEY, hops=1), later)
    give(y, attempt("2", SLOT, KEY, hops=1), later)
    ask = ClaimAsk(IdempotencyKey(KEY), Incarnation(1))
    from_x = only(give(x, Received(NodeId("y"), ask), later), Send)
    from_y = only(give(y, Received(NodeId("x"), ask), later), Send)
    claims = {from_x[0].msg.claim, from_y[0].msg.claim}
    assert claims == {Claim.HELD, Claim.CEDED}


def test_paused_agent_asks_before_it_runs_a_key() -> None:
    host = settled("x", X, Y)
    later = NOW + 5.0
    fenced = give(host, attempt("1", SLOT, KEY), later)
    assert verdict(fenced) == NotRun(Reason.FENCED)
    effects = give(host, attempt("2", SLOT, KEY), later + 0.5)
    assert only(effects, StartWork) == []
    assert [s.dst for s in only(effects, Send)] == ["y"]


def test_leaving_agent_cedes_new_keys_and_keeps_old_answers() -> None:
    host = settled("x", X, Y)
    give(host, attempt("1", SLOT, KEY))
    give(host, DrainAsked(60.0))
    other = next(
        f"n{n}"
        for n in range(100)
        if home_of(
            IdempotencyKey(f"n{n}"),
            tuple(Go(NodeId(s), Incarnation(1)) for s in "xy"),
        )
        == Go(NodeId("x"), Incarnation(1))
    )
    answer = only(give(host, attempt("2", SLOT, other)), AnswerAttempt)[0]
    assert answer.verdict == NotRun(Reason.DRAINING)
    assert answer.go == Go(NodeId("y"), Incarnation(1), ceded=True)
    give(host, WorkEnded(AttemptId("1"), RAN))
    assert verdict(give(host, attempt("3", SLOT, KEY))) == RAN
    assert host.open_work == 2


def test_memory_of_keys_ends_with_the_window() -> None:
    host = settled("x", X, Y)
    give(host, attempt("1", SLOT, KEY))
    give(host, WorkEnded(AttemptId("1"), RAN))
    effects = tick_until(host, NOW, NOW + 20.0)
    assert only(effects, DropAnswer) == [DropAnswer(AttemptId("1"))]
    assert host.open_work == 0


def test_first_process_of_a_new_service_runs_at_once() -> None:
    host = agent("x", NOW, X)
    effects = give(host, attempt("1", SLOT, KEY))
    assert [c.call for c in only(effects, CallStore)] == [FOUNDER_CALL]
    none = StoreAnswered(FOUNDER_CALL, Found((), 0))
    put = only(give(host, none), CallStore)[0].op
    assert put.expected == 0
    written = StoreAnswered(FOUNDER_CALL, Written(1))
    assert only(give(host, written), StartWork)


def test_whole_service_restarted_runs_no_key_at_first() -> None:
    host = agent("x", NOW, X)
    effects = give(host, attempt("1", SLOT, KEY))
    item = Item("requests/founder/berth-desk", "gone 1", 1)
    found = StoreAnswered(FOUNDER_CALL, Found((item,), 1))
    effects += give(host, found)
    effects += tick_until(host, NOW, NOW + 0.7)
    assert only(effects, StartWork) == []
    assert verdict(effects) == MayHaveRun(Reason.KEY_IN_DOUBT)


def test_spare_cedes_back_to_the_home_that_ceded_to_it() -> None:
    host = settled("y", X, Y)
    ask = ClaimAsk(IdempotencyKey(KEY), Incarnation(1))
    give(host, Received(NodeId("x"), ask))
    back = attempt("1", SLOT, KEY, ceded_by=NodeId("x"), hops=1)
    assert only(give(host, back), StartWork)


def test_homes_that_others_name_are_asked_too() -> None:
    host = settled("x", Y)
    give(host, view(X, Y, version=2))
    give(host, attempt("1", SLOT, KEY))
    other = Go(NodeId("z"), Incarnation(3))
    key = IdempotencyKey(KEY)
    told = ClaimTold(
        key, Incarnation(1), Claim.CEDED, prior=(other,), whole=True
    )
    effects = give(host, Received(NodeId("y"), told))
    assert only(effects, StartWork) == []
    assert [s.dst for s in only(effects, Send)] == ["z"]
    last = ClaimTold(key, Incarnation(3), Claim.CEDED)
    assert only(give(host, Received(NodeId("z"), last)), StartWork)


def test_earlier_home_matters_for_the_whole_window() -> None:
    host = settled("x", Y)
    give(host, view(X, Y, version=2))
    tick_until(host, NOW, NOW + 20.0)
    asked = give(host, attempt("1", SLOT, KEY), NOW + 20.0)
    assert [s.dst for s in only(asked, Send)] == ["y"]
    tick_until(host, NOW + 20.0, NOW + 30.0)
    later = key_at("x", "x", "y")
    effects = give(host, attempt("2", SLOT, f"{later}"), NOW + 30.0)
    assert only(effects, StartWork)

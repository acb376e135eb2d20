"""A key runs at most once, also if agents disagree about its home."""

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
from .kit import effects_of
from .kit import server
from .kit import SLOT
from .kit import view

RAN = Ran(200, "digest", 1)
SETTLED_SINCE = 0.0
NOW = 100.0
X, Y = server("x"), server("y")


def key_at(home: str, *nodes: str) -> str:
    """Return a key whose home among ``nodes`` is ``home``."""
    homes = tuple(Go(NodeId(n), Incarnation(1)) for n in nodes)
    for number in range(1000):
        found = home_of(IdempotencyKey(f"k{number}"), homes)
        if found is not None and found.node == home:
            return f"k{number}"
    raise AssertionError(f"expected a key of {home}, got none")


KEY = key_at("x", "x", "y")


def tick_until(host: AgentRequests, since: float, until: float) -> list[Any]:
    """Tick in steps short enough that no pause is detected."""
    effects: list[Any] = []
    now = since
    while now < until:
        effects += host.reduce(Seconds(now), Tick())
        now += 0.1
    return effects


def settled_agent(node: str, *servers: Any) -> AgentRequests:
    """Return an agent whose view has been the same for ``NOW`` seconds."""
    host = agent(node, SETTLED_SINCE, *servers)
    tick_until(host, SETTLED_SINCE, NOW)
    return host


def send_event(host: AgentRequests, event: Any, now: float = NOW) -> list[Any]:
    return host.reduce(Seconds(now), event)


def verdict(effects: list[Any]) -> Any:
    return effects_of(effects, AnswerAttempt)[0].verdict


def test_retry_while_running_shares_the_first_answer() -> None:
    host = settled_agent("x", X, Y)
    assert effects_of(send_event(host, attempt("1", SLOT, KEY)), StartWork)
    assert send_event(host, attempt("2", SLOT, KEY)) == []
    answers = effects_of(
        send_event(host, WorkEnded(AttemptId("1"), RAN)), AnswerAttempt
    )
    assert [(a.attempt, a.work) for a in answers] == [("1", "1"), ("2", "1")]


def test_retry_after_the_end_gets_the_held_answer() -> None:
    host = settled_agent("x", X, Y)
    send_event(host, attempt("1", SLOT, KEY))
    send_event(host, WorkEnded(AttemptId("1"), RAN))
    effects = send_event(host, attempt("2", SLOT, KEY))
    assert effects_of(effects, StartWork) == []
    assert effects_of(effects, AnswerAttempt)[0].work == "1"


def test_cancelled_keyed_work_runs_on_for_a_retry() -> None:
    host = settled_agent("x", X, Y)
    send_event(host, attempt("1", SLOT, KEY))
    assert (
        effects_of(
            send_event(host, AttemptCancelled(AttemptId("1"))), CancelWork
        )
        == []
    )
    send_event(host, WorkEnded(AttemptId("1"), RAN))
    assert verdict(send_event(host, attempt("2", SLOT, KEY))) == RAN


def test_duplicate_attempt_gets_its_first_answer_again() -> None:
    host = settled_agent("x", X, Y)
    stale = attempt("1", SLOT, KEY, incarnation=Incarnation(7))
    first = send_event(host, stale)
    assert verdict(first) == NotRun(Reason.FENCED)
    assert verdict(send_event(host, stale, NOW + 0.5)) == NotRun(Reason.FENCED)


def test_agent_that_is_not_home_redirects_to_the_home() -> None:
    host = settled_agent("y", X, Y)
    answer = effects_of(
        send_event(host, attempt("1", SLOT, KEY)), AnswerAttempt
    )[0]
    assert answer.verdict == NotRun(Reason.WRONG_HOME)
    assert answer.go == Go(NodeId("x"), Incarnation(1))


def test_new_home_asks_the_earlier_home_before_it_runs() -> None:
    host = settled_agent("x", Y)
    send_event(host, view(X, Y, version=2))
    effects = send_event(host, attempt("1", SLOT, KEY))
    assert effects_of(effects, StartWork) == []
    asked = ClaimAsk(IdempotencyKey(KEY), Incarnation(1))
    assert effects_of(effects, Send) == [Send(NodeId("y"), asked)]
    told = ClaimTold(asked.key, Incarnation(1), Claim.CEDED, whole=True)
    assert effects_of(send_event(host, Received(NodeId("y"), told)), StartWork)


def test_ceded_key_never_starts_at_its_earlier_home() -> None:
    earlier = settled_agent("y", Y)
    ask = ClaimAsk(IdempotencyKey(KEY), Incarnation(1))
    told = effects_of(send_event(earlier, Received(NodeId("x"), ask)), Send)[
        0
    ].msg
    assert told.claim is Claim.CEDED
    effects = send_event(earlier, attempt("1", SLOT, KEY))
    assert effects_of(effects, StartWork) == []
    assert effects_of(effects, AnswerAttempt)[0].go.node == "x"


@pytest.mark.parametrize(
    ("repeat", "wanted"),
    [
        (False, NotRun(Reason.KEY_IN_DOUBT)),
        (True, MayHaveRun(Reason.KEY_IN_DOUBT)),
        (None, MayHaveRun(Reason.KEY_IN_DOUBT)),
    ],
)
def test_key_of_an_unresponsive_earlier_home_is_not_run(
    repeat: Any, wanted: Any
) -> None:
    host = settled_agent("x", Y)
    send_event(host, view(X, Y, version=2))
    effects = send_event(host, attempt("1", SLOT, KEY, repeat=repeat))
    effects += tick_until(host, NOW, NOW + 0.7)
    assert effects_of(effects, StartWork) == []
    assert verdict(effects) == wanted


def test_answer_of_a_restarted_earlier_home_is_ignored() -> None:
    host = settled_agent("x", Y)
    send_event(host, view(X, Y, version=2))
    send_event(host, attempt("1", SLOT, KEY))
    told = ClaimTold(
        IdempotencyKey(KEY), Incarnation(2), Claim.CEDED, whole=True
    )
    assert (
        effects_of(send_event(host, Received(NodeId("y"), told)), StartWork)
        == []
    )


def test_two_agents_that_ask_each_other_do_not_both_start() -> None:
    x, y = settled_agent("x", X, Y), settled_agent("y", X, Y)
    send_event(x, view(X, Y, server("z"), version=2))
    for host in (x, y):
        host.reduce(Seconds(NOW + 5.0), Tick())
    later = NOW + 6.0
    send_event(x, attempt("1", SLOT, KEY, hops=1), later)
    send_event(y, attempt("2", SLOT, KEY, hops=1), later)
    ask = ClaimAsk(IdempotencyKey(KEY), Incarnation(1))
    from_x = effects_of(send_event(x, Received(NodeId("y"), ask), later), Send)
    from_y = effects_of(send_event(y, Received(NodeId("x"), ask), later), Send)
    claims = {from_x[0].msg.claim, from_y[0].msg.claim}
    assert claims == {Claim.HELD, Claim.CEDED}


def test_paused_agent_asks_before_it_runs_a_key() -> None:
    host = settled_agent("x", X, Y)
    later = NOW + 5.0
    fenced = send_event(host, attempt("1", SLOT, KEY), later)
    assert verdict(fenced) == NotRun(Reason.FENCED)
    effects = send_event(host, attempt("2", SLOT, KEY), later + 0.5)
    assert effects_of(effects, StartWork) == []
    assert [s.dst for s in effects_of(effects, Send)] == ["y"]


def test_draining_agent_cedes_new_keys_and_keeps_answers() -> None:
    host = settled_agent("x", X, Y)
    send_event(host, attempt("1", SLOT, KEY))
    send_event(host, DrainAsked(60.0))
    other = next(
        f"n{n}"
        for n in range(100)
        if home_of(
            IdempotencyKey(f"n{n}"),
            tuple(Go(NodeId(s), Incarnation(1)) for s in "xy"),
        )
        == Go(NodeId("x"), Incarnation(1))
    )
    answer = effects_of(
        send_event(host, attempt("2", SLOT, other)), AnswerAttempt
    )[0]
    assert answer.verdict == NotRun(Reason.DRAINING)
    assert answer.go == Go(NodeId("y"), Incarnation(1), ceded=True)
    send_event(host, WorkEnded(AttemptId("1"), RAN))
    assert verdict(send_event(host, attempt("3", SLOT, KEY))) == RAN
    assert host.open_work == 2


def test_keys_expire_with_the_retry_window() -> None:
    host = settled_agent("x", X, Y)
    send_event(host, attempt("1", SLOT, KEY))
    send_event(host, WorkEnded(AttemptId("1"), RAN))
    effects = tick_until(host, NOW, NOW + 20.0)
    assert effects_of(effects, DropAnswer) == [DropAnswer(AttemptId("1"))]
    assert host.open_work == 0


def test_founder_of_a_new_service_runs_keys_at_once() -> None:
    host = agent("x", NOW, X)
    effects = send_event(host, attempt("1", SLOT, KEY))
    assert [c.call for c in effects_of(effects, CallStore)] == [FOUNDER_CALL]
    none = StoreAnswered(FOUNDER_CALL, Found((), 0))
    put = effects_of(send_event(host, none), CallStore)[0].op
    assert put.expected == 0
    written = StoreAnswered(FOUNDER_CALL, Written(1))
    assert effects_of(send_event(host, written), StartWork)


def test_restarted_service_runs_no_key_at_first() -> None:
    host = agent("x", NOW, X)
    effects = send_event(host, attempt("1", SLOT, KEY))
    item = Item("requests/founder/berth-desk", "gone 1", 1)
    found = StoreAnswered(FOUNDER_CALL, Found((item,), 1))
    effects += send_event(host, found)
    effects += tick_until(host, NOW, NOW + 0.7)
    assert effects_of(effects, StartWork) == []
    assert verdict(effects) == MayHaveRun(Reason.KEY_IN_DOUBT)


def test_key_ceded_back_by_its_holder_starts_here() -> None:
    host = settled_agent("y", X, Y)
    ask = ClaimAsk(IdempotencyKey(KEY), Incarnation(1))
    send_event(host, Received(NodeId("x"), ask))
    back = attempt("1", SLOT, KEY, ceded_by=NodeId("x"), hops=1)
    assert effects_of(send_event(host, back), StartWork)


def test_prior_homes_named_in_an_answer_are_asked() -> None:
    host = settled_agent("x", Y)
    send_event(host, view(X, Y, version=2))
    send_event(host, attempt("1", SLOT, KEY))
    other = Go(NodeId("z"), Incarnation(3))
    key = IdempotencyKey(KEY)
    told = ClaimTold(
        key, Incarnation(1), Claim.CEDED, prior=(other,), whole=True
    )
    effects = send_event(host, Received(NodeId("y"), told))
    assert effects_of(effects, StartWork) == []
    assert [s.dst for s in effects_of(effects, Send)] == ["z"]
    last = ClaimTold(key, Incarnation(3), Claim.CEDED)
    assert effects_of(send_event(host, Received(NodeId("z"), last)), StartWork)


def test_earlier_home_is_asked_within_the_whole_window() -> None:
    host = settled_agent("x", Y)
    send_event(host, view(X, Y, version=2))
    tick_until(host, NOW, NOW + 20.0)
    asked = send_event(host, attempt("1", SLOT, KEY), NOW + 20.0)
    assert [s.dst for s in effects_of(asked, Send)] == ["y"]
    tick_until(host, NOW + 20.0, NOW + 30.0)
    later = key_at("x", "x", "y")
    effects = send_event(host, attempt("2", SLOT, f"{later}"), NOW + 30.0)
    assert effects_of(effects, StartWork)

"""Verdicts, retries and bounds at a balancer."""

from typing import Any

import pytest

from medlar_core.events import StopAsked
from medlar_core.events import Tick
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import RequestId
from medlar_core.ids import Seconds
from medlar_core.requests.balancer import BalancerRequests
from medlar_core.requests.events import AnswerCaller
from medlar_core.requests.events import AttemptEnded
from medlar_core.requests.events import CancelAttempt
from medlar_core.requests.events import Go
from medlar_core.requests.events import RequestCancelled
from medlar_core.requests.events import ServerLoad
from medlar_core.requests.events import StartAttempt
from medlar_core.verdict import MayHaveRun
from medlar_core.verdict import NotRun
from medlar_core.verdict import Ran
from medlar_core.verdict import Reason

from .kit import balancer
from .kit import only
from .kit import QUERY
from .kit import request
from .kit import server
from .kit import SLOT

RAN = Ran(200, "digest", 1)
IDLE = ServerLoad(0, 0, 2)
SERVERS = (server("x"), server("y"), server("z"))
LOST = MayHaveRun(Reason.CONNECTION_LOST)
UNREACHABLE = NotRun(Reason.UNREACHABLE)


def fresh() -> BalancerRequests:
    return balancer(0.0, *SERVERS)


def give(host: BalancerRequests, event: Any, now: float = 0.0) -> list[Any]:
    return host.reduce(Seconds(now), event)


def start(effects: list[Any]) -> StartAttempt:
    found = only(effects, StartAttempt)
    assert len(found) == 1
    return found[0]


def answers(effects: list[Any]) -> list[Any]:
    return [answer.verdict for answer in only(effects, AnswerCaller)]


def test_late_answer_of_an_older_attempt_reaches_nobody() -> None:
    host = fresh()
    first = start(give(host, request("r", QUERY)))
    second = start(give(host, AttemptEnded(first.attempt, UNREACHABLE)))
    assert second.dst != first.dst
    assert give(host, AttemptEnded(first.attempt, RAN, IDLE)) == []
    done = give(host, AttemptEnded(second.attempt, RAN, IDLE))
    assert only(done, AnswerCaller)[0].attempt == second.attempt


def test_work_without_a_key_is_never_tried_again_once_sent() -> None:
    host = fresh()
    first = start(give(host, request("r", SLOT)))
    assert answers(give(host, AttemptEnded(first.attempt, LOST))) == [LOST]


def test_lost_answer_of_a_key_is_asked_of_its_home_again() -> None:
    host = fresh()
    for number in range(12):
        give(host, request(f"other{number}", SLOT, "other"))
    first = start(give(host, request("r", SLOT, "k", repeat=False)))
    again = start(give(host, AttemptEnded(first.attempt, LOST)))
    assert (again.dst, again.repeat) == (first.dst, True)


def test_refusal_after_a_lost_answer_is_not_called_not_run() -> None:
    host = fresh()
    for number in range(12):
        give(host, request(f"other{number}", QUERY))
    first = start(give(host, request("r", QUERY)))
    again = start(give(host, AttemptEnded(first.attempt, LOST)))
    full = NotRun(Reason.TOO_LARGE)
    end = AttemptEnded(again.attempt, full, IDLE)
    assert answers(give(host, end)) == [MayHaveRun(Reason.TOO_LARGE)]


@pytest.mark.parametrize(
    ("repeat", "wanted"),
    [
        (False, UNREACHABLE),
        (None, MayHaveRun(Reason.UNREACHABLE)),
        (True, MayHaveRun(Reason.UNREACHABLE)),
    ],
)
def test_repeat_is_not_run_only_by_the_word_of_its_home(
    repeat: Any, wanted: Any
) -> None:
    host = fresh()
    first = start(give(host, request("r", SLOT, "k", repeat=repeat)))
    assert answers(give(host, AttemptEnded(first.attempt, UNREACHABLE))) == [
        wanted
    ]


def test_home_that_refuses_a_repeat_proves_it_not_run() -> None:
    host = fresh()
    first = start(give(host, request("r", SLOT, "k", repeat=True)))
    full = NotRun(Reason.QUEUE_FULL)
    end = AttemptEnded(first.attempt, full, IDLE)
    assert answers(give(host, end)) == [full]


def test_ceded_key_goes_to_its_new_holder_with_proof() -> None:
    host = fresh()
    first = start(give(host, request("r", SLOT, "k")))
    go = Go(NodeId("other"), Incarnation(4), ceded=True)
    end = AttemptEnded(first.attempt, NotRun(Reason.WRONG_HOME), IDLE, go)
    second = start(give(host, end))
    assert (second.dst, second.incarnation) == ("other", 4)
    assert (second.ceded_by, second.hops) == (first.dst, 1)


def test_retries_stay_within_their_budget() -> None:
    host = fresh()
    attempts = 0
    shed = NotRun(Reason.SHED)
    for number in range(200):
        effects = give(host, request(f"r{number}", QUERY), number * 0.1)
        while found := only(effects, StartAttempt):
            attempts += 1
            end = AttemptEnded(found[0].attempt, shed, IDLE)
            effects = give(host, end, number * 0.1)
    assert attempts <= 1.1 * 200 + 1


def test_silent_home_is_refused_without_an_attempt() -> None:
    host = fresh()
    give(host, request("r1", SLOT, "k"))
    give(host, Tick(), 0.8)
    give(host, Tick(), 1.1)
    give(host, request("r2", SLOT, "k"), 1.2)
    give(host, Tick(), 2.1)
    give(host, request("r3", SLOT, "k"), 2.3)
    effects = give(host, request("r4", SLOT, "k", repeat=False), 2.4)
    assert answers(effects) == [UNREACHABLE]


def test_slow_idempotent_work_is_hedged_and_the_loser_cancelled() -> None:
    host = fresh()
    for number in range(12):
        done = start(give(host, request(f"other{number}", QUERY)))
        give(host, AttemptEnded(done.attempt, RAN, IDLE))
    first = start(give(host, request("r", QUERY)))
    second = start(give(host, Tick(), 0.2))
    effects = give(host, AttemptEnded(second.attempt, RAN, IDLE), 0.25)
    assert answers(effects) == [RAN]
    assert only(effects, CancelAttempt) == [
        CancelAttempt(first.attempt, first.dst)
    ]


def test_cancelled_request_ends_its_attempt_without_an_answer() -> None:
    host = fresh()
    first = start(give(host, request("r", QUERY)))
    effects = give(host, RequestCancelled(RequestId("r")))
    assert effects == [CancelAttempt(first.attempt, first.dst)]
    assert host.open_work == 0


def test_no_word_by_the_deadline_may_have_run() -> None:
    host = fresh()
    give(host, request("r", SLOT, "k"))
    effects = give(host, Tick(), 1.0)
    assert answers(effects) == [MayHaveRun(Reason.DEADLINE)]


def test_bodies_of_one_service_are_bounded() -> None:
    host = fresh()
    size = 4 * 1024 * 1024
    effects: list[Any] = []
    for number in range(9):
        effects += give(host, request(f"r{number}", QUERY, body_bytes=size))
    assert answers(effects) == [NotRun(Reason.OVER_SHARE)]


def test_door_learns_from_refusals_and_opens_again() -> None:
    host = fresh()
    full = NotRun(Reason.OVER_SHARE)
    refused = 0
    for number in range(600):
        now = number * 0.01
        effects = give(host, request(f"r{number}", QUERY), now)
        for found in only(effects, StartAttempt):
            give(host, AttemptEnded(found.attempt, full, IDLE), now)
        refused += not only(effects, StartAttempt)
        if number % 10 == 9:
            give(host, Tick(), now)
    assert refused > 300
    for step in range(60):
        give(host, Tick(), 6.0 + step * 0.1)
    assert host.explain().doors[1].open_share == 1.0


def test_paused_balancer_refuses_keys_that_may_be_old() -> None:
    host = fresh()
    give(host, Tick())
    effects = give(host, request("r", SLOT, "k", repeat=False), 30.0)
    assert answers(effects) == [NotRun(Reason.FENCED)]


def test_stopping_balancer_finishes_what_it_has() -> None:
    host = fresh()
    first = start(give(host, request("r1", QUERY)))
    give(host, StopAsked())
    assert answers(give(host, request("r2", QUERY))) == [
        NotRun(Reason.DRAINING)
    ]
    assert host.open_work == 1
    give(host, AttemptEnded(first.attempt, RAN, IDLE))
    assert host.open_work == 0

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
from .kit import effects_of
from .kit import QUERY
from .kit import request
from .kit import server
from .kit import SLOT

RAN = Ran(200, "digest", 1)
IDLE = ServerLoad(0, 0, 2)
SERVERS = (server("x"), server("y"), server("z"))
LOST = MayHaveRun(Reason.CONNECTION_LOST)
UNREACHABLE = NotRun(Reason.UNREACHABLE)


def new_balancer() -> BalancerRequests:
    return balancer(0.0, *SERVERS)


def send_event(
    host: BalancerRequests, event: Any, now: float = 0.0
) -> list[Any]:
    return host.reduce(Seconds(now), event)


def started_attempt(effects: list[Any]) -> StartAttempt:
    found = effects_of(effects, StartAttempt)
    assert len(found) == 1
    return found[0]


def caller_verdicts(effects: list[Any]) -> list[Any]:
    return [answer.verdict for answer in effects_of(effects, AnswerCaller)]


def test_late_answer_of_an_ended_attempt_is_ignored() -> None:
    host = new_balancer()
    first = started_attempt(send_event(host, request("r", QUERY)))
    second = started_attempt(
        send_event(host, AttemptEnded(first.attempt, UNREACHABLE))
    )
    assert second.dst != first.dst
    assert send_event(host, AttemptEnded(first.attempt, RAN, IDLE)) == []
    done = send_event(host, AttemptEnded(second.attempt, RAN, IDLE))
    assert effects_of(done, AnswerCaller)[0].attempt == second.attempt


def test_work_without_a_key_is_not_retried_once_sent() -> None:
    host = new_balancer()
    first = started_attempt(send_event(host, request("r", SLOT)))
    assert caller_verdicts(
        send_event(host, AttemptEnded(first.attempt, LOST))
    ) == [LOST]


def test_key_with_a_lost_answer_is_retried_at_its_home() -> None:
    host = new_balancer()
    for number in range(12):
        send_event(host, request(f"other{number}", SLOT, "other"))
    first = started_attempt(
        send_event(host, request("r", SLOT, "k", repeat=False))
    )
    again = started_attempt(
        send_event(host, AttemptEnded(first.attempt, LOST))
    )
    assert (again.dst, again.repeat) == (first.dst, True)


def test_refusal_after_a_lost_answer_may_have_run() -> None:
    host = new_balancer()
    for number in range(12):
        send_event(host, request(f"other{number}", QUERY))
    first = started_attempt(send_event(host, request("r", QUERY)))
    again = started_attempt(
        send_event(host, AttemptEnded(first.attempt, LOST))
    )
    full = NotRun(Reason.TOO_LARGE)
    end = AttemptEnded(again.attempt, full, IDLE)
    assert caller_verdicts(send_event(host, end)) == [
        MayHaveRun(Reason.TOO_LARGE)
    ]


@pytest.mark.parametrize(
    ("repeat", "wanted"),
    [
        (False, UNREACHABLE),
        (None, MayHaveRun(Reason.UNREACHABLE)),
        (True, MayHaveRun(Reason.UNREACHABLE)),
    ],
)
def test_unreachable_home_proves_not_run_only_for_a_first_try(
    repeat: Any, wanted: Any
) -> None:
    host = new_balancer()
    first = started_attempt(
        send_event(host, request("r", SLOT, "k", repeat=repeat))
    )
    assert caller_verdicts(
        send_event(host, AttemptEnded(first.attempt, UNREACHABLE))
    ) == [wanted]


def test_refusal_of_a_retry_by_its_home_proves_not_run() -> None:
    host = new_balancer()
    first = started_attempt(
        send_event(host, request("r", SLOT, "k", repeat=True))
    )
    full = NotRun(Reason.QUEUE_FULL)
    end = AttemptEnded(first.attempt, full, IDLE)
    assert caller_verdicts(send_event(host, end)) == [full]


def test_ceded_key_is_sent_to_its_holder_with_ceded_by() -> None:
    host = new_balancer()
    first = started_attempt(send_event(host, request("r", SLOT, "k")))
    go = Go(NodeId("other"), Incarnation(4), ceded=True)
    end = AttemptEnded(first.attempt, NotRun(Reason.WRONG_HOME), IDLE, go)
    second = started_attempt(send_event(host, end))
    assert (second.dst, second.incarnation) == ("other", 4)
    assert (second.ceded_by, second.hops) == (first.dst, 1)


def test_retries_stay_within_their_budget() -> None:
    host = new_balancer()
    attempts = 0
    shed = NotRun(Reason.SHED)
    for number in range(200):
        effects = send_event(host, request(f"r{number}", QUERY), number * 0.1)
        while found := effects_of(effects, StartAttempt):
            attempts += 1
            end = AttemptEnded(found[0].attempt, shed, IDLE)
            effects = send_event(host, end, number * 0.1)
    assert attempts <= 1.1 * 200 + 1


def test_request_for_an_unresponsive_home_is_refused() -> None:
    host = new_balancer()
    send_event(host, request("r1", SLOT, "k"))
    send_event(host, Tick(), 0.8)
    send_event(host, Tick(), 1.1)
    send_event(host, request("r2", SLOT, "k"), 1.2)
    send_event(host, Tick(), 2.1)
    send_event(host, request("r3", SLOT, "k"), 2.3)
    effects = send_event(host, request("r4", SLOT, "k", repeat=False), 2.4)
    assert caller_verdicts(effects) == [UNREACHABLE]


def test_slow_idempotent_work_is_hedged_and_slower_cancelled() -> None:
    host = new_balancer()
    for number in range(12):
        done = started_attempt(
            send_event(host, request(f"other{number}", QUERY))
        )
        send_event(host, AttemptEnded(done.attempt, RAN, IDLE))
    first = started_attempt(send_event(host, request("r", QUERY)))
    second = started_attempt(send_event(host, Tick(), 0.2))
    effects = send_event(host, AttemptEnded(second.attempt, RAN, IDLE), 0.25)
    assert caller_verdicts(effects) == [RAN]
    assert effects_of(effects, CancelAttempt) == [
        CancelAttempt(first.attempt, first.dst)
    ]


def test_cancelled_request_ends_its_attempt_without_an_answer() -> None:
    host = new_balancer()
    first = started_attempt(send_event(host, request("r", QUERY)))
    effects = send_event(host, RequestCancelled(RequestId("r")))
    assert effects == [CancelAttempt(first.attempt, first.dst)]
    assert host.open_work == 0


def test_request_without_an_answer_by_deadline_may_have_run() -> None:
    host = new_balancer()
    send_event(host, request("r", SLOT, "k"))
    effects = send_event(host, Tick(), 1.0)
    assert caller_verdicts(effects) == [MayHaveRun(Reason.DEADLINE)]


def test_bodies_of_one_service_are_bounded() -> None:
    host = new_balancer()
    size = 4 * 1024 * 1024
    effects: list[Any] = []
    for number in range(9):
        effects += send_event(
            host, request(f"r{number}", QUERY, body_bytes=size)
        )
    assert caller_verdicts(effects) == [NotRun(Reason.OVER_SHARE)]


def test_throttle_learns_from_refusals_and_recovers() -> None:
    host = new_balancer()
    full = NotRun(Reason.OVER_SHARE)
    refused = 0
    for number in range(600):
        now = number * 0.01
        effects = send_event(host, request(f"r{number}", QUERY), now)
        for found in effects_of(effects, StartAttempt):
            send_event(host, AttemptEnded(found.attempt, full, IDLE), now)
        refused += not effects_of(effects, StartAttempt)
        if number % 10 == 9:
            send_event(host, Tick(), now)
    assert refused > 300
    for step in range(60):
        send_event(host, Tick(), 6.0 + step * 0.1)
    assert host.explain().doors[1].open_share == 1.0


def test_balancer_refuses_keyed_requests_after_a_pause() -> None:
    host = new_balancer()
    send_event(host, Tick())
    effects = send_event(host, request("r", SLOT, "k", repeat=False), 30.0)
    assert caller_verdicts(effects) == [NotRun(Reason.FENCED)]


def test_stopping_balancer_finishes_open_requests() -> None:
    host = new_balancer()
    first = started_attempt(send_event(host, request("r1", QUERY)))
    send_event(host, StopAsked())
    assert caller_verdicts(send_event(host, request("r2", QUERY))) == [
        NotRun(Reason.DRAINING)
    ]
    assert host.open_work == 1
    send_event(host, AttemptEnded(first.attempt, RAN, IDLE))
    assert host.open_work == 0

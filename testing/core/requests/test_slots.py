"""Floors and ranks at an agent, short queues, cancellation, shedding."""

from typing import Any

from medlar_core.effects import Publish
from medlar_core.events import LoadMeasured
from medlar_core.events import StopAsked
from medlar_core.events import Tick
from medlar_core.ids import AttemptId
from medlar_core.ids import Seconds
from medlar_core.requests.agent import AgentRequests
from medlar_core.requests.events import AnswerAttempt
from medlar_core.requests.events import AttemptCancelled
from medlar_core.requests.events import CancelWork
from medlar_core.requests.events import StartWork
from medlar_core.requests.events import WorkEnded
from medlar_core.verdict import MayHaveRun
from medlar_core.verdict import NotRun
from medlar_core.verdict import Ran
from medlar_core.verdict import Reason

from .kit import agent
from .kit import attempt
from .kit import only
from .kit import QUERY
from .kit import REPORT
from .kit import server

RAN = Ran(200, "digest", 1)


def fresh() -> AgentRequests:
    return agent("x", 0.0, server("x"))


def give(host: AgentRequests, event: Any, now: float = 0.0) -> list[Any]:
    return host.reduce(Seconds(now), event)


def verdicts(effects: list[Any]) -> list[Any]:
    return [answer.verdict for answer in only(effects, AnswerAttempt)]


def test_kind_below_its_floor_goes_before_a_more_urgent_one() -> None:
    host = fresh()
    for number in range(4):
        give(host, attempt(f"q{number}", QUERY))
    give(host, attempt("r", REPORT))
    # Queries hold both slots, far over their floor; reports none.
    effects = give(host, WorkEnded(AttemptId("q0"), RAN), 0.3)
    assert [w.work for w in only(effects, StartWork)] == ["r"]


def test_long_work_beyond_its_floor_leaves_a_slot_open() -> None:
    host = fresh()
    assert only(give(host, attempt("r1", REPORT)), StartWork)
    later = 0.5
    assert only(give(host, attempt("r2", REPORT), later), StartWork) == []
    assert only(give(host, attempt("q", QUERY), later), StartWork)


def test_work_that_cannot_finish_in_time_is_refused_at_once() -> None:
    host = fresh()
    late = attempt("q", QUERY, deadline_s=0.01)
    assert verdicts(give(host, late)) == [NotRun(Reason.DEADLINE)]


def test_queue_stays_short_under_a_flood() -> None:
    host = fresh()
    refused: list[Any] = []
    for number in range(100):
        refused += verdicts(give(host, attempt(f"q{number}", QUERY)))
    assert len(refused) > 80
    assert set(refused) <= {
        NotRun(Reason.QUEUE_FULL),
        NotRun(Reason.OVER_SHARE),
    }


def test_queued_work_past_its_time_is_refused_as_not_run() -> None:
    host = fresh()
    for number in range(4):
        give(host, attempt(f"q{number}", QUERY))
    assert verdicts(give(host, Tick(), 0.39)) == [NotRun(Reason.DEADLINE)] * 2


def test_cancelled_idempotent_work_frees_its_slot() -> None:
    host = fresh()
    for number in range(3):
        give(host, attempt(f"q{number}", QUERY))
    effects = give(host, AttemptCancelled(AttemptId("q0")))
    assert only(effects, CancelWork) == [CancelWork(AttemptId("q0"))]
    assert [w.work for w in only(effects, StartWork)] == ["q2"]


def test_idempotent_work_past_its_deadline_may_have_run() -> None:
    host = fresh()
    give(host, attempt("q", QUERY))
    effects = give(host, Tick(), 0.5)
    assert verdicts(effects) == [MayHaveRun(Reason.DEADLINE)]
    assert only(effects, CancelWork)


def test_work_that_the_server_sheds_is_tried_again_here() -> None:
    host = fresh()
    give(host, attempt("q", QUERY))
    effects = give(host, WorkEnded(AttemptId("q"), NotRun(Reason.SHED)))
    assert effects == []
    assert only(give(host, Tick(), 0.1), StartWork)


def test_stopping_agent_finishes_what_waits_and_refuses_the_rest() -> None:
    host = fresh()
    for number in range(3):
        give(host, attempt(f"q{number}", QUERY))
    give(host, StopAsked())
    refused = verdicts(give(host, attempt("late", QUERY)))
    assert refused == [NotRun(Reason.DRAINING)]
    effects = give(host, WorkEnded(AttemptId("q0"), RAN))
    assert [w.work for w in only(effects, StartWork)] == ["q2"]
    assert host.open_work == 2


def test_busy_slots_are_told_to_the_other_parts() -> None:
    host = fresh()
    give(host, attempt("q", QUERY))
    told = only(give(host, Tick(), 0.05), Publish)
    assert told == [Publish(LoadMeasured(busy=1))]


def test_explanation_shows_use_against_floor() -> None:
    host = fresh()
    give(host, attempt("q", QUERY))
    found = {k.kind: k for k in host.explain(Seconds(1.0)).kinds}
    assert found[QUERY.name].used > found[QUERY.name].floor
    assert found[REPORT.name].used == 0.0

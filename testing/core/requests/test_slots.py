"""Floors, ranks, queues, cancellation and shedding at an agent."""

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
from .kit import effects_of
from .kit import QUERY
from .kit import REPORT
from .kit import server

RAN = Ran(200, "digest", 1)


def new_agent() -> AgentRequests:
    return agent("x", 0.0, server("x"))


def send_event(host: AgentRequests, event: Any, now: float = 0.0) -> list[Any]:
    return host.reduce(Seconds(now), event)


def verdicts(effects: list[Any]) -> list[Any]:
    return [answer.verdict for answer in effects_of(effects, AnswerAttempt)]


def test_kind_below_its_floor_precedes_a_more_urgent_kind() -> None:
    host = new_agent()
    for number in range(4):
        send_event(host, attempt(f"q{number}", QUERY))
    send_event(host, attempt("r", REPORT))
    # Queries use both slots, far above their floor; reports use none.
    effects = send_event(host, WorkEnded(AttemptId("q0"), RAN), 0.3)
    assert [w.work for w in effects_of(effects, StartWork)] == ["r"]


def test_long_work_beyond_its_floor_leaves_a_slot_open() -> None:
    host = new_agent()
    assert effects_of(send_event(host, attempt("r1", REPORT)), StartWork)
    later = 0.5
    assert (
        effects_of(send_event(host, attempt("r2", REPORT), later), StartWork)
        == []
    )
    assert effects_of(send_event(host, attempt("q", QUERY), later), StartWork)


def test_work_that_cannot_finish_in_time_is_refused() -> None:
    host = new_agent()
    late = attempt("q", QUERY, deadline_s=0.01)
    assert verdicts(send_event(host, late)) == [NotRun(Reason.DEADLINE)]


def test_queue_stays_short_under_overload() -> None:
    host = new_agent()
    refused: list[Any] = []
    for number in range(100):
        refused += verdicts(send_event(host, attempt(f"q{number}", QUERY)))
    assert len(refused) > 80
    assert set(refused) <= {
        NotRun(Reason.QUEUE_FULL),
        NotRun(Reason.OVER_SHARE),
    }


def test_queued_work_without_time_to_run_is_refused() -> None:
    host = new_agent()
    for number in range(4):
        send_event(host, attempt(f"q{number}", QUERY))
    assert (
        verdicts(send_event(host, Tick(), 0.39))
        == [NotRun(Reason.DEADLINE)] * 2
    )


def test_cancelled_idempotent_work_frees_its_slot() -> None:
    host = new_agent()
    for number in range(3):
        send_event(host, attempt(f"q{number}", QUERY))
    effects = send_event(host, AttemptCancelled(AttemptId("q0")))
    assert effects_of(effects, CancelWork) == [CancelWork(AttemptId("q0"))]
    assert [w.work for w in effects_of(effects, StartWork)] == ["q2"]


def test_idempotent_work_past_its_deadline_may_have_run() -> None:
    host = new_agent()
    send_event(host, attempt("q", QUERY))
    effects = send_event(host, Tick(), 0.5)
    assert verdicts(effects) == [MayHaveRun(Reason.DEADLINE)]
    assert effects_of(effects, CancelWork)


def test_work_shed_by_the_server_is_started_again() -> None:
    host = new_agent()
    send_event(host, attempt("q", QUERY))
    effects = send_event(host, WorkEnded(AttemptId("q"), NotRun(Reason.SHED)))
    assert effects == []
    assert effects_of(send_event(host, Tick(), 0.1), StartWork)


def test_stopping_agent_finishes_queue_and_refuses_new_work() -> None:
    host = new_agent()
    for number in range(3):
        send_event(host, attempt(f"q{number}", QUERY))
    send_event(host, StopAsked())
    refused = verdicts(send_event(host, attempt("late", QUERY)))
    assert refused == [NotRun(Reason.DRAINING)]
    effects = send_event(host, WorkEnded(AttemptId("q0"), RAN))
    assert [w.work for w in effects_of(effects, StartWork)] == ["q2"]
    assert host.open_work == 2


def test_busy_slots_are_published() -> None:
    host = new_agent()
    send_event(host, attempt("q", QUERY))
    published = effects_of(send_event(host, Tick(), 0.05), Publish)
    assert published == [Publish(LoadMeasured(busy=1))]


def test_explain_shows_use_and_floor() -> None:
    host = new_agent()
    send_event(host, attempt("q", QUERY))
    found = {k.kind: k for k in host.explain(Seconds(1.0)).kinds}
    assert found[QUERY.name].used > found[QUERY.name].floor
    assert found[REPORT.name].used == 0.0

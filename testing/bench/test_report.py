import pytest

from medlar_bench.known import KnownRed
from medlar_bench.report import judge
from medlar_bench.report import Report
from medlar_bench.report import Result
from medlar_bench.report import summary
from medlar_bench.rows import Row
from medlar_bench.rows import Sense
from medlar_bench.rows import Size
from medlar_bench.run import Outcome

NAME = "flows.extra_hops"


def judged(
    value: float,
    *,
    bound: float = 0.02,
    size: Size = Size.FULL,
    listed: bool = False,
) -> Report:
    row = Row(NAME, value, "share", bound, Sense.MAX, seed=1)
    known = [KnownRed(NAME, "make bench", "0.5", "1")] if listed else []
    return judge([Outcome((NAME,), (row,))], known, NAME, size)


@pytest.mark.parametrize(
    ("value", "listed", "result"),
    [
        (0.02, False, Result.HOLDS),
        (0.03, False, Result.RED),
        (0.03, True, Result.KNOWN_RED),
        (0.01, True, Result.BACK),
    ],
)
def test_row_is_judged_by_its_target(
    value: float, listed: bool, result: Result
) -> None:
    assert judged(value, listed=listed).lines[0].result is result


def test_moved_bound_is_refused() -> None:
    report = judged(0.5, bound=1.0)
    assert report.lines[0].result is Result.MOVED
    assert report.failed


def test_known_red_fails_a_full_run_and_not_a_fast_one() -> None:
    assert judged(0.5, listed=True).failed
    assert not judged(0.5, listed=True, size=Size.FAST).failed
    assert judged(0.5, size=Size.FAST).failed


def test_missing_row_fails_a_full_run() -> None:
    report = judge([], [], NAME, Size.FULL)
    assert report.lines[0].result is Result.MISSING
    assert report.failed


def test_error_of_a_measurement_fails_every_run() -> None:
    ended = Outcome((NAME,), error="boom")
    report = judge([ended], [], NAME, Size.FAST)
    assert report.failed
    assert summary(report).startswith("bench: 0 passed, 1 failed")

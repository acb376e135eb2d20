import pytest

from medlar_bench.capacity_figure import Figure
from medlar_bench.capacity_figure import table
from medlar_bench.capacity_measure import deep_bytes
from medlar_bench.capacity_model import fit
from medlar_bench.capacity_model import Shape

SIZES = (7.0, 14.0, 21.0, 28.0)


def test_line_is_found_and_carried_on() -> None:
    slope = fit(SIZES, [3.0 + 2.0 * n for n in SIZES], Shape.LINE)
    assert slope.at(720.0) == pytest.approx(1443.0)
    assert slope.error == pytest.approx(0.0, abs=1e-9)


def test_falling_line_stays_at_the_largest_size_measured() -> None:
    slope = fit(SIZES, [40.0, 30.0, 20.0, 10.0], Shape.LINE)
    assert slope.at(720.0) == 10.0


def test_distance_from_the_line_is_told() -> None:
    slope = fit(SIZES, [10.0, 20.0, 20.0, 40.0], Shape.LINE)
    assert slope.error > 0.2


def test_three_sizes_are_too_few() -> None:
    with pytest.raises(ValueError, match="at least 4"):
        fit(SIZES[:3], [1.0, 2.0, 3.0], Shape.LOG)


def test_exceeded_budget_is_said_plainly() -> None:
    within = Figure("a", "", "", 1.0, "MB", 4.0, "m")
    beyond = Figure("b", "", "", 5.0, "MB", 4.0, "m")
    lines = table([within, beyond]).splitlines()
    assert "75%" in lines[2]
    assert "EXCEEDED" in lines[3]


def test_shared_objects_are_weighed_once() -> None:
    text = "x" * 10_000
    assert deep_bytes([text, text]) < 1.1 * deep_bytes([text])

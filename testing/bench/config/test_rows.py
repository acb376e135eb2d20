import pytest

from medlar_bench.config import MEASUREMENTS
from medlar_bench.rows import Measurement
from medlar_bench.rows import Row
from medlar_bench.rows import Size


def run_fast(measure: Measurement, seed: int) -> list[Row]:
    return measure.run(Size.FAST, seed)


@pytest.mark.parametrize("measure", MEASUREMENTS, ids=lambda m: m.names[0])
def test_rows_have_declared_names_and_are_deterministic(
    measure: Measurement,
) -> None:
    rows = run_fast(measure, 3)
    assert tuple(row.name for row in rows) == measure.names
    assert rows == run_fast(measure, 3)


@pytest.mark.parametrize("measure", MEASUREMENTS, ids=lambda m: m.names[0])
def test_rows_hold_at_fast_size(measure: Measurement) -> None:
    assert [row for row in run_fast(measure, 4) if not row.holds] == []

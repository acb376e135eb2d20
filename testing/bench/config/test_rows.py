import pytest

from medlar_bench.config import MEASUREMENTS
from medlar_bench.rows import Measurement
from medlar_bench.rows import Row
from medlar_bench.rows import Size


def row_of(measure: Measurement, seed: int) -> list[Row]:
    return measure.run(Size.FAST, seed)


@pytest.mark.parametrize("measure", MEASUREMENTS, ids=lambda m: m.names[0])
def test_rows_are_those_named_and_the_same_on_every_run(
    measure: Measurement,
) -> None:
    rows = row_of(measure, 3)
    assert tuple(row.name for row in rows) == measure.names
    assert rows == row_of(measure, 3)


@pytest.mark.parametrize("measure", MEASUREMENTS, ids=lambda m: m.names[0])
def test_rows_hold_at_the_small_size(measure: Measurement) -> None:
    assert [row for row in row_of(measure, 4) if not row.holds] == []

import json

import pytest

import medlar_bench.progress
from medlar_bench.progress import Progress
from medlar_bench.report import write_json
from medlar_bench.rows import Row
from medlar_bench.rows import Sense
from medlar_bench.rows import Size
from medlar_bench.run import Outcome

NAMES = ("flows.extra_hops", "flows.foreign")


def outcome(name: str, bound: float) -> Outcome:
    row = Row(name, 0.0, "share", bound, Sense.MAX, seed=1)
    return Outcome((name,), (row,))


@pytest.fixture
def written(tmp_path, monkeypatch):
    path = tmp_path / "bench.json"

    def write_here(found, partial=False):
        write_json(found, path, partial)

    monkeypatch.setattr(medlar_bench.progress.report, "write_json", write_here)
    return path


def test_rows_are_written_as_they_come_and_marked_until_the_end(
    written, capsys
):
    times = iter([0.0, 10.0, 30.0])
    progress = Progress("flows.", Size.FULL, lambda: next(times))
    progress.done(outcome(NAMES[0], 0.02), 1)
    (row,) = json.loads(written.read_text())
    assert (row["name"], row["partial"]) == (NAMES[0], True)
    progress.done(outcome(NAMES[1], 0.0), 0)
    rows = json.loads(written.read_text())
    assert {row["name"] for row in rows} == set(NAMES)
    assert not any("partial" in row for row in rows)
    told = capsys.readouterr().out.splitlines()
    assert told[0].startswith("[1/2] 10 s, about 10 s left: flows.extra")
    assert told[1].startswith("[2/2] 30 s, about 0 s left")


def test_a_measurement_that_failed_is_shown(written, capsys):
    progress = Progress("flows.", Size.FULL)
    progress.done(Outcome((NAMES[0],), error="broken"), 0)
    assert "flows.extra_hops failed" in capsys.readouterr().out

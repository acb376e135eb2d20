"""Small runs of the requests benchmark."""

import pathlib

from medlar_bench import requests
from medlar_bench.requests.callers import count_outcomes
from medlar_bench.requests.callers import OutcomeCounts
from medlar_bench.requests.faults import Fault
from medlar_bench.requests.plots import draw
from medlar_bench.requests.policies import Makers
from medlar_bench.requests.policies import ours
from medlar_bench.requests.policies import RETRY
from medlar_bench.requests.verdicts import run_with_faults
from medlar_bench.requests.workloads import A

DUE = {
    "requests.lost",
    "requests.doubled",
    "requests.false_not_run",
    "requests.mixed_answer",
    "requests.retry_amplification",
    "requests.unknown_share",
    *(
        f"{row}.{load}"
        for row in (
            "flood.keep.least",
            "flood.keep.most",
            "flood.wait",
            "flood.cross",
            "load.imbalance",
        )
        for load in "AS"
    ),
    "flood.used",
    "flood.recover_s",
    "flood.cold",
    "flood.lying",
}


def outcome_counts(makers: Makers, seed: int) -> OutcomeCounts:
    callers = run_with_faults(A, seed, 15.0, makers, tuple(Fault), 1.5)
    return count_outcomes(list(callers.jobs.values()))


def test_every_row_of_the_area_is_measured() -> None:
    assert {n for made in requests.MEASUREMENTS for n in made.names} == DUE


def test_fault_schedule_violates_no_guarantee() -> None:
    found = outcome_counts(ours(), 7)
    assert found.jobs > 1000
    assert (found.lost, found.doubled) == (0, 0)
    assert (found.false_not_run, found.mixed) == (0, 0)


def test_fault_schedule_exposes_faults_of_the_simple_policy() -> None:
    found = outcome_counts(RETRY, 7)
    assert found.doubled > 0
    assert found.false_not_run > 0


def test_same_seed_gives_the_same_counts() -> None:
    assert outcome_counts(ours(), 3) == outcome_counts(ours(), 3)


def test_plot_is_written(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "flood.svg"
    load = A.of("berth-desk")[0]
    draw(A, load, 1.0, path)
    assert "<svg" in path.read_text()

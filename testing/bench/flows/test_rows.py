import pytest

from medlar_bench import flows
from medlar_bench.flows.broken import measure
from medlar_bench.flows.broken import run_scenario
from medlar_bench.flows.large import extrapolate_log
from medlar_bench.rows import Size

ROW_NAMES = {
    "flows.broken.drain",
    "flows.broken.join",
    "flows.broken.balancer",
    "flows.broken.uneven",
    "flows.broken.mixed",
    "flows.foreign",
    "flows.imbalance.A",
    "flows.imbalance.S",
    "flows.imbalance.D",
    "flows.leaving_new_s",
    "flows.extra_hops",
    "flows.syn_flood",
    "flows.decide.slope",
    "flows.decide.cost",
    "flows.state_bytes.held",
    "flows.state_bytes.elsewhere",
}


def test_every_row_of_the_area_is_measured() -> None:
    assert {name for m in flows.MEASUREMENTS for name in m.names} == ROW_NAMES


@pytest.mark.parametrize("name", ["drain", "uneven"])
def test_scenario_breaks_flows_only_with_the_baseline(name: str) -> None:
    (row,) = measure(name, Size.FAST, 3)
    assert row.value == 0
    assert row.baseline is not None and row.baseline > 0


def test_same_seed_delivers_the_same_number_of_packets() -> None:
    runs = [run_scenario("mixed", Size.FAST, 2, None) for _ in range(2)]
    delivered = [testbed.callers.delivered for testbed, _ in runs]
    assert delivered[0] == delivered[1]


def test_extrapolation_is_linear_in_the_logarithm() -> None:
    sizes = (10, 20, 40, 80)
    assert extrapolate_log(sizes, [1.0, 2.0, 3.0, 4.0], 160) == pytest.approx(
        5.0
    )

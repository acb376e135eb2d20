import math

import pytest

import medlar_bench.members as members
from medlar_bench.members.baselines import LeaseFleet
from medlar_bench.members.design import DesignNode
from medlar_bench.members.fit import at_design
from medlar_bench.members.liveness import detect
from medlar_bench.members.liveness import false_dead
from medlar_bench.members.liveness import fenced
from medlar_bench.members.slopes import agent_line
from medlar_bench.members.slopes import balancer_line
from medlar_bench.rows import Size

NAMES = {
    "member.false_dead",
    "member.detect_s",
    "member.fenced",
    "store.writes_s.D",
    "store.reads_s.D",
    "control.bytes_s.D",
    "control.core_share.D",
    "control.memory_mb.D",
    "recover.cold_fleet_s",
    "recover.store_back_s",
}


def test_all_rows_of_the_area_are_measured() -> None:
    assert {name for m in members.MEASUREMENTS for name in m.names} == NAMES


@pytest.mark.parametrize("measure", [detect, fenced])
def test_rows_hold_and_repeat(measure) -> None:
    first = measure(Size.FAST, 2)
    assert all(row.holds for row in first)
    assert measure(Size.FAST, 2) == first


def test_hasty_judging_shows_as_false_deaths(monkeypatch) -> None:
    monkeypatch.setattr(
        "medlar_core.members.failure_detector.SUSPICION_TIMEOUT_S", 0.2
    )
    monkeypatch.setattr(
        "medlar_core.members.failure_detector.INDIRECT_PROBE_ROUNDS", (0,)
    )
    (row,) = false_dead(Size.FAST, 2)
    assert not row.holds


def test_slow_judging_shows_in_detection(monkeypatch) -> None:
    monkeypatch.setattr(
        "medlar_core.members.failure_detector.HEARTBEAT_TIMEOUT_S", 6.0
    )
    (row,) = detect(Size.FAST, 2)
    assert not row.holds


def test_a_process_that_minds_no_pause_shows_as_not_fenced(
    monkeypatch,
) -> None:
    monkeypatch.setattr("medlar_core.members.balancer.PAUSE_S", 1e9)
    (row,) = fenced(Size.FAST, 2)
    assert not row.holds


def test_leases_alone_lapse_in_an_outage() -> None:
    fleet = LeaseFleet(2, 4, 1)
    node = fleet.agents[0]
    assert fleet.users(node) == 2
    fleet.store.down = True
    fleet.run(60.0)
    assert fleet.users(node) == 0


def test_a_figure_at_design_size_lies_on_the_line() -> None:
    figures = {size: 100 + 10 * math.log(size) for size in (7, 14, 28, 56)}
    assert at_design(figures) == pytest.approx(100 + 10 * math.log(720))


def test_a_falling_line_gives_no_less_than_was_measured() -> None:
    assert at_design({7: 9.0, 14: 8.0, 28: 7.0, 56: 6.0}) == 9.0


def test_a_design_node_knows_its_fleet_and_declares_nobody_dead() -> None:
    node = DesignNode(14, 109, 1)
    node.run(10.0)
    assert len(node.view.servers) == 109
    assert len(node.view.balancers) == 14


def test_slopes_tell_what_grows() -> None:
    small, large = balancer_line(14), balancer_line(28)
    assert large.state_bytes > small.state_bytes
    assert agent_line(40).state_bytes > agent_line(5).state_bytes

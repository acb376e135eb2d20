"""Tests of the parts of the soak test, and a short run."""

import asyncio
from pathlib import Path
import random
import tomllib

import pytest

from medlar_core.packets import Flag
from medlar_core.relay.segment import endpoint
from medlar_core.relay.segment import FlowId

from . import wire
from .checker import Checker
from .checker import CONFIGURATION_S
from .checker import DRAIN_S
from .checker import EVACUATION_S
from .checker import STORE_FAILURE_EXTRA_S
from .idle_timeouts import IdleTimeouts
from .plan import CALM_END_S
from .plan import CALM_START_S
from .plan import draw
from .plan import FaultKind
from .run import check_calm_periods
from .run import RECOVERY_S
from .run import soak
from .server import Server

FLOW = FlowId(endpoint("127.0.0.1", 4_000), endpoint("198.18.0.1", 8_001))
BLOCK = 90


def violated(checker: Checker) -> list[str]:
    return [violation.promise for violation in checker.violations]


def test_plan_is_deterministic_and_leaves_calm_at_both_ends():
    faults = draw(7, 9, 6, 60.0)
    assert faults == draw(7, 9, 6, 60.0)
    assert faults != draw(8, 9, 6, 60.0)
    assert faults[0].at >= CALM_START_S
    assert all(f.at + f.for_s <= 60.0 - CALM_END_S for f in faults)


def test_plans_contain_every_kind_of_fault():
    drawn = {f.kind for seed in range(50) for f in draw(seed, 9, 6, 24.0)}
    assert drawn == set(FaultKind)


def test_request_run_twice_is_a_violation():
    checker = Checker()
    checker.first_sent_at["r"] = 0.0
    checker.on_request_run(1.0, "r", "s1")
    assert not checker.violations
    checker.on_request_run(1.1, "r", "s2")
    assert violated(checker) == ["once"]


def test_request_never_sent_is_a_violation():
    checker = Checker()
    checker.on_request_run(1.0, "r", "s1")
    assert violated(checker) == ["asked"]


def test_response_of_another_request_is_a_violation():
    checker = Checker()
    checker.first_sent_at["r"] = 0.0
    checker.on_request_run(1.0, "r", "s1")
    checker.on_response(1.1, "r", "r by s1")
    assert not checker.violations
    checker.on_response(1.2, "r", "other by s1")
    assert violated(checker) == ["own answer"]


def test_late_flow_to_draining_server_is_a_violation():
    checker = Checker()
    checker.on_drain(10.0, "s1")
    checker.on_flow_opened(10.0 + DRAIN_S - 0.1, 8_001, "s1", "desk", 12.0)
    assert not checker.violations
    checker.on_flow_opened(10.0 + DRAIN_S + 0.1, 8_001, "s1", "desk", 13.0)
    assert violated(checker) == ["drain"]


@pytest.mark.parametrize(
    ("store_failed_at", "bound_s"),
    [(0.0, CONFIGURATION_S), (9.0, CONFIGURATION_S + STORE_FAILURE_EXTRA_S)],
)
def test_outdated_configuration_is_a_violation(store_failed_at, bound_s):
    checker = Checker()
    checker.store_failed_at = store_failed_at
    checker.on_configuration(10.0, 9_001, 9_002)
    for late_s in (-0.1, 0.1):
        sent_at = 10.0 + bound_s + late_s
        checker.on_flow_opened(sent_at, 9_002, "s1", "desk", sent_at)
        checker.on_flow_reset(sent_at, 9_001, sent_at)
    assert violated(checker) == ["configuration"] * 2


def test_a_new_flow_of_a_moved_route_at_its_former_service_is_a_violation():
    checker = Checker()
    checker.on_route_moved(10.0, 8_001, "office")
    for sent_at in (
        10.0 + CONFIGURATION_S - 0.1,
        10.0 + CONFIGURATION_S + 0.1,
    ):
        checker.on_flow_opened(sent_at, 8_001, "s1", "desk", sent_at)
    assert violated(checker) == ["configuration"]
    checker.on_route_moved(14.0, 8_001, "desk")
    checker.on_flow_opened(14.1, 8_001, "s1", "desk", 14.1)
    checker.on_flow_opened(14.1, 8_001, "s1", "office", 14.1)
    assert violated(checker) == ["configuration"]


def test_a_flow_expires_by_a_timeout_that_was_in_force_meanwhile():
    timeouts = IdleTimeouts()
    timeouts.change(10.0, 3.0)
    timeouts.change(12.0, 15.0)
    assert not timeouts.has_expired(9.5, 20.0)
    assert timeouts.has_expired(8.5, 20.0)
    assert not timeouts.has_expired(12.5, 20.0)


def test_unserved_requests_in_calm_are_a_violation():
    checker = Checker()
    checker.first_sent_at = {f"r{n}": n / 10 for n in range(300)}
    checker.served_at = dict(checker.first_sent_at)
    calm_at = 20.0
    check_calm_periods(checker, 0.0, calm_at)
    assert not checker.violations
    for req, at in checker.first_sent_at.items():
        if calm_at + RECOVERY_S < at:
            del checker.served_at[req]
    check_calm_periods(checker, 0.0, calm_at)
    assert violated(checker) == ["served in calm"]


def test_a_server_that_crashes_while_it_starts_can_start_again():
    """Guards against runs that end as an address is in use."""

    async def run():
        host = f"127.{BLOCK}.99.1"
        server = Server(
            Checker(),
            random.Random(1),
            "desk",
            (host, 7705),
            f"{host}:7703",
            (host, 7704),
        )
        starting = asyncio.create_task(server.start())
        await asyncio.sleep(0)
        await server.crash()
        await starting
        await server.start()
        assert server.state == "ready"
        await server.crash()

    asyncio.run(run())


def test_modified_packet_is_detected():
    data = wire.encode(*FLOW, Flag.ACK, 1_000, 7, b"request")
    assert wire.decode(data).is_intact
    assert wire.decode(wire.bounced(data)).is_intact
    changed = data[:-1] + b"x"
    assert not wire.decode(changed).is_intact


def test_regressions_have_symptom_and_cause():
    path = Path(__file__).with_name("REGRESSIONS.toml")
    regressions = tomllib.loads(path.read_text())["seed"]
    assert all(row["broke"] and row["cause"] for row in regressions)


def test_short_run_has_no_violations(tmp_path):
    outcome = asyncio.run(soak(1, 14.0, BLOCK, tmp_path))
    assert outcome.violations == []
    assert outcome.served > 0


def test_a_late_flow_to_a_server_of_an_evacuated_zone_is_a_violation():
    checker = Checker()
    checker.on_evacuated(10.0, "a")
    checker.on_zone_flow(10.0 + EVACUATION_S - 0.1, "a", "s1")
    checker.on_zone_flow(20.0, "b", "s2")
    assert not checker.violations
    checker.on_zone_flow(10.0 + EVACUATION_S + 0.1, "a", "s1")
    assert violated(checker) == ["evacuation"]
    checker.on_taken_back("a")
    checker.on_zone_flow(20.0, "a", "s1")
    assert violated(checker) == ["evacuation"]

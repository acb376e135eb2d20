"""The soak itself, and a short run of it."""

import asyncio
from pathlib import Path
import tomllib

import pytest

from medlar_core.packets import Flag
from medlar_core.relay.segment import endpoint
from medlar_core.relay.segment import FlowId

from . import wire
from .ledger import CONFIGURATION_S
from .ledger import DRAIN_S
from .ledger import Ledger
from .ledger import UNSTABLE_S
from .plan import draw
from .plan import Kind
from .plan import QUIET_S
from .plan import SETTLE_S
from .run import BACK_S
from .run import judge_calm
from .run import soak

FLOW = FlowId(endpoint("127.0.0.1", 4_000), endpoint("198.18.0.1", 8_001))
BLOCK = 90


def promises(ledger: Ledger) -> list[str]:
    return [found.promise for found in ledger.broken]


def test_a_plan_follows_from_its_seed_and_leaves_calm_at_both_ends():
    faults = draw(7, 9, 6, 60.0)
    assert faults == draw(7, 9, 6, 60.0)
    assert faults != draw(8, 9, 6, 60.0)
    assert faults[0].at >= QUIET_S
    assert all(f.at + f.for_s <= 60.0 - SETTLE_S for f in faults)


def test_plans_hold_every_kind_of_fault():
    drawn = {f.kind for seed in range(50) for f in draw(seed, 9, 6, 24.0)}
    assert drawn == set(Kind)


def test_a_request_that_runs_twice_breaks_a_promise():
    ledger = Ledger()
    ledger.asked["r"] = 0.0
    ledger.ran(1.0, "r", "s1")
    assert not ledger.broken
    ledger.ran(1.1, "r", "s2")
    assert promises(ledger) == ["once"]


def test_a_request_that_nobody_sent_breaks_a_promise():
    ledger = Ledger()
    ledger.ran(1.0, "r", "s1")
    assert promises(ledger) == ["asked"]


def test_the_answer_to_another_request_breaks_a_promise():
    ledger = Ledger()
    ledger.asked["r"] = 0.0
    ledger.ran(1.0, "r", "s1")
    ledger.answered(1.1, "r", "r by s1")
    assert not ledger.broken
    ledger.answered(1.2, "r", "other by s1")
    assert promises(ledger) == ["own answer"]


def test_a_flow_to_a_server_that_left_long_ago_breaks_a_promise():
    ledger = Ledger()
    ledger.leaves(10.0, "s1")
    ledger.opened(10.0 + DRAIN_S - 0.1, 8_001, "s1", 12.0)
    assert not ledger.broken
    ledger.opened(10.0 + DRAIN_S + 0.1, 8_001, "s1", 13.0)
    assert promises(ledger) == ["drain"]


@pytest.mark.parametrize(
    ("store_failed_at", "bound_s"),
    [(0.0, CONFIGURATION_S), (9.0, CONFIGURATION_S + UNSTABLE_S)],
)
def test_an_outdated_configuration_breaks_a_promise(store_failed_at, bound_s):
    ledger = Ledger()
    ledger.store_failed_at = store_failed_at
    ledger.configured(10.0, 9_001, 9_002)
    for late_s in (-0.1, 0.1):
        sent_at = 10.0 + bound_s + late_s
        ledger.opened(sent_at, 9_002, "s1", sent_at)
        ledger.refused(sent_at, 9_001, sent_at)
    assert promises(ledger) == ["configuration"] * 2


def test_requests_that_nobody_serves_in_calm_break_a_promise():
    ledger = Ledger()
    ledger.asked = {f"r{n}": n / 10 for n in range(300)}
    ledger.served = dict(ledger.asked)
    quiet_at = 20.0
    judge_calm(ledger, 0.0, quiet_at)
    assert not ledger.broken
    for req, at in ledger.asked.items():
        if quiet_at + BACK_S < at:
            del ledger.served[req]
    judge_calm(ledger, 0.0, quiet_at)
    assert promises(ledger) == ["served in calm"]


def test_a_packet_that_was_changed_is_not_its_senders():
    data = wire.write(*FLOW, Flag.ACK, 1_000, 7, b"request")
    assert wire.read(data).is_own
    assert wire.read(wire.bounced(data)).is_own
    changed = data[:-1] + b"x"
    assert not wire.read(changed).is_own


def test_seeds_that_failed_are_kept_with_their_cause():
    path = Path(__file__).with_name("REGRESSIONS.toml")
    kept = tomllib.loads(path.read_text())["seed"]
    assert all(row["broke"] and row["cause"] for row in kept)


def test_a_short_run_breaks_no_promise(tmp_path):
    outcome = asyncio.run(soak(1, 14.0, BLOCK, tmp_path))
    assert outcome.broken == []
    assert outcome.served > 0

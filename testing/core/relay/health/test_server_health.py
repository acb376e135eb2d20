"""States of health, by the outcomes of a server's flows."""

import random

import pytest

from medlar_core.ids import Seconds
from medlar_core.relay.health.evidence import Observation
from medlar_core.relay.health.evidence import Signal
from medlar_core.relay.health.server_health import ServerHealth
from medlar_core.relay.health.state import HealthState

FLOW_INTERVAL_S = 0.05
"""Of a server in full use; a suspect and one on probation get fewer."""
SHARES = {
    HealthState.HEALTHY: 1.0,
    HealthState.SUSPECT: 0.1,
    HealthState.PROBATION: 0.4,
}


class Play:
    """Flows at one server, fewer by its state, some of which fail."""

    def __init__(self, seed=1):
        self.health = ServerHealth()
        self.now = 0.0
        self.rng = random.Random(seed)
        self.failed = 0
        self.changes = []

    def run(self, seconds, failing_share):
        until = self.now + seconds
        while self.now < until:
            self.now += FLOW_INTERVAL_S
            if self.rng.random() < SHARES[self.health.state]:
                failed = self.rng.random() < failing_share
                self.failed += failed
                signal = Signal.RESET if failed else Signal.ANSWERED
                self.health.observe(Seconds(self.now), Observation(signal))
            self.health.update(Seconds(self.now))
            self.changes += self.health.pop_changes()

    def restart(self):
        self.health.record_restart(Seconds(self.now), crashed=True)


def test_one_failure_or_few_among_many_leave_a_server_healthy():
    play = Play()
    play.run(60.0, failing_share=0.04)
    assert play.failed > 20
    assert not play.changes


@pytest.mark.parametrize("failing_share", [0.4, 1.0])
def test_a_server_that_fails_a_part_is_suspect_within_two_seconds(
    failing_share,
):
    play = Play()
    play.run(5.0, 0.0)
    play.run(2.0, failing_share)
    first = play.changes[0]
    assert first.new is HealthState.SUSPECT
    assert first.age_s < 2.0
    assert "reset" in first.reason


def test_a_server_that_succeeds_again_is_healthy_by_way_of_probation():
    play = Play()
    play.run(2.0, 1.0)
    play.run(10.0, 0.0)
    assert [change.new for change in play.changes] == [
        HealthState.SUSPECT,
        HealthState.PROBATION,
        HealthState.HEALTHY,
    ]


def test_a_suspect_that_gets_no_flows_is_tried_again():
    play = Play()
    play.run(2.0, 1.0)
    play.health.update(Seconds(play.now + 4.0))
    assert play.health.state is HealthState.PROBATION


@pytest.mark.parametrize("period_s", [1.0, 1.4, 3.0])
def test_a_flapping_server_gets_only_probes_after_some_downs(period_s):
    play = Play()
    failed = []
    for _ in range(6):
        before = play.failed
        play.run(period_s, 1.0)
        play.restart()
        play.run(period_s, 0.0)
        failed.append(play.failed - before)
    offered = 2 * period_s / FLOW_INTERVAL_S
    assert sum(failed[4:]) <= sum(failed[:2])
    assert sum(failed[4:]) <= offered / 8
    assert len(play.changes) <= 3 * 6
    play.run(30.0, 0.0)
    assert play.health.state is HealthState.HEALTHY


def test_a_planned_successor_is_healthy():
    play = Play()
    play.run(2.0, 1.0)
    play.health.record_restart(Seconds(play.now), crashed=False)
    assert play.health.state is HealthState.HEALTHY


def test_a_server_that_crashed_once_is_on_probation_for_a_short_time():
    play = Play()
    play.run(2.0, 0.0)
    play.restart()
    assert play.health.state is HealthState.PROBATION
    play.run(3.0, 0.0)
    assert play.health.state is HealthState.HEALTHY

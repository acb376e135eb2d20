"""New flows at servers of unequal speed that nobody announces."""

import random

import pytest

from medlar_core.relay.balance.choice import Choice
from medlar_core.relay.member import Member

from ..test_choice import report

NOW = 0.1
FAST_MS, SLOW_MS = 10, 30


def chosen(*reports, seed=1):
    members = [Member(found, last_report_at=0.0) for found in reports]
    choice = Choice("own", random.Random(seed))
    return choice.select(NOW, None, members, (), None).node


@pytest.mark.parametrize("order", [1, -1])
def test_of_two_idle_servers_the_faster_one_gets_the_flow(order):
    reports = (
        report("slow", service_ms=SLOW_MS),
        report("fast", service_ms=FAST_MS),
    )
    assert chosen(*reports[::order]) == "fast"


def test_a_fast_server_with_work_goes_before_a_slow_one_with_as_much():
    slow = report("slow", busy=2, service_ms=SLOW_MS)
    fast = report("fast", busy=3, service_ms=FAST_MS)
    assert chosen(slow, fast) == "fast"


def test_no_flow_waits_long_for_a_fast_server_beside_an_idle_slow_one():
    slow = report("slow", service_ms=SLOW_MS)
    fast = report("fast", busy=8, service_ms=FAST_MS)
    assert chosen(slow, fast) == "slow"


def test_servers_of_equal_speed_are_compared_by_their_load_alone():
    loads = [(busy, flows) for busy in range(4) for flows in (0, 5, 30)]
    for first in loads:
        for second in loads:
            alike = [
                chosen(
                    report("a", busy=first[0], flows=first[1], **speed),
                    report("b", busy=second[0], flows=second[1], **speed),
                )
                for speed in ({}, {"service_ms": 20})
            ]
            assert alike[0] == alike[1]


def test_a_server_that_has_measured_nothing_counts_as_the_mean():
    unknown = report("unknown", busy=1)
    known = [report("b", busy=2, service_ms=20), report("c", busy=3)]
    assert chosen(unknown, *known) == "unknown"

"""Bounds of what is remembered of callers, and of what may be reset."""

import pytest

from medlar_core.ids import Seconds
from medlar_core.packets import Flag
from medlar_core.relay.admission.fair_share import CallerShares
from medlar_core.relay.admission.fair_share import MAX_CALLERS
from medlar_core.relay.admission.held import Held
from medlar_core.relay.admission.held import hold
from medlar_core.relay.new_flow import NewFlow
from medlar_core.relay.scope import UNKNOWN_SCOPE
from medlar_core.relay.segment import Segment

from ..kit import flow
from ..kit import node


def held_flow(at: float = 0.0, retransmission: int = 0) -> Held:
    segment = Segment(b"", Flag.SYN, *flow(1), 0, 100, retransmission)
    via = node("balancer", 0)
    new_flow = NewFlow(flow(1), segment, (), via, 0, False, UNKNOWN_SCOPE)
    return hold(Seconds(at), new_flow)


def test_callers_whose_addresses_change_fill_no_memory():
    shares = CallerShares()
    for number in range(3 * MAX_CALLERS):
        shares.record_start(Seconds(0.001 * number), number)
    assert len(shares) == MAX_CALLERS


def test_starts_of_a_caller_fade():
    shares = CallerShares()
    for _ in range(10):
        shares.record_start(Seconds(0.0), 1)
    assert shares.turns(Seconds(0.0), [held_flow()]) == [0]
    assert shares.starts(Seconds(0.0), 1) == 10.0
    assert shares.starts(Seconds(5.0), 1) < 1.0


@pytest.mark.parametrize(
    ("first", "copies", "at", "may_be_reset"),
    [
        (0, (), 0.1, True),
        (0, (), 0.3, False),
        (0, (1,), 0.3, True),
        (0, (1,), 0.7, False),
        (0, (1, 1, 2), 0.7, True),
        (0, (2,), 0.7, False),
        (1, (), 0.05, False),
    ],
)
def test_a_flow_is_reset_only_if_all_copies_of_its_syn_came(
    first, copies, at, may_be_reset
):
    held = held_flow(0.0, first)
    for retransmission in copies:
        held.record_copy(retransmission)
    assert held.may_be_reset(Seconds(at)) is may_be_reset

"""Packets of many flows whose servers are gone, after a loss of power."""

from .kit import Fleet
from .kit import flow

FLOWS = 1_200
RUSH_S = 1.0
"""Time in which the callers of all these flows send their next packet."""
RESET_S = 1.5
"""Time after that in which they are to learn that their flow is gone."""
ANNOUNCED_S = 1.1
"""Time in which every server has announced itself."""


def test_callers_of_lost_flows_learn_it_soon_after_a_loss_of_power():
    fleet = Fleet(agents=40, balancers=6)
    fleet.restart_all()
    fleet.run(ANNOUNCED_S)
    lost = [flow(number) for number in range(FLOWS)]
    for number, flow_id in enumerate(lost):
        fleet.data(flow_id, by=number % 6)
        fleet.run(RUSH_S / FLOWS)
    fleet.run(RESET_S)
    known = sum(fleet.reset_count([flow_id]) > 0 for flow_id in lost)
    assert known == FLOWS


def test_callers_that_wait_since_before_a_loss_of_power_need_not_ask_again():
    fleet = Fleet(agents=40, balancers=6)
    fleet.restart_all()
    lost = [flow(number) for number in range(FLOWS // 4)]
    for number, flow_id in enumerate(lost):
        fleet.data(flow_id, by=number % 6)
        fleet.run(0.3 / len(lost))
    fleet.run(ANNOUNCED_S + RESET_S)
    known = sum(fleet.reset_count([flow_id]) > 0 for flow_id in lost)
    assert known == len(lost)

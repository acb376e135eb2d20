"""A start from the stored copy of the configuration, beside evacuations."""

import pytest

from medlar_core.store import Compare

from ..kit import CONFIGURATION
from ..kit import COPY
from ..kit import node
from .kit import A
from .kit import B
from .kit import ZoneFleet

NEWCOMER = node("balancer", 9)
ENTRIES_WATCHED_S = 0.7
"""A balancer that starts has read all entries and watches them since."""


def fleet_with_copy():
    fleet = ZoneFleet()
    fleet.run(3.0)
    assert COPY in fleet.world.store.items
    return fleet


def count_comparisons(fleet):
    """Return a list that grows with each comparison of the configuration."""
    call, compared = fleet.world.store.call, []

    def counting_call(op, answered):
        if isinstance(op, Compare) and op.key == CONFIGURATION:
            compared.append(fleet.world.clock.now)
        call(op, answered)

    fleet.world.store.call = counting_call
    return compared


def evacuated_at(fleet, address):
    return fleet.balancers[address].shared_routes.evacuated.places


def test_a_start_from_the_copy_knows_an_earlier_evacuation():
    fleet = fleet_with_copy()
    fleet.evacuate(A)
    fleet.run(3.0)
    fleet.lose_power()
    compared = count_comparisons(fleet)
    fleet.start_all()
    fleet.run(3.0)
    assert compared
    assert {evacuated_at(fleet, b) for b in fleet.balancers} == {(A,)}
    assert fleet.share_after(A)[0] == 0


def test_an_evacuation_between_listing_and_comparison_is_not_missed():
    fleet = fleet_with_copy()
    fleet.lose_power()
    call = fleet.world.store.call

    def evacuate_first(op, answered):
        if isinstance(op, Compare) and op.key == CONFIGURATION:
            fleet.world.store.call = call
            fleet.evacuate(B)
        call(op, answered)

    fleet.world.store.call = evacuate_first
    fleet.start_all()
    fleet.run(3.0)
    assert {evacuated_at(fleet, b) for b in fleet.balancers} == {(B,)}
    assert fleet.share_after(B)[0] == 0


def test_a_copy_out_of_date_beside_an_evacuation_falls_back_to_the_listing():
    fleet = fleet_with_copy()
    fleet.evacuate(A)
    fleet.run(1.0)
    fleet.lose_power()
    fleet.write(CONFIGURATION, fleet.world.store.items[CONFIGURATION].value)
    fleet.compact()
    fleet.start_all()
    fleet.run(3.0)
    assert {evacuated_at(fleet, b) for b in fleet.balancers} == {(A,)}


@pytest.mark.parametrize("value", ["?", ""], ids=["damaged", "deleted"])
def test_a_copy_may_be_lost_while_it_is_compared(value):
    fleet = fleet_with_copy()
    fleet.lose_power()
    call = fleet.world.store.call

    def lose_copy_first(op, answered):
        if not isinstance(op, Compare):
            call(op, answered)
            return
        if value:
            fleet.write(COPY, value)
        else:
            fleet.delete(COPY)
        fleet.world.clock.after(ENTRIES_WATCHED_S, lambda: call(op, answered))

    fleet.world.store.call = lose_copy_first
    newcomer = fleet.start_balancer(NEWCOMER)
    fleet.run(3.0)
    assert newcomer.routes.version == 1

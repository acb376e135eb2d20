"""Large configurations on thin links: starts, changes and failures."""

import pytest

from medlar_core.ids import NodeId
from medlar_core.relay.configuration.compact import decode_copy
from medlar_core.relay.configuration.routes import Route
from medlar_core.relay.configuration.routes import RouteTable
from medlar_core.relay.configuration.routes import Share
from medlar_core.store import Put

from ..kit import CONFIGURATION
from ..kit import COPY
from ..kit import DESK
from ..kit import Fleet
from ..kit import FLOW_IDLE_S
from ..kit import node

ROUTES = 1_925
WIDE, THIN = 4, 8
WIDE_MBPS, THIN_MBPS = 200.0, 5.0
BYTES_PER_MBPS = 125_000
BOUND_S = 1.0
START_BYTES = 200_000
CHANGE_BYTES = 60_000
HIGHEST_ADDRESS = 255 * 256 + 255


def large_table(version: int, routes: int = ROUTES) -> RouteTable:
    """Return a configuration whose first route is the one of all tests."""
    addresses = ["192.0.2.1"]
    for number in range(1, routes):
        spread = number * 7_919 % HIGHEST_ADDRESS
        addresses.append(f"198.18.{spread // 256}.{spread % 256}")
    shares = (Share(DESK, 1),)
    return RouteTable(
        version,
        tuple(
            Route(host, 8000, shares, 0, 276, 3_000 + number % 3, True)
            for number, host in enumerate(addresses)
        ),
        FLOW_IDLE_S,
    )


def link(number: int) -> float:
    """Return a balancer's link; the thin ones have the lowest addresses."""
    return THIN_MBPS if number < THIN else WIDE_MBPS


THIN_ONES = [node("balancer", number) for number in range(THIN)]
WIDE_ONES = [node("balancer", THIN + number) for number in range(WIDE)]


def large_fleet(version: int = 2) -> Fleet:
    """Return a fleet with a large configuration in force and copied."""
    links = {node("balancer", n): link(n) for n in range(WIDE + THIN)}
    fleet = Fleet(balancers=WIDE + THIN, link_mbps=links)
    for address, link_mbps in links.items():
        fleet.world.links[address] = link_mbps * BYTES_PER_MBPS
    fleet.configure(large_table(version))
    fleet.run(5.0)
    assert versions(fleet) == {version}
    return fleet


def versions(fleet) -> set[int]:
    return {b.routes.version for b in fleet.balancers.values()}


def seconds_until(fleet, version, limit_s: float = 10.0) -> float:
    """Return how long it takes until all balancers have a version."""
    started_at = fleet.world.clock.now
    while versions(fleet) != {version}:
        fleet.run(0.02)
        assert fleet.world.clock.now - started_at < limit_s
    return fleet.world.clock.now - started_at


def versions_put_in_force(fleet) -> list[int]:
    return [
        event.version
        for event in fleet.world.events
        if "in force with" in event.text
    ]


def fetch_source(fleet, address) -> NodeId | None:
    sources = fleet.balancers[address]._route_sources
    return sources.fetching_from(fleet.world.clock.now)


def copied_version(fleet) -> int:
    return decode_copy(fleet.world.store.items[COPY].value).table.version


def test_all_start_with_a_large_configuration_on_thin_links():
    fleet = large_fleet()
    fleet.world.transferred.clear()
    fleet.restart_all(spread_s=0.4)
    assert seconds_until(fleet, 2) <= BOUND_S
    fleet.run(2.0)
    assert max(fleet.world.transferred[n] for n in THIN_ONES) <= START_BYTES


def test_a_change_of_a_large_configuration_reaches_thin_links():
    fleet = large_fleet()
    fleet.world.transferred.clear()
    fleet.configure(large_table(3))
    assert seconds_until(fleet, 3) <= BOUND_S
    fleet.run(2.0)
    assert max(fleet.world.transferred[n] for n in THIN_ONES) <= CHANGE_BYTES
    assert copied_version(fleet) == 3


def test_one_balancer_writes_the_copy_once_a_change():
    fleet = large_fleet()
    call, writes = fleet.world.store.call, []

    def counting_call(op, answered):
        if isinstance(op, Put) and op.key == COPY:
            writes.append(op)
        call(op, answered)

    fleet.world.store.call = counting_call
    fleet.configure(large_table(3))
    fleet.run(5.0)
    fleet.restart_all()
    fleet.run(5.0)
    assert len(writes) == 1


def test_all_end_just_after_a_change_so_that_the_copy_is_older():
    fleet = large_fleet()
    fleet.configure(large_table(3))
    fleet.world.events.clear()
    fleet.restart_all(spread_s=0.4)
    assert seconds_until(fleet, 3) <= 2 * BOUND_S
    assert set(versions_put_in_force(fleet)) == {3}
    fleet.run(4.0)
    assert copied_version(fleet) == 3


def test_a_damaged_copy_is_replaced_and_the_item_is_read():
    fleet = large_fleet()
    whole = fleet.world.store.items[COPY].value
    for damaged in ("", "no copy", whole[: len(whole) // 2], f"A{whole}"):
        fleet.write(COPY, damaged)
        fleet.restart_all()
        assert seconds_until(fleet, 2) <= 2 * BOUND_S
        fleet.run(4.0)
        assert copied_version(fleet) == 2
    assert any("stored copy ignored" in e.text for e in fleet.world.events)


def test_the_store_turns_a_starting_balancer_away():
    fleet = large_fleet()
    cut_off = THIN_ONES[0]
    fleet.kill(cut_off)
    fleet.world.without_store.add(cut_off)
    fleet.start_balancer(cut_off, seeds=(WIDE_ONES[0],))
    assert seconds_until(fleet, 2) <= BOUND_S


def test_the_store_is_slow_as_all_start():
    fleet = large_fleet()
    fleet.world.store.slow_s = 0.24
    fleet.restart_all(spread_s=0.4)
    assert seconds_until(fleet, 2) <= 2 * BOUND_S


def test_a_source_that_dies_midway_is_replaced_by_another():
    fleet = large_fleet()
    slow = THIN_ONES[0]
    fleet.world.links[slow] = 20_000
    fleet.configure(large_table(3))
    while (source := fetch_source(fleet, slow)) is None:
        fleet.run(0.01)
    fleet.run(0.2)
    fleet.kill(source)
    del fleet.balancers[source]
    assert seconds_until(fleet, 3) <= 5.0


def test_two_changes_within_a_fifth_of_a_second():
    fleet = large_fleet()
    fleet.world.events.clear()
    fleet.configure(large_table(3))
    fleet.run(0.1)
    fleet.configure(large_table(4))
    assert seconds_until(fleet, 4) <= BOUND_S
    fleet.run(2.0)
    assert versions(fleet) == {4}
    assert copied_version(fleet) == 4


@pytest.mark.parametrize("key", [CONFIGURATION, COPY])
def test_those_with_wide_links_watch_the_store(key):
    fleet = large_fleet()
    fleet.world.transferred.clear()
    fleet.write(key, fleet.world.store.items[key].value)
    fleet.run(0.5)
    received = fleet.world.transferred
    assert max(received[n] for n in THIN_ONES) < 2_000
    assert sum(received[n] > 10_000 for n in WIDE_ONES) == 3


def test_a_peer_that_gives_an_older_version_is_not_asked_at_once_again():
    fleet = large_fleet()
    asked: list[NodeId] = []
    routes_of = fleet.world.routes_of

    def stale_routes_of(peer):
        asked.append(peer)
        return old if peer == stale else routes_of(peer)

    stale = WIDE_ONES[0]
    old = routes_of(stale)
    fleet.world.routes_of = stale_routes_of
    fleet.configure(large_table(3))
    assert seconds_until(fleet, 3) <= 2 * BOUND_S
    assert asked.count(stale) <= THIN + WIDE

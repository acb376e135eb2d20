"""Tests of membership under failures, in small simulated fleets."""

import pytest

from medlar_bench.members.fleet import Fleet
from medlar_core.events import DrainAsked
from medlar_core.events import Received
from medlar_core.events import StopAsked
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import RegionName
from medlar_core.members.agent import Leave
from medlar_core.members.messages import News
from medlar_core.members.record import gone
from medlar_core.members.record import pack
from medlar_core.members.view import ServerState

REGIONS = {
    PlaceName("n-a"): RegionName("n"),
    PlaceName("n-b"): RegionName("n"),
    PlaceName("s-a"): RegionName("s"),
    PlaceName("s-b"): RegionName("s"),
}


def settled_fleet(
    balancers: int = 8, agents: int = 24, seed: int = 1
) -> Fleet:
    fleet = Fleet(balancers, agents, seed, REGIONS)
    fleet.settle()
    assert fleet.complete()
    return fleet


def all_agents_usable(fleet: Fleet) -> bool:
    agents = set(fleet.agents)
    return all(fleet.usable(node) == agents for node in fleet.balancers)


def unused_everywhere(fleet: Fleet, server: NodeId) -> bool:
    return all(server not in fleet.usable(node) for node in fleet.balancers)


def reasons(fleet: Fleet) -> set[str]:
    return {event.reason for _, _, event in fleet.explained}


@pytest.mark.parametrize("seed", range(4))
def test_dead_server_is_unused_everywhere_within_three_seconds(
    seed: int,
) -> None:
    fleet = settled_fleet(seed=seed)
    victim = min(fleet.agents)
    fleet.kill(victim)
    fleet.run(3.0)
    assert unused_everywhere(fleet, victim)
    assert all_agents_usable(fleet)


def test_store_outage_removes_no_live_server() -> None:
    fleet = settled_fleet()
    fleet.store.down = True
    fleet.net.faults.loss = 0.1
    for _ in range(300):
        fleet.run(1.0)
        assert all_agents_usable(fleet)


@pytest.mark.parametrize("seed", range(4))
def test_drain_is_known_everywhere_within_three_seconds(seed: int) -> None:
    fleet = settled_fleet(seed=seed)
    fleet.net.faults.loss = 0.1
    victim = max(fleet.agents)
    fleet.net.dispatch(victim, DrainAsked(600.0))
    fleet.run(3.0)
    assert unused_everywhere(fleet, victim)
    states = {
        server.state
        for host in fleet.balancers.values()
        for server in host.view.servers
        if server.id == victim
    }
    assert states == {ServerState.DRAINING}


def test_leave_is_known_everywhere_within_a_second() -> None:
    fleet = settled_fleet()
    victim = max(fleet.agents)
    fleet.net.dispatch(victim, StopAsked())
    fleet.net.dispatch(victim, Leave())
    fleet.run(1.0)
    assert fleet.agents[victim].finished
    known = [
        server.id
        for host in fleet.balancers.values()
        for server in host.view.servers
    ]
    assert victim not in known


def test_duplicated_messages_do_not_undo_a_leave() -> None:
    fleet = settled_fleet()
    victim = max(fleet.agents)
    fleet.net.faults.duplicate = 0.5
    fleet.net.dispatch(victim, Leave())
    fleet.run(20.0)
    assert fleet.agents[victim].record.state is ServerState.GONE
    assert unused_everywhere(fleet, victim)


def test_partitioned_region_is_not_declared_dead() -> None:
    fleet = settled_fleet()
    north = set(fleet.in_place(PlaceName("n-a")))
    north |= set(fleet.in_place(PlaceName("n-b")))
    fleet.cut([PlaceName("n-a"), PlaceName("n-b")])
    fleet.run(10.0)
    for node, host in fleet.balancers.items():
        near = {a for a in fleet.agents if (a in north) == (node in north)}
        assert fleet.usable(node) == near
        assert {s.id for s in host.view.servers} == set(fleet.agents)
    fleet.run(300.0)
    fleet.heal()
    fleet.run(8.0)
    assert all_agents_usable(fleet)
    assert "silent" not in reasons(fleet)


def test_server_that_left_during_a_partition_is_unused_after_it() -> None:
    fleet = settled_fleet()
    fleet.cut([PlaceName("n-a"), PlaceName("n-b")])
    fleet.run(10.0)
    leaving = min(fleet.agents)
    fleet.net.dispatch(leaving, Leave())
    fleet.run(5.0)
    fleet.kill(leaving)
    fleet.heal()
    for _ in range(100):
        fleet.run(0.1)
        assert unused_everywhere(fleet, leaving)
    assert all_agents_usable(fleet)


def test_failed_place_gets_no_new_work_and_its_servers_stay_known() -> None:
    fleet = settled_fleet()
    failed = fleet.in_place(PlaceName("s-b"))
    servers = [node for node in failed if node in fleet.agents]
    for node in failed:
        fleet.net.kill(node)
        fleet.balancers.pop(node, None)
    fleet.run(3.0)
    for server in servers:
        assert unused_everywhere(fleet, server)
    host = next(iter(fleet.balancers.values()))
    assert {s.id for s in host.view.servers} == set(fleet.agents)


def test_restart_with_a_lower_incarnation_is_accepted() -> None:
    fleet = settled_fleet()
    node = min(fleet.agents)
    old = fleet.agents[node].record
    fleet.kill(node)
    fleet.add_agent(node, old.place, old.service, Incarnation(5))
    fleet.run(14.0)
    host = fleet.agents[node]
    assert host.record.incarnation > old.incarnation
    assert all_agents_usable(fleet)


def test_paused_server_is_removed_and_rejoins_as_a_new_incarnation() -> None:
    fleet = settled_fleet()
    node = min(fleet.agents)
    before = fleet.agents[node].record.incarnation
    fleet.net.pause(node)
    fleet.run(4.0)
    assert unused_everywhere(fleet, node)
    fleet.net.resume(node)
    fleet.run(3.0)
    assert fleet.agents[node].record.incarnation > before
    assert all_agents_usable(fleet)


def test_short_pause_removes_no_server() -> None:
    fleet = settled_fleet()
    node = min(fleet.agents)
    fleet.net.pause(node)
    for _ in range(5):
        fleet.run(0.1)
        assert all_agents_usable(fleet)
    fleet.net.resume(node)
    fleet.run(5.0)
    assert "silent" not in reasons(fleet)


def test_paused_balancer_places_nothing_until_tables_are_compared() -> None:
    fleet = settled_fleet()
    node = max(fleet.balancers)
    fleet.net.pause(node)
    fleet.run(10.0)
    leaving = min(fleet.agents)
    fleet.net.dispatch(leaving, Leave())
    fleet.run(2.0)
    fleet.kill(leaving)
    fleet.net.resume(node)
    assert fleet.usable(node) == set()
    for _ in range(50):
        fleet.run(0.1)
        assert leaving not in fleet.usable(node)
    assert fleet.usable(node) == set(fleet.agents)


def test_paused_balancer_declares_no_live_server_dead() -> None:
    fleet = settled_fleet()
    node = max(fleet.balancers)
    fleet.net.pause(node)
    fleet.run(10.0)
    fleet.net.resume(node)
    fleet.run(10.0)
    dead = {e.server for _, _, e in fleet.explained if e.reason == "silent"}
    assert not dead & set(fleet.agents)


def test_outdated_record_does_not_revive_a_server() -> None:
    fleet = settled_fleet()
    node = min(fleet.agents)
    old = fleet.agents[node].record
    fleet.kill(node)
    fleet.run(5.0)
    received = Received(max(fleet.balancers), News(pack([old])))
    for balancer in fleet.balancers:
        fleet.net.dispatch(balancer, received)
    fleet.run(5.0)
    assert unused_everywhere(fleet, node)


def test_server_refutes_a_record_that_marks_it_as_gone() -> None:
    fleet = settled_fleet()
    node = min(fleet.agents)
    record = fleet.agents[node].record
    gossip = News(pack([gone(record)]))
    received = Received(max(fleet.balancers), gossip)
    fleet.net.dispatch(min(fleet.balancers), received)
    fleet.run(5.0)
    assert all_agents_usable(fleet)
    assert fleet.agents[node].record.incarnation > record.incarnation


def test_all_balancers_are_replaced_while_the_store_is_unavailable() -> None:
    fleet = settled_fleet()
    fleet.store.down = True
    places = {n: h.record.place for n, h in fleet.balancers.items()}
    for node in places:
        fleet.kill(node)
    for number, (node, place) in enumerate(places.items()):
        kept = node if node in fleet.seeds else NodeId(f"10.9.0.{number}:7")
        fleet.add_balancer(kept, place)
    fleet.run(15.0)
    assert fleet.complete()
    assert all_agents_usable(fleet)


def test_new_balancer_finds_its_peers_through_the_store() -> None:
    fleet = settled_fleet()
    fleet.seeds = ()
    fleet.add_balancer(NodeId("10.9.0.1:7"), PlaceName("n-a"))
    fleet.run(15.0)  # reads are spread over 10 s
    assert fleet.complete()


def test_isolated_balancer_declares_nobody_dead() -> None:
    fleet = settled_fleet()
    isolated = max(fleet.balancers)
    fleet.net.cut = lambda a, b: isolated in (a, b)
    fleet.run(10.0)
    assert fleet.usable(isolated) == set()
    declared = {n for _, n, e in fleet.explained if e.reason == "silent"}
    assert isolated not in declared


def test_groups_that_started_apart_merge() -> None:
    fleet = Fleet(4, 6, 63, dict(list(REGIONS.items())[1:3]))
    fleet.run(12.0)
    assert fleet.complete()

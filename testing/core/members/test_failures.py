"""Failures that membership is made for, in small fleets."""

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

SMALL = {
    PlaceName("n-a"): RegionName("n"),
    PlaceName("n-b"): RegionName("n"),
    PlaceName("s-a"): RegionName("s"),
    PlaceName("s-b"): RegionName("s"),
}


def settled(balancers: int = 8, agents: int = 24, seed: int = 1) -> Fleet:
    fleet = Fleet(balancers, agents, seed, SMALL)
    fleet.settle()
    assert fleet.complete()
    return fleet


def all_usable(fleet: Fleet) -> bool:
    agents = set(fleet.agents)
    return all(fleet.usable(node) == agents for node in fleet.balancers)


def nobody_uses(fleet: Fleet, server: NodeId) -> bool:
    return all(server not in fleet.usable(node) for node in fleet.balancers)


def reasons(fleet: Fleet) -> set[str]:
    return {event.reason for _, _, event in fleet.explained}


@pytest.mark.parametrize("seed", range(4))
def test_dead_server_is_out_everywhere_in_three_seconds(seed: int) -> None:
    fleet = settled(seed=seed)
    victim = min(fleet.agents)
    fleet.kill(victim)
    fleet.run(3.0)
    assert nobody_uses(fleet, victim)
    assert all_usable(fleet)


def test_store_outage_takes_no_live_server_out() -> None:
    fleet = settled()
    fleet.store.down = True
    fleet.net.faults.loss = 0.1
    for _ in range(300):
        fleet.run(1.0)
        assert all_usable(fleet)


@pytest.mark.parametrize("seed", range(4))
def test_drain_is_known_everywhere_in_three_seconds(seed: int) -> None:
    fleet = settled(seed=seed)
    fleet.net.faults.loss = 0.1
    victim = max(fleet.agents)
    fleet.net.dispatch(victim, DrainAsked(600.0))
    fleet.run(3.0)
    assert nobody_uses(fleet, victim)
    states = {
        server.state
        for host in fleet.balancers.values()
        for server in host.view.servers
        if server.id == victim
    }
    assert states == {ServerState.DRAINING}


def test_goodbye_is_known_everywhere_within_a_second() -> None:
    fleet = settled()
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


def test_goodbye_is_not_taken_back() -> None:
    fleet = settled()
    victim = max(fleet.agents)
    fleet.net.faults.duplicate = 0.5
    fleet.net.dispatch(victim, Leave())
    fleet.run(20.0)
    assert fleet.agents[victim].record.state is ServerState.GONE
    assert nobody_uses(fleet, victim)


def test_region_cut_off_is_not_taken_for_dead() -> None:
    fleet = settled()
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
    assert all_usable(fleet)
    assert "silent" not in reasons(fleet)


def test_server_that_left_during_a_cut_gets_nothing_after_it() -> None:
    fleet = settled()
    fleet.cut([PlaceName("n-a"), PlaceName("n-b")])
    fleet.run(10.0)
    leaving = min(fleet.agents)
    fleet.net.dispatch(leaving, Leave())
    fleet.run(5.0)
    fleet.kill(leaving)
    fleet.heal()
    for _ in range(100):
        fleet.run(0.1)
        assert nobody_uses(fleet, leaving)
    assert all_usable(fleet)


def test_lost_place_gets_no_new_work_and_its_servers_stay_known() -> None:
    fleet = settled()
    lost = fleet.in_place(PlaceName("s-b"))
    servers = [node for node in lost if node in fleet.agents]
    for node in lost:
        fleet.net.kill(node)
        fleet.balancers.pop(node, None)
    fleet.run(3.0)
    for server in servers:
        assert nobody_uses(fleet, server)
    host = next(iter(fleet.balancers.values()))
    assert {s.id for s in host.view.servers} == set(fleet.agents)


def test_restart_with_a_lower_start_number_wins() -> None:
    fleet = settled()
    node = min(fleet.agents)
    old = fleet.agents[node].record
    fleet.kill(node)
    fleet.add_agent(node, old.place, old.service, Incarnation(5))
    fleet.run(14.0)
    host = fleet.agents[node]
    assert host.record.incarnation > old.incarnation
    assert all_usable(fleet)


def test_paused_server_is_out_and_comes_back_as_a_new_incarnation() -> None:
    fleet = settled()
    node = min(fleet.agents)
    before = fleet.agents[node].record.incarnation
    fleet.net.pause(node)
    fleet.run(4.0)
    assert nobody_uses(fleet, node)
    fleet.net.resume(node)
    fleet.run(3.0)
    assert fleet.agents[node].record.incarnation > before
    assert all_usable(fleet)


def test_short_pause_takes_no_server_out() -> None:
    fleet = settled()
    node = min(fleet.agents)
    fleet.net.pause(node)
    for _ in range(5):
        fleet.run(0.1)
        assert all_usable(fleet)
    fleet.net.resume(node)
    fleet.run(5.0)
    assert "silent" not in reasons(fleet)


def test_paused_balancer_places_nothing_until_it_compared() -> None:
    fleet = settled()
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


def test_paused_balancer_takes_no_live_server_out() -> None:
    fleet = settled()
    node = max(fleet.balancers)
    fleet.net.pause(node)
    fleet.run(10.0)
    fleet.net.resume(node)
    fleet.run(10.0)
    dead = {e.server for _, _, e in fleet.explained if e.reason == "silent"}
    assert not dead & set(fleet.agents)


def test_old_news_revives_no_server() -> None:
    fleet = settled()
    node = min(fleet.agents)
    old = fleet.agents[node].record
    fleet.kill(node)
    fleet.run(5.0)
    told = Received(max(fleet.balancers), News(pack([old])))
    for balancer in fleet.balancers:
        fleet.net.dispatch(balancer, told)
    fleet.run(5.0)
    assert nobody_uses(fleet, node)


def test_server_refutes_news_of_its_death() -> None:
    fleet = settled()
    node = min(fleet.agents)
    record = fleet.agents[node].record
    news = News(pack([gone(record)]))
    told = Received(max(fleet.balancers), news)
    fleet.net.dispatch(min(fleet.balancers), told)
    fleet.run(5.0)
    assert all_usable(fleet)
    assert fleet.agents[node].record.incarnation > record.incarnation


def test_all_balancers_replaced_with_the_store_down() -> None:
    fleet = settled()
    fleet.store.down = True
    places = {n: h.record.place for n, h in fleet.balancers.items()}
    for node in places:
        fleet.kill(node)
    for number, (node, place) in enumerate(places.items()):
        kept = node if node in fleet.seeds else NodeId(f"10.9.0.{number}:7")
        fleet.add_balancer(kept, place)
    fleet.run(15.0)
    assert fleet.complete()
    assert all_usable(fleet)


def test_new_balancer_finds_its_peers_by_the_store() -> None:
    fleet = settled()
    fleet.seeds = ()
    fleet.add_balancer(NodeId("10.9.0.1:7"), PlaceName("n-a"))
    fleet.run(15.0)  # reads are spread over 10 s
    assert fleet.complete()


def test_isolated_balancer_declares_nobody_dead() -> None:
    fleet = settled()
    alone = max(fleet.balancers)
    fleet.net.cut = lambda a, b: alone in (a, b)
    fleet.run(10.0)
    assert fleet.usable(alone) == set()
    said = {n for _, n, e in fleet.explained if e.reason == "silent"}
    assert alone not in said


def test_groups_that_started_apart_meet() -> None:
    fleet = Fleet(4, 6, 63, dict(list(SMALL.items())[1:3]))
    fleet.run(12.0)
    assert fleet.complete()

"""Places that operators evacuate while processes and the store fail."""

import msgspec
import pytest

from medlar_core.packets import Flag
from medlar_core.relay.segment import Segment

from ..kit import ANNOUNCE_INTERVAL_S
from ..kit import CONFIGURATION
from ..kit import DESK
from ..kit import Fleet
from ..kit import node
from ..kit import table
from .kit import A
from .kit import B
from .kit import C
from .kit import IN_FORCE_S
from .kit import LATE_ANSWERS_S
from .kit import WithoutPlaces
from .kit import ZoneFleet


@pytest.fixture
def fleet():
    return ZoneFleet()


def test_an_evacuated_place_gets_no_new_flow_and_keeps_its_open_ones(fleet):
    opened = [fleet.open(number) for number in range(24)]
    fleet.next_flow = 100
    kept = [f for f in opened if fleet.place(fleet.holder(f)) == A]
    assert kept
    fleet.evacuate(A)
    fleet.run(IN_FORCE_S)
    assert fleet.share_after(A) == (0, 40)
    fleet.assert_answered(kept, by=1)
    fleet.take_back(A)
    fleet.run(IN_FORCE_S)
    got, answered = fleet.share_after(A)
    assert got > 0
    assert answered == 40


def test_all_agents_know_an_evacuation_within_a_fraction_of_a_second():
    fleet = ZoneFleet(agents=60, balancers=20)
    fleet.evacuate(B)
    fleet.run(0.3)
    assert fleet.share_after(B, gap_s=0.001) == (0, 40)


def test_other_agents_place_what_an_evacuated_agent_declines(fleet):
    """Balancers that do not know it yet still send flows there."""
    unaware = node("balancer", 5)
    cut = {(n, unaware) for n in fleet.balancers}
    fleet.world.cut_links.update(cut)
    fleet.world.without_store.add(unaware)
    fleet.evacuate(A)
    fleet.run(0.5)
    assert fleet.share_after(A, balancers=[5]) == (0, 40)


def test_a_copy_of_a_syn_reaches_the_server_that_accepted_it(fleet):
    opened = fleet.load()
    kept = [f for f in opened if fleet.place(fleet.holder(f)) == A]
    fleet.evacuate(A)
    fleet.run(0.3)
    before = fleet.accepted(A)
    for flow_id in kept:
        fleet.syn(flow_id, retransmission=1)
    fleet.run(0.2)
    assert fleet.reset_count(kept) == 0
    assert all(fleet.packet_count(f, Flag.SYN) >= 2 for f in kept)
    # The server answers a copy of a SYN that it has accepted.
    assert fleet.accepted(A) <= before + len(kept)


def test_a_caller_that_uses_its_port_again_opens_a_new_flow(fleet):
    opened = fleet.load()
    ended = [f for f in opened if fleet.place(fleet.holder(f)) == A]
    for flow_id in ended:
        reset = Segment(b"", Flag.RST, *flow_id, 0, 151, 501)
        fleet.world.send_packet(node("balancer", 0), reset)
    fleet.evacuate(A)
    fleet.run(IN_FORCE_S)
    for address, server in fleet.world.servers.items():
        if fleet.place(address) == A:
            server.flows.clear()
    before = fleet.accepted(A)
    for flow_id in ended:
        fleet.syn(flow_id)
    fleet.run(0.2)
    assert fleet.accepted(A) == before
    assert all(fleet.place(fleet.holder(f)) != A for f in ended)


def test_a_place_is_evacuated_and_taken_back_within_a_second(fleet):
    fleet.evacuate(A)
    fleet.run(0.2)
    fleet.take_back(A)
    fleet.run(IN_FORCE_S)
    assert fleet.share_after(A)[0] > 0
    fleet.evacuate(A)
    fleet.take_back(A)
    fleet.evacuate(A)
    fleet.run(IN_FORCE_S)
    assert fleet.share_after(A) == (0, 40)


def test_two_places_in_turn(fleet):
    fleet.evacuate(A)
    fleet.run(IN_FORCE_S)
    fleet.evacuate(B)
    fleet.run(0.1)
    fleet.take_back(A)
    fleet.run(IN_FORCE_S)
    assert fleet.share_after(B)[0] == 0
    assert fleet.share_after(A)[0] > 0


def test_history_is_compacted_between_the_request_and_its_end(fleet):
    fleet.evacuate(A)
    fleet.run(0.02)
    fleet.compact()
    fleet.run(IN_FORCE_S)
    assert fleet.share_after(A)[0] == 0
    fleet.world.store.down = True
    fleet.run(0.1)
    fleet.world.store.down = False
    fleet.take_back(A)
    fleet.compact()
    fleet.run(2 * IN_FORCE_S)
    assert fleet.share_after(A)[0] > 0


def test_the_watches_are_cut_as_a_place_is_evacuated(fleet):
    fleet.world.store.down = True
    fleet.run(0.5)
    fleet.world.store.down = False
    fleet.evacuate(A)
    fleet.run(2 * IN_FORCE_S)
    assert fleet.share_after(A)[0] == 0


def test_the_store_turns_the_first_watchers_away(fleet):
    fleet.world.without_store.update(node("balancer", n) for n in range(3))
    fleet.run(5.0)
    fleet.evacuate(A)
    fleet.run(IN_FORCE_S)
    assert fleet.share_after(A)[0] == 0


def test_an_agent_that_restarts_in_an_evacuated_place(fleet):
    fleet.evacuate(A)
    fleet.run(IN_FORCE_S)
    for address in [a for a in fleet.agents if fleet.place(a) == A]:
        fleet.kill(address)
        fleet.start_agent(address)
    assert fleet.share_after(A, count=200)[0] == 0


def test_all_processes_restart_in_the_gap(fleet):
    fleet.evacuate(A)
    fleet.run(0.01)
    fleet.restart_all()
    assert fleet.share_after(A, count=300)[0] == 0
    assert fleet.share_after(A) == (0, 40)


def test_a_balancer_restarts_without_the_store(fleet):
    fleet.evacuate(A)
    fleet.run(IN_FORCE_S)
    fleet.world.store.down = True
    fleet.kill(node("balancer", 4))
    seeds = (node("balancer", 0),)
    balancer = fleet.start_balancer(node("balancer", 4), seeds)
    fleet.run(4.0)
    assert balancer.routes.version
    assert fleet.share_after(A, balancers=[4]) == (0, 40)


def test_all_balancers_are_lost_while_a_place_is_evacuated(fleet):
    fleet.evacuate(A)
    fleet.run(IN_FORCE_S)
    for address in list(fleet.balancers):
        fleet.kill(address)
    fleet.run(LATE_ANSWERS_S)
    fleet.take_back(A)
    fleet.evacuate(B)
    for address in list(fleet.balancers):
        fleet.start_balancer(address)
    fleet.run(IN_FORCE_S)
    assert fleet.share_after(B) == (0, 40)
    assert fleet.share_after(A)[0] > 0


def test_the_store_is_away_from_the_first_second(fleet):
    """Without it nobody has a configuration, so no flow can open."""
    fleet.evacuate(A)
    fleet.lose_power()
    fleet.world.store.down = True
    fleet.start_all()
    fleet.run(5.0)
    assert fleet.share_after(A) == (0, 0)
    fleet.world.store.down = False
    fleet.run(4.0)
    assert fleet.share_after(A) == (0, 40)


def test_an_agent_beside_balancers_of_an_earlier_version_takes_flows(fleet):
    for address, balancer in fleet.balancers.items():
        fleet.world.nodes[address] = WithoutPlaces(balancer)
    for address in fleet.agents:
        fleet.kill(address)
        fleet.start_agent(address)
    fleet.run(1.0)
    assert fleet.share_after(A, count=20)[1] == 0
    fleet.run(3.0)
    assert fleet.share_after(A)[1] == 40


def test_a_server_drains_while_its_place_is_evacuated(fleet):
    fleet.evacuate(A)
    fleet.run(IN_FORCE_S)
    drained = next(a for a in fleet.agents if fleet.place(a) == A)
    fleet.drain(drained)
    fleet.run(0.5)
    fleet.take_back(A)
    fleet.run(IN_FORCE_S)
    before = len(fleet.world.servers[drained].accepted)
    assert fleet.share_after(A)[0] > 0
    assert len(fleet.world.servers[drained].accepted) == before


def test_flows_are_refused_at_once_if_all_places_are_evacuated(fleet):
    for place in (A, B, C):
        fleet.evacuate(place)
    fleet.run(IN_FORCE_S)
    opened = fleet.load(count=20)
    assert fleet.reset_count(opened) == 20
    assert not any(fleet.packet_count(f, Flag.SYN) for f in opened)


def test_an_evacuation_is_in_force_beside_many_configurations(fleet):
    large = table(2, *[DESK] * 1_400)
    fleet.configure(large)
    fleet.evacuate(A)
    for version in range(3, 9):
        fleet.configure(msgspec.structs.replace(large, version=version))
        fleet.run(0.2)
    assert fleet.share_after(A)[0] == 0


def test_without_the_feature_only_the_configuration_is_watched():
    fleet = Fleet()
    watched = []
    call = fleet.world.store.call

    def recording_call(op, answered):
        watched.append(getattr(op, "prefix", ""))
        call(op, answered)

    fleet.world.store.call = recording_call
    fleet.write("op/evacuate/a", "{}")
    fleet.run(2 * ANNOUNCE_INTERVAL_S + IN_FORCE_S)
    assert CONFIGURATION in watched
    assert "op/" not in watched
    assert fleet.open(1)

"""Packets that reach a balancer before its configuration."""

from medlar_core.packets import Flag
from medlar_core.relay.early_packets import MAX_AGE_S
from medlar_core.relay.early_packets import MAX_PACKETS

from .kit import Fleet
from .kit import flow
from .kit import node


def test_a_syn_that_comes_before_the_configuration_opens_its_flow():
    fleet = Fleet()
    fleet.kill(node("balancer", 1))
    fleet.start_balancer(node("balancer", 1))
    fleet.syn(flow(1), by=1)
    fleet.run(0.3)
    assert fleet.packet_count(flow(1), Flag.SYN) == 1


def test_packets_that_waited_too_long_for_a_configuration_are_dropped():
    fleet = Fleet()
    fleet.world.store.down = True
    fleet.kill(node("balancer", 1))
    balancer = fleet.start_balancer(node("balancer", 1))
    fleet.world.cut_links.update(
        (node("balancer", number), node("balancer", 1)) for number in (0, 2)
    )
    fleet.syn(flow(1), by=1)
    fleet.run(MAX_AGE_S)
    fleet.world.cut_links.clear()
    fleet.run(2.0)
    assert balancer.routes.table is not None
    assert fleet.packet_count(flow(1), Flag.SYN) == 0


def test_a_bounded_number_of_packets_waits_for_a_configuration():
    fleet = Fleet()
    fleet.kill(node("balancer", 1))
    fleet.start_balancer(node("balancer", 1))
    for number in range(MAX_PACKETS + 10):
        fleet.syn(flow(number), by=1)
    fleet.run(0.3)
    opened = [
        number
        for number in range(MAX_PACKETS + 10)
        if fleet.packet_count(flow(number), Flag.SYN)
    ]
    assert 0 < len(opened) <= MAX_PACKETS

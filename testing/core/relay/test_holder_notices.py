"""Notices of which server holds a flow, to balancers and agents."""

import itertools

from medlar_core.events import Received
from medlar_core.ids import Seconds
from medlar_core.packets import Flag
from medlar_core.relay.flow_table import FlowTable
from medlar_core.relay.messages import FlowHeld
from medlar_core.relay.segment import FlowId

from .kit import Fleet
from .kit import flow
from .kit import node


def _open_after_declines(fleet: Fleet) -> list[FlowId]:
    """Open flows that all servers but one have declined."""
    for number in range(len(fleet.agents) - 1):
        fleet.world.servers[node("agent", number)].capacity = 0
    return [fleet.open(number) for number in range(30)]


def _send_data(fleet: Fleet, flows: list[FlowId], by: int) -> None:
    """Send three packets of each flow through a balancer."""
    for number, flow_id in itertools.product(range(3), flows):
        fleet.data(flow_id, by, 1_000 * (by + 1) + 100 * number)
        fleet.run(0.01)


def _lookup_count(fleet: Fleet) -> int:
    return sum("unknown flow" in event.text for event in fleet.world.events)


def test_a_restarted_balancer_is_notified_again_of_holders():
    fleet = Fleet()
    opened = [fleet.open(number) for number in range(30)]
    fleet.start_balancer(node("balancer", 0))
    fleet.run(3.0)
    _send_data(fleet, opened, by=0)
    forwarded = fleet.world.forward_count
    _send_data(fleet, opened, by=0)
    assert fleet.world.forward_count - forwarded == 3 * len(opened)


def test_a_flow_that_many_servers_declined_is_looked_up_once():
    fleet = Fleet(agents=8)
    opened = _open_after_declines(fleet)
    for by in (1, 2):
        _send_data(fleet, opened, by)
    fleet.start_balancer(node("balancer", 0))
    fleet.run(3.0)
    _send_data(fleet, opened, by=0)
    assert _lookup_count(fleet) <= len(opened)
    for flow_id in opened:
        assert fleet.packet_count(flow_id, Flag.RST) == 0
        assert fleet.answer_count(flow_id) == 10


def test_a_notice_of_another_agent_ends_no_lookup():
    fleet = Fleet()
    fleet.data(flow(1))
    fleet.run(0.0015)
    notice = FlowHeld(flow(1), node("agent", 1))
    for address in fleet.agents:
        fleet.world.dispatch(address, Received(node("agent", 9), notice))
    fleet.run(0.2)
    assert _lookup_count(fleet) == 1
    assert fleet.packet_count(flow(1), Flag.RST) == 1


def test_a_notice_changes_a_holder_only_if_it_comes_from_that_holder():
    table = FlowTable(node("agent", 0))
    table.put(Seconds(0.0), flow(1), node("agent", 1))
    entry = table.get(flow(1))
    table.redirect(flow(1), node("agent", 2), node("agent", 3))
    assert entry.holder == node("agent", 1)
    table.redirect(flow(1), node("agent", 1), node("agent", 0))
    assert entry.holder == node("agent", 1)
    table.redirect(flow(1), node("agent", 1), node("agent", 3))
    assert entry.holder == node("agent", 3)

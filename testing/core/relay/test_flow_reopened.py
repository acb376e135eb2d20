"""Flows that end and open again from the same address of the caller."""

from medlar_core.packets import Flag
from medlar_core.relay.events import ServerPacketReceived
from medlar_core.relay.segment import Segment
from medlar_fakes.relay import encode
from medlar_fakes.relay import FakeCodec

from .kit import Fleet
from .kit import FLOW_IDLE_S


def end(fleet, flow_id):
    """Let both ends send their last packets."""
    holder = fleet.holder(flow_id)
    last = Segment(b"", int(Flag.FIN | Flag.ACK), *flow_id[::-1], 0, 600, 0)
    sent = FakeCodec().decode(encode(last))
    fleet.world.dispatch(holder, ServerPacketReceived(sent))
    fin = Segment(b"", int(Flag.FIN | Flag.ACK), *flow_id, 0, 151, 601)
    fleet._call(0, fin)
    fleet.run(0.01)
    fleet.world.servers[holder].flows.discard(flow_id)


def open_count(fleet):
    now = fleet.world.clock.now
    return sum(a.gauges(now)["flows_open"] for a in fleet.agents.values())


def test_a_flow_opened_again_stays_open_while_it_idles():
    fleet = Fleet(3, 2)
    fleet.run(FLOW_IDLE_S + 3)
    flow_id = fleet.open(1)
    end(fleet, flow_id)
    fleet.run(0.5)
    fleet.open(1)
    fleet.run(FLOW_IDLE_S - 5.0)
    assert open_count(fleet) == 1
    fleet.assert_answered([flow_id], by=1)

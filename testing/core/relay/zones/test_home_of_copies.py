"""Copies of SYNs whose route is confined to some regions."""

from medlar_core.packets import Flag
from medlar_core.relay.events import PacketForwarded
from medlar_core.relay.lookup.forwarded import ForwardedPacket
from medlar_core.relay.lookup.forwarded import ForwardReason
from medlar_core.relay.scope import FlowScope
from medlar_core.relay.segment import Segment
from medlar_core.relay.terms import FlowTerms
from medlar_fakes.relay import encode
from medlar_fakes.relay import FakeCodec

from ..kit import DESK
from ..kit import flow
from ..kit import FLOW_IDLE_S
from ..kit import node
from .kit import A
from .kit import B
from .kit import C
from .kit import ZoneFleet
from .test_homes import NORTH
from .test_homes import SETTINGS


def routed_syn(flow_id, retransmission=0, timeout_ms=0):
    segment = Segment(b"", int(Flag.SYN), *flow_id, 0, 100, retransmission)
    data = encode(segment)
    packet = ForwardedPacket(
        reason=int(ForwardReason.ROUTED),
        service=DESK,
        data=data,
        scope=FlowScope(1, FLOW_IDLE_S),
        terms=FlowTerms(timeout_ms=timeout_ms),
        regions=(NORTH,),
    )
    return PacketForwarded(
        node("balancer", 0), packet, FakeCodec().decode(data)
    )


def lose_placed(fleet, owner):
    """Lose the SYNs that an agent places by the loads it has asked for."""
    fleet.world.cut_links.update((owner, n) for n in fleet.agents)
    fleet.run(0.05)
    fleet.world.cut_links.clear()


def test_a_copy_forwarded_to_the_holder_keeps_its_regions():
    """The first SYN is lost, and the place is evacuated meanwhile."""
    fleet = ZoneFleet(zones=SETTINGS)
    owner = node("agent", 2)
    started = [flow(number) for number in range(30)]
    for flow_id in started:
        fleet.world.dispatch(owner, routed_syn(flow_id))
    lose_placed(fleet, owner)
    fleet.evacuate(A)
    fleet.run(0.2)
    for flow_id in started:
        fleet.world.dispatch(owner, routed_syn(flow_id, 1))
        fleet.run(0.02)
    fleet.run(0.3)
    assert fleet.accepted(B) > 0
    assert (fleet.accepted(A), fleet.accepted(C)) == (0, 0)


def test_a_copy_is_not_held_outside_the_regions_of_its_route():
    """The owner's server returns while all of the region drain."""
    fleet = ZoneFleet(agents=3, zones=SETTINGS)
    owner = node("agent", 2)
    fleet.drain(owner)
    waiting = flow(1)
    fleet.world.dispatch(owner, routed_syn(waiting, timeout_ms=3_000))
    lose_placed(fleet, owner)
    fleet.start_server(owner)
    fleet._announce(owner)
    fleet.drain(node("agent", 0))
    fleet.drain(node("agent", 1))
    fleet.run(0.1)
    fleet.world.dispatch(owner, routed_syn(waiting, 1, 3_000))
    fleet.run(0.2)
    assert fleet.accepted(C) == 0

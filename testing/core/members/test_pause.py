"""Tests of events that were queued while a process was paused."""

from typing import Any

from medlar_bench.members.whole import whole
from medlar_core.events import PacketArrived
from medlar_core.events import ViewChanged
from medlar_core.ids import NodeId
from medlar_core.packets import Flag
from medlar_core.packets import Packet


def test_packet_queued_in_a_pause_is_not_placed_by_the_old_view() -> None:
    fleet = whole(3, 1)
    fleet.settle()
    node = max(fleet.balancers)
    host: Any = fleet.net.hosts[node]
    flows = host.parts[2]
    seen: list[float] = []
    original_reduce = flows.reduce

    def spy(now: float, event: Any) -> list[Any]:
        match event:
            case ViewChanged(view=view):
                seen.append(sum(server.warmth for server in view.servers))
            case PacketArrived():
                seen.append(-1.0)
        return original_reduce(now, event)

    flows.reduce = spy
    fleet.net.pause(node)
    packet = Packet("10.5.0.1:4000", "10.200.0.0:8000", Flag.SYN)
    fleet.net.dispatch(NodeId(node), PacketArrived(packet))
    fleet.run(5.0)
    fleet.net.resume(node)
    assert seen[:2] == [0.0, -1.0]

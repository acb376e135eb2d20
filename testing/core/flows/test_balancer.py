import random

import pytest

from medlar_bench.flows.world import address_of
from medlar_bench.flows.world import make_cfg
from medlar_bench.flows.world import make_service
from medlar_core.effects import Forward
from medlar_core.effects import Record
from medlar_core.effects import Return
from medlar_core.events import ConfigurationChanged
from medlar_core.events import PacketArrived
from medlar_core.events import Received
from medlar_core.events import ViewChanged
from medlar_core.flows.balancer import BalancerFlows
from medlar_core.flows.messages import Hint
from medlar_core.flows.wire import pack_short_keys
from medlar_core.flows.wire import short_key
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.ids import Version
from medlar_core.members.view import Server
from medlar_core.members.view import ServerState
from medlar_core.members.view import View
from medlar_core.packets import Flag
from medlar_core.packets import flow_key
from medlar_core.packets import Packet

NODE = NodeId("10.1.0.1:9000")
NOW = Seconds(1.0)
NAME = ServiceName("one")
ADDRESS = address_of("one")
CALLER = "198.18.0.1:5000"


def view_of(*nodes: str) -> View:
    servers = tuple(
        Server(
            NodeId(node),
            Incarnation(1),
            NAME,
            PlaceName("a"),
            ServerState.READY,
        )
        for node in nodes
    )
    return View(1, servers, ())


def make_balancer(*nodes: str) -> BalancerFlows:
    flows = BalancerFlows(NODE, PlaceName("a"), random.Random(1))
    cfg = make_cfg(make_service("one"))
    flows.reduce(NOW, ConfigurationChanged(cfg, Version(1)))
    flows.reduce(NOW, ViewChanged(view_of(*nodes)))
    return flows


def send(
    flows: BalancerFlows, flags: Flag, address: str = ADDRESS
) -> list[object]:
    packet = Packet(CALLER, address, int(flags))
    return list(flows.reduce(NOW, PacketArrived(packet)))


def reasons(effects: list[object]) -> list[str]:
    return [e.event.reason for e in effects if isinstance(e, Record)]


def test_every_balancer_forwards_a_flow_to_the_same_agent() -> None:
    nodes = [f"10.2.0.{i}:9000" for i in range(7)]
    (one,) = send(make_balancer(*nodes), Flag.SYN)
    (two,) = send(make_balancer(*reversed(nodes)), Flag.ACK)
    assert isinstance(one, Forward) and isinstance(two, Forward)
    assert one.dst == two.dst
    assert one.packet.service == NAME
    assert one.packet.via == NODE


def test_new_flow_to_an_unknown_address_is_reset_with_a_reason() -> None:
    effects = send(make_balancer("10.2.0.1:1"), Flag.SYN, "192.0.2.1:1")
    assert isinstance(effects[0], Return)
    assert effects[0].packet.flags == Flag.RST
    assert reasons(effects) == ["unknown-address"]


def test_open_flow_to_an_unknown_address_is_not_reset() -> None:
    effects = send(make_balancer("10.2.0.1:1"), Flag.ACK, "192.0.2.1:1")
    assert reasons(effects) == ["unknown-address"]
    assert not any(isinstance(e, Return) for e in effects)


def test_open_flow_to_a_withdrawn_address_is_reset() -> None:
    flows = make_balancer("10.2.0.1:1")
    cfg = make_cfg(make_service("two"))
    flows.reduce(NOW, ConfigurationChanged(cfg, Version(2)))
    effects = send(flows, Flag.ACK)
    assert isinstance(effects[0], Return)


@pytest.mark.parametrize("flags, resets", [(Flag.SYN, 1), (Flag.ACK, 0)])
def test_without_servers_only_new_flows_are_reset(
    flags: Flag, resets: int
) -> None:
    effects = send(make_balancer(), flags)
    assert sum(isinstance(e, Return) for e in effects) == resets
    assert reasons(effects) == ["no-server"]


def test_hint_routes_open_flows_only_and_is_explained() -> None:
    flows = make_balancer("10.2.0.1:1", "10.2.0.2:1")
    holder = NodeId("10.2.0.3:1")
    marks = pack_short_keys([short_key(flow_key(CALLER, ADDRESS))])
    hint = Hint(holder, Incarnation(1), 1, NODE, NAME, marks)
    flows.reduce(NOW, Received(holder, hint))
    (new,) = send(flows, Flag.SYN)
    (old,) = send(flows, Flag.ACK)
    assert isinstance(new, Forward) and isinstance(old, Forward)
    assert old.dst == holder
    assert new.dst != holder
    answer = flows.explain(NOW, CALLER, ADDRESS)
    assert (answer.server, answer.hinted) == (holder, holder)
    assert new.dst == answer.candidates[0]

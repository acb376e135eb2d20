"""Measures what open flows cost an agent and what a drain costs all."""

import msgspec

from medlar_core.ids import ServiceName

from .capacity_measure import deep_bytes
from .capacity_measure import load_of
from .capacity_measure import Meter
from .world.fleet import Fleet

FLOWS = (50, 100, 200, 400)
"""Open flows per server in the runs."""
BALANCERS = 3
SERVERS = 4
SERVICE = "feeds"
OPEN_S = 30.0
DRAIN_S = 60.0


class FlowCost(msgspec.Struct, frozen=True):
    """What a number of open flows on one agent costs.

    ``state`` is the bytes of its flow part. ``agent_bytes`` are the
    control bytes of the leaving agent in the minute in which it was
    drained, ``balancer_bytes`` those of a mean balancer, and
    ``balancer_state`` the bytes of a balancer's flow part after it.
    """

    flows: int
    state: int
    agent_bytes: float
    balancer_bytes: float
    balancer_state: int


def measure_flows(per_server: int, seed: int) -> FlowCost:
    """Open flows, weigh one agent and drain it."""
    fleet = Fleet(seed)
    world = fleet.world
    meter = Meter(world)
    fleet.add_places(("a", "b", "c"))
    fleet.add_balancers(BALANCERS)
    fleet.add_service(SERVICE, SERVERS)
    fleet.become_ready()
    fleet.open_feeds(SERVICE, per_server * SERVERS)
    world.run(OPEN_S)
    leaving = world.live(ServiceName(SERVICE))[0]
    flows = len(world.feeds.held_by(leaving.node))
    state = deep_bytes(world.role(leaving.node).flows)
    fleet.drain(leaving)
    meter.restart()
    world.run(DRAIN_S)
    load = load_of(world, meter)
    net = world.net
    sent = net.bytes_sent[leaving.node] + net.bytes_recv[leaving.node]
    balancer = world.role(world.live(None)[0].node)
    return FlowCost(
        flows=flows,
        state=state,
        agent_bytes=sent,
        balancer_bytes=load.balancer.bytes_mean * DRAIN_S,
        balancer_state=deep_bytes(balancer.flows),
    )

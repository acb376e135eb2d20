"""Assembles the reducer of a balancer from its parts."""

import random

import msgspec

from .compose import CompositeReducer
from .config.replication import ConfigReplicator
from .events import PacketArrived
from .events import Reducer
from .flows.balancer import BalancerFlows
from .ids import Incarnation
from .ids import NodeId
from .ids import PlaceName
from .members.balancer import BalancerMembers
from .members.record import Record
from .members.record import Role
from .members.view import ServerState
from .requests.balancer import BalancerRequests
from .storeaccess.access import StoreAccess


class BalancerParams(msgspec.Struct, frozen=True):
    """Startup parameters of a balancer."""

    node: NodeId
    place: PlaceName
    incarnation: Incarnation
    seeds: tuple[NodeId, ...]


class Balancer(msgspec.Struct, frozen=True):
    """The complete reducer of a balancer and its parts."""

    reducer: Reducer
    members: BalancerMembers
    config: ConfigReplicator
    flows: BalancerFlows
    requests: BalancerRequests


def make_balancer(params: BalancerParams, rng: random.Random) -> Balancer:
    """Return the reducer of one balancer."""
    record = Record(
        params.node,
        Role.BALANCER,
        params.incarnation,
        0,
        ServerState.READY,
        params.place,
    )
    members = BalancerMembers(record, params.seeds, rng, StoreAccess(rng))
    config = ConfigReplicator(params.node, params.seeds, rng)
    flows = BalancerFlows(params.node, params.place, rng)
    requests = BalancerRequests(params.node, params.place, rng)
    reducer = CompositeReducer(
        (config, members, flows, requests), {PacketArrived: flows}
    )
    return Balancer(reducer, members, config, flows, requests)

"""The reducer of a balancer, made of its parts."""

import random

import msgspec

from .compose import CompositeReducer
from .config.spread import ConfigSpread
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
    """What a balancer is told of itself at its start."""

    node: NodeId
    place: PlaceName
    incarnation: Incarnation
    seeds: tuple[NodeId, ...]


class Balancer(msgspec.Struct, frozen=True):
    """The whole reducer and the parts in it."""

    reducer: Reducer
    members: BalancerMembers
    config: ConfigSpread
    flows: BalancerFlows
    requests: BalancerRequests


def make_balancer(me: BalancerParams, rng: random.Random) -> Balancer:
    """Return the reducer of one balancer."""
    record = Record(
        me.node, Role.BALANCER, me.incarnation, 0, ServerState.READY, me.place
    )
    members = BalancerMembers(record, me.seeds, rng, StoreAccess(rng))
    config = ConfigSpread(me.node, me.seeds, rng)
    flows = BalancerFlows(me.node, me.place, rng)
    requests = BalancerRequests(me.node, me.place, rng)
    reducer = CompositeReducer(
        (config, members, flows, requests), {PacketArrived: flows}
    )
    return Balancer(reducer, members, config, flows, requests)

"""The reducer of an agent, made of its parts."""

import random

import msgspec

from .compose import CompositeReducer
from .config.spread import ConfigSpread
from .events import PacketArrived
from .events import Reducer
from .events import ServerSent
from .flows.agent import AgentFlows
from .ids import Incarnation
from .ids import NodeId
from .ids import PlaceName
from .ids import ServiceName
from .members.agent import AgentMembers
from .members.record import Record
from .members.record import Role
from .members.view import ServerState
from .requests.agent import AgentRequests
from .storeaccess.access import StoreAccess


class AgentParams(msgspec.Struct, frozen=True):
    """What an agent is told of itself and its server at its start."""

    node: NodeId
    place: PlaceName
    incarnation: Incarnation
    seeds: tuple[NodeId, ...]
    service: ServiceName
    weight: float = 1.0


class Agent(msgspec.Struct, frozen=True):
    """The whole reducer and the parts in it."""

    reducer: Reducer
    members: AgentMembers
    config: ConfigSpread
    flows: AgentFlows
    requests: AgentRequests


def make_agent(me: AgentParams, rng: random.Random) -> Agent:
    """Return the reducer of one agent."""
    record = Record(
        me.node,
        Role.SERVER,
        me.incarnation,
        0,
        ServerState.ANNOUNCED,
        me.place,
        me.service,
        me.weight,
    )
    members = AgentMembers(record, me.seeds, rng, StoreAccess(rng))
    config = ConfigSpread(me.node, me.seeds, rng)
    flows = AgentFlows(me.node, me.service, me.place, me.incarnation, rng)
    requests = AgentRequests(
        me.node, me.service, me.place, me.incarnation, rng
    )
    reducer = CompositeReducer(
        (config, members, flows, requests),
        {PacketArrived: flows, ServerSent: flows},
    )
    return Agent(reducer, members, config, flows, requests)

"""Assembles the reducer of an agent from its parts."""

import random

import msgspec

from .compose import CompositeReducer
from .config.replication import ConfigReplicator
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
    """Startup parameters of an agent and its local server."""

    node: NodeId
    place: PlaceName
    incarnation: Incarnation
    seeds: tuple[NodeId, ...]
    service: ServiceName
    weight: float = 1.0


class Agent(msgspec.Struct, frozen=True):
    """The complete reducer of an agent and its parts."""

    reducer: Reducer
    members: AgentMembers
    config: ConfigReplicator
    flows: AgentFlows
    requests: AgentRequests


def make_agent(params: AgentParams, rng: random.Random) -> Agent:
    """Return the reducer of one agent."""
    record = Record(
        params.node,
        Role.SERVER,
        params.incarnation,
        0,
        ServerState.ANNOUNCED,
        params.place,
        params.service,
        params.weight,
    )
    members = AgentMembers(record, params.seeds, rng, StoreAccess(rng))
    config = ConfigReplicator(params.node, params.seeds, rng)
    flows = AgentFlows(
        params.node, params.service, params.place, params.incarnation, rng
    )
    requests = AgentRequests(
        params.node, params.service, params.place, params.incarnation, rng
    )
    reducer = CompositeReducer(
        (config, members, flows, requests),
        {PacketArrived: flows, ServerSent: flows},
    )
    return Agent(reducer, members, config, flows, requests)

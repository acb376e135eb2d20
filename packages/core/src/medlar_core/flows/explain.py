"""Responses to operators who ask how a flow is routed."""

import msgspec

from ..ids import NodeId
from ..ids import ServiceName
from ..ids import Version


class BalancerAnswer(msgspec.Struct, frozen=True, tag="flows.balancer"):
    """How a balancer routes a flow, and why.

    ``server`` is empty if packets are refused. ``version`` is that of the
    view in force, ``configuration`` that of the configuration in force.
    """

    service: ServiceName
    bucket: int
    server: NodeId
    version: Version
    configuration: Version
    candidates: tuple[NodeId, ...]
    hinted: NodeId
    why: str


class AgentAnswer(msgspec.Struct, frozen=True, tag="flows.agent"):
    """What an agent does with packets of a flow, and why.

    ``state`` is held, half-open, elsewhere or unknown. ``next_hops`` are
    the agents to which a packet is forwarded, in order of preference.
    ``told`` is the owner to which the flow was announced.
    """

    service: ServiceName
    bucket: int
    state: str
    owner: NodeId
    told: NodeId
    next_hops: tuple[NodeId, ...]
    version: Version
    why: str

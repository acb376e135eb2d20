"""Factories for the real reducers and for those of simple policies."""

import random

import msgspec

from medlar_core.config.model import Service
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.requests.agent import AgentRequests
from medlar_core.requests.balancer import BalancerRequests
from medlar_core.requests.policy import POLICY
from medlar_core.requests.policy import Policy

from .baseline import Order
from .baseline import Pick
from .baseline import plain
from .fleet import MakeAgent
from .fleet import MakeBalancer
from .workloads import PLACES


class Makers(msgspec.Struct, frozen=True):
    """Factories for the balancers and agents of one policy."""

    name: str
    balancer: MakeBalancer
    agent: MakeAgent


def ours(policy: Policy = POLICY) -> Makers:
    """Return the factories of the real reducers."""

    def balancer(node: NodeId, rng: random.Random) -> BalancerRequests:
        return BalancerRequests(node, PLACES[0], rng, policy)

    def agent(
        node: NodeId, service: Service, inc: Incarnation, rng: random.Random
    ) -> AgentRequests:
        return AgentRequests(node, service.name, PLACES[0], inc, rng, policy)

    return Makers("ours", balancer, agent)


def simple(
    order: Order, pick: Pick, name: str, waits_for_deadline: bool = True
) -> Makers:
    """Return the factories of a simple policy."""
    return Makers(name, *plain(order, pick, waits_for_deadline))


FIFO = simple(Order.FIFO, Pick.LEAST, "FIFO")
STRICT = simple(Order.STRICT, Pick.LEAST, "strict priority")
STATIC = simple(Order.STATIC, Pick.LEAST, "static limits")
RETRY = simple(
    Order.FIFO, Pick.RANDOM, "retry on timeout", waits_for_deadline=False
)
STALE = simple(Order.FIFO, Pick.TWO_STALE, "two random choices, stale load")
LEAST = simple(Order.FIFO, Pick.LEAST, "least connections")
ENDPOINT = simple(Order.FIFO, Pick.ENDPOINT, "trust the endpoint")

"""Factories of the reducers that a world runs."""

import random
from typing import Protocol

from medlar_core.events import Reducer
from medlar_core.flows.agent import AgentFlows
from medlar_core.flows.balancer import BalancerFlows
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import ServiceName


class ReducerFactory(Protocol):
    """Makes balancers and agents of the design or of a baseline."""

    def balancer(
        self, node: NodeId, place: PlaceName, rng: random.Random
    ) -> Reducer:
        """Return a new balancer."""
        ...

    def agent(
        self,
        node: NodeId,
        service: ServiceName,
        place: PlaceName,
        incarnation: Incarnation,
        rng: random.Random,
    ) -> Reducer:
        """Return a new agent."""
        ...


class DesignFactory:
    """Makes balancers and agents of the design under test."""

    def balancer(
        self, node: NodeId, place: PlaceName, rng: random.Random
    ) -> Reducer:
        """Return a balancer without per-flow state."""
        return BalancerFlows(node, place, rng)

    def agent(
        self,
        node: NodeId,
        service: ServiceName,
        place: PlaceName,
        incarnation: Incarnation,
        rng: random.Random,
    ) -> Reducer:
        """Return an agent that tracks the flows of its server."""
        return AgentFlows(node, service, place, incarnation, rng)

"""Queries of agents for the scope of a flow, until the store has answered."""

from collections.abc import Callable

from ...ids import NodeId
from ...ids import Seconds
from ..segment import FlowId

QUERY_TTL_S = 2.0
"""The agent has asked another balancer long before."""
MAX_QUERIES = 4_000


class ScopeQueries:
    """The queries that a balancer has not replied to.

    It replies by what the store held after the query, as another balancer
    may have opened the flow under a configuration that this one lacks.
    """

    def __init__(self) -> None:
        self._asked_at: dict[tuple[NodeId, FlowId], float] = {}

    def __len__(self) -> int:
        return len(self._asked_at)

    def add(self, now: Seconds, agent: NodeId, flow_id: FlowId) -> None:
        """Add a query; one that is repeated keeps its time."""
        if len(self._asked_at) < MAX_QUERIES:
            self._asked_at.setdefault((agent, flow_id), now)

    def pop_confirmed(
        self, now: Seconds, is_confirmed: Callable[[float], bool]
    ) -> list[tuple[NodeId, FlowId]]:
        """Return the queries to reply to, and forget those that are too old.

        ``is_confirmed`` tells whether the services that existed at a time
        are known.
        """
        ready = [
            query
            for query, asked_at in self._asked_at.items()
            if is_confirmed(asked_at)
        ]
        for query in ready:
            del self._asked_at[query]
        self._asked_at = {
            query: asked_at
            for query, asked_at in self._asked_at.items()
            if now - asked_at <= QUERY_TTL_S
        }
        return ready

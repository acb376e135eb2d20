"""Lookups in progress for the holders of flows.

Flow tables are caches, and a newly started agent has an empty one. To
find the holder of an unknown flow, an agent queries all agents of the
service and its local server at once. Servers bounce packets of flows that
they do not hold, so the replies either name the holder or prove that there
is none.
"""

import msgspec

from ...ids import NodeId
from ...ids import Seconds
from ..scope import FlowScope
from ..segment import FlowId
from ..segment import Segment
from .lookup_retries import LookupRequest

REPLY_TIMEOUT_S = 0.3
"""If replies are still missing after this, the next packet of the flow
starts the lookup again."""
SCOPE_TIMEOUT_S = 0.3
"""Another balancer is asked for the scope of a flow after this."""
LOOKUP_TTL_S = 1.0
MAX_QUEUED_PACKETS = 24
"""Packets of one flow queued for the replies: more than a caller has in
flight."""
MAX_LOOKUPS = 2_000


class Lookup(msgspec.Struct):
    """One lookup: the missing replies and the queued packets."""

    started_at: float
    awaiting: set[NodeId]
    """Agents that have not replied."""
    local_pending: bool
    """Whether the local server may still hold the flow."""
    view: int
    """The asker's view of the members when it sent the queries."""
    doubt: str
    """Why the flow may be held though all replies deny it; else empty."""
    request: LookupRequest
    packets: list[Segment]
    sent_to: set[NodeId]
    """Agents that were sent the first queued packet as the query."""
    acked_seq: int
    scope: FlowScope
    via: NodeId
    """The process to notify of the holder, empty for none."""
    delegates: frozenset[NodeId] = frozenset()
    """Agents of other services, each asked for a lookup in its service."""
    is_doubt_brief: bool = False
    """Whether the reason for the doubt is expected to pass soon."""
    is_route_searched: bool = True
    """Whether the other services of the route are searched as well."""
    asker: NodeId = NodeId("")
    """The agent that delegated this lookup, empty for none. It is told the
    result and decides on a reset."""
    scope_asked: NodeId = NodeId("")
    """The balancer that was asked for the scope, as no agent holds the flow;
    empty before that."""
    scope_asked_at: float = 0.0

    def packets_for(self, holder: NodeId, src: NodeId) -> list[Segment]:
        """Return the queued packets that the holder does not have yet.

        ``src`` has told the holder; a delegate has forwarded the first one.
        """
        has_first = holder in self.sent_to or src in self.delegates
        return self.packets[1:] if has_first else self.packets

    @property
    def is_complete(self) -> bool:
        """Whether all replies, including the local server's, are there."""
        return not self.awaiting and not self.local_pending

    @property
    def is_own_service_complete(self) -> bool:
        """Whether all replies of this agent's own service are there."""
        return self.awaiting <= self.delegates and not self.local_pending

    @property
    def missing(self) -> list[NodeId]:
        """The processes whose replies are missing."""
        if self.scope_asked:
            return [self.scope_asked]
        return sorted(self.awaiting)


class IncompleteLookup(msgspec.Struct, frozen=True):
    """An expired lookup and the replies that it lacked."""

    flow_id: FlowId
    request: LookupRequest
    missing: tuple[NodeId, ...]
    """The processes that did not reply; empty if it was the local server."""


class LookupTable:
    """The lookups of one agent."""

    def __init__(self) -> None:
        self._lookups: dict[FlowId, Lookup] = {}

    def add(self, flow_id: FlowId, lookup: Lookup) -> None:
        """Add a lookup; replaces an earlier one of the same flow."""
        self._lookups[flow_id] = lookup

    def is_full(self) -> bool:
        """Return whether no further lookup may start."""
        return len(self._lookups) >= MAX_LOOKUPS

    def get(self, flow_id: FlowId) -> Lookup | None:
        """Return the lookup of a flow, timed out or not."""
        return self._lookups.get(flow_id)

    def active(self, now: Seconds, flow_id: FlowId) -> Lookup | None:
        """Return the lookup of a flow unless it has timed out."""
        lookup = self._lookups.get(flow_id)
        if lookup is None or now - lookup.started_at > REPLY_TIMEOUT_S:
            return None
        return lookup

    def remove(self, flow_id: FlowId) -> Lookup | None:
        """Remove and return the lookup of a flow."""
        return self._lookups.pop(flow_id, None)

    def expire(self, now: Seconds) -> list[IncompleteLookup]:
        """Remove lookups that are older than their TTL.

        Returns those that lack replies.
        """
        late = {
            flow_id: lookup
            for flow_id, lookup in self._lookups.items()
            if now - lookup.started_at > LOOKUP_TTL_S
        }
        for flow_id in late:
            del self._lookups[flow_id]
        return [
            IncompleteLookup(
                flow_id,
                lookup.request,
                tuple(lookup.missing),
            )
            for flow_id, lookup in late.items()
            if not lookup.is_complete or lookup.scope_asked
        ]

    def without_scope(self, now: Seconds) -> list[tuple[FlowId, Lookup]]:
        """Return those whose balancer has not told the scope in time."""
        return [
            (flow_id, lookup)
            for flow_id, lookup in self._lookups.items()
            if lookup.scope_asked
            and now - lookup.scope_asked_at > SCOPE_TIMEOUT_S
        ]

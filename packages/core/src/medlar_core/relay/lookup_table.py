"""Lookup for the holder of a flow that an agent does not know.

Tables are caches: an agent that starts knows nothing. It asks all agents
of the service at once, its own server among them. Servers return what
they do not hold, so that the answers either find the holder or prove
that there is none.
"""

import msgspec

from ..ids import NodeId
from ..ids import Seconds
from .segment import FlowId
from .segment import Segment

ANSWER_S = 0.3
"""A search without all answers is begun anew by the next packet."""
FORGET_S = 1.0
PACKETS_KEPT = 24
"""Packets of one flow that wait for the answers: more than a caller has
in flight."""
SEARCHES_KEPT = 2_000


class Lookup(msgspec.Struct):
    """One search: who has not answered, and the packets that wait."""

    began: float
    awaited: set[NodeId]
    own: bool
    """Whether the own server has not answered."""
    provable: bool
    """Whether all who may hold the flow were asked."""
    waiting: list[Segment]
    given: set[NodeId]
    """Who has the first packet that waits."""
    acked: int
    via: NodeId
    """The balancer that asked, to be told the holder."""

    def left_for(self, holder: NodeId) -> list[Segment]:
        """Return the packets that the holder does not have yet."""
        return self.waiting[1:] if holder in self.given else self.waiting

    @property
    def proves_absence(self) -> bool:
        """Whether nobody holds the flow."""
        return self.provable and not self.awaited and not self.own


class IncompleteLookup(msgspec.Struct, frozen=True):
    """A search that ended without all answers, and who gave none."""

    flow_id: FlowId
    awaited: tuple[NodeId, ...]
    own: bool


class LookupTable:
    """The searches of one agent."""

    def __init__(self) -> None:
        self._open: dict[FlowId, Lookup] = {}

    def begin(self, flow_id: FlowId, search: Lookup) -> None:
        """Keep a search, in place of an older one of the flow."""
        self._open[flow_id] = search

    def full(self) -> bool:
        """Return whether no further search may begin."""
        return len(self._open) >= SEARCHES_KEPT

    def get(self, flow_id: FlowId) -> Lookup | None:
        """Return the search of a flow."""
        return self._open.get(flow_id)

    def running(self, now: Seconds, flow_id: FlowId) -> Lookup | None:
        """Return the search of a flow if answers may still come."""
        search = self._open.get(flow_id)
        if search is None or now - search.began > ANSWER_S:
            return None
        return search

    def end(self, flow_id: FlowId) -> Lookup | None:
        """Forget and return the search of a flow."""
        return self._open.pop(flow_id, None)

    def expire(self, now: Seconds) -> list[IncompleteLookup]:
        """Forget and return searches that not all have answered."""
        late = [
            IncompleteLookup(
                flow_id, tuple(sorted(search.awaited)), search.own
            )
            for flow_id, search in self._open.items()
            if now - search.began > FORGET_S
        ]
        for found in late:
            del self._open[found.flow_id]
        return late

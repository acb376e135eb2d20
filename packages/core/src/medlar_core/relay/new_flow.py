"""A new flow on its way to a server."""

import msgspec

from ..ids import NodeId
from .scope import FlowScope
from .segment import FlowId
from .segment import Segment
from .terms import DEFAULT_TERMS
from .terms import FlowTerms


class NewFlow(msgspec.Struct, frozen=True):
    """A SYN to be placed at a server.

    ``declined`` names agents whose servers did not accept it, ``via`` is
    the balancer that received it from the caller; ``hops`` counts the
    agents that forwarded it. ``low_priority`` is set if room has to be left
    at a server for flows of higher priority; ``scope`` is what a balancer
    told of it, ``terms`` and ``regions`` are those of its route.
    """

    flow_id: FlowId
    segment: Segment
    declined: tuple[NodeId, ...]
    via: NodeId
    hops: int
    low_priority: bool
    scope: FlowScope
    terms: FlowTerms = DEFAULT_TERMS
    regions: tuple[str, ...] = ()

    def declined_by(self, node: NodeId) -> "NewFlow":
        """Return the same flow with one more agent in ``declined``."""
        declined = (*self.declined, node)
        return msgspec.structs.replace(self, declined=declined)

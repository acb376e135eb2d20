"""Requests that a balancer has open."""

import msgspec

from ..config.model import Kind
from ..ids import AttemptId
from ..ids import NodeId
from .events import RequestCame


class OpenRequest(msgspec.Struct):
    """An open request and its open attempts, with their agents.

    ``tried`` are the agents that got an attempt and ``attempts`` counts
    the attempts. ``refused_by_home`` is set once the home of its key
    refused it for lack of capacity, ``may_have_run`` once an attempt may
    have run and ``hedged`` once a second attempt was started in parallel.
    """

    request: RequestCame
    kind: Kind
    due: float
    sent_at: float = 0.0
    attempts: int = 0
    open: dict[AttemptId, NodeId] = msgspec.field(default_factory=dict)
    tried: set[NodeId] = msgspec.field(default_factory=set)
    refused_by_home: bool = False
    may_have_run: bool = False
    hedged: bool = False

    @property
    def keyed(self) -> bool:
        """Whether the key determines which agent may run the request."""
        return self.request.key is not None and not self.kind.idempotent

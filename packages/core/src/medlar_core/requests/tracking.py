"""Requests that a balancer has open."""

import msgspec

from ..config.model import Kind
from ..ids import AttemptId
from ..ids import NodeId
from .events import RequestCame


class OpenRequest(msgspec.Struct):
    """An open request and its attempts under way, with their agents.

    ``tried`` are the agents that had an attempt and ``attempts`` counts
    them. ``settled`` is set once the home of its key refused it,
    ``unsure`` once an attempt may have run and ``hedged`` once a second
    attempt was made beside the first.
    """

    came: RequestCame
    kind: Kind
    due: float
    sent_at: float = 0.0
    attempts: int = 0
    open: dict[AttemptId, NodeId] = msgspec.field(default_factory=dict)
    tried: set[NodeId] = msgspec.field(default_factory=set)
    settled: bool = False
    unsure: bool = False
    hedged: bool = False

    @property
    def keyed(self) -> bool:
        """Whether its key decides where it may run."""
        return self.came.key is not None and not self.kind.idempotent

"""Introduces a new agent to its peers before it accepts new flows."""

from ..effects import Send
from ..ids import Incarnation
from ..ids import NodeId
from ..ids import Seconds
from .limits import INTRODUCTION_TIMEOUT_S
from .limits import LOOKUP_FANOUT
from .limits import RETRANSMIT_S
from .messages import Introduced


class Introduction:
    """Introduces an agent to all members of its service, once.

    A flow may be reset if every known member denies it. So an agent
    accepts new flows only after the other members have acknowledged it, or
    after a time-out within which silent members are detected as dead.
    """

    def __init__(self, incarnation: Incarnation) -> None:
        self.done = False
        self._msg = Introduced(incarnation)
        self._acked: set[NodeId] = set()
        self._ends_at: float | None = None
        self._next_at = 0.0

    def acked(self, src: NodeId) -> None:
        """Record that a member has acknowledged the introduction."""
        self._acked.add(src)

    def due(self, now: Seconds, members: list[NodeId]) -> list[Send]:
        """Return the introductions to send now to these members."""
        if self.done:
            return []
        if self._ends_at is None:
            self._ends_at = now + INTRODUCTION_TIMEOUT_S
        targets = members[:LOOKUP_FANOUT]
        unacked = [i for i in targets if i not in self._acked]
        self.done = not unacked or now >= self._ends_at
        if self.done or now < self._next_at:
            return []
        self._next_at = now + RETRANSMIT_S / 2
        return [Send(node, self._msg) for node in unacked]

"""Makes a new agent known to the others before it takes new flows."""

from ..effects import Send
from ..ids import Incarnation
from ..ids import NodeId
from ..ids import Seconds
from .limits import INTRODUCTION_S
from .limits import LOCATE_FANOUT
from .limits import RETRY_S
from .messages import Introduced


class Introduction:
    """Tells an agent's name to all members of its service, once.

    A flow may be reset when every known member denies it. So an agent
    takes new flows only when the others have its name, or when those
    that did not answer had time to be found dead.
    """

    def __init__(self, incarnation: Incarnation) -> None:
        self.done = False
        self._msg = Introduced(incarnation)
        self._acked: set[NodeId] = set()
        self._ends: float | None = None
        self._next_at = 0.0

    def acked(self, src: NodeId) -> None:
        """Note that a member has the name."""
        self._acked.add(src)

    def due(self, now: Seconds, members: list[NodeId]) -> list[Send]:
        """Return the introductions to send now to these members."""
        if self.done:
            return []
        if self._ends is None:
            self._ends = now + INTRODUCTION_S
        near = members[:LOCATE_FANOUT]
        left = [i for i in near if i not in self._acked]
        self.done = not left or now >= self._ends
        if self.done or now < self._next_at:
            return []
        self._next_at = now + RETRY_S / 2
        return [Send(node, self._msg) for node in left]

"""Choice of the balancer that an agent asks for the scope of a flow."""

from ...ids import NodeId
from ...ids import Seconds
from ..members import Members

AVOIDED_S = 5.0
"""A balancer that has not replied is not asked for this long while there are
others: it may be cut off from the store."""


class ScopeSources:
    """The balancers that may be asked, and those that did not reply."""

    def __init__(self, members: Members) -> None:
        self._members = members
        self._avoided_until: dict[NodeId, float] = {}
        self._rotation = 0

    def avoid(self, now: Seconds, balancer: NodeId) -> None:
        """Ask others first, as a balancer has not replied."""
        self._avoided_until[balancer] = now + AVOIDED_S

    def record_reply(self, balancer: NodeId) -> None:
        """Record that a balancer replies."""
        self._avoided_until.pop(balancer, None)

    def choose(self, now: Seconds, preferred: NodeId) -> NodeId:
        """Return the balancer to ask, empty if none is known.

        ``preferred`` is the one that forwarded the packet, empty if it came
        through an agent.
        """
        if preferred and not self._is_avoided(now, preferred):
            return preferred
        known = list(self._members.balancers)
        replying = [n for n in known if not self._is_avoided(now, n)]
        candidates = replying or known
        if not candidates:
            return NodeId("")
        self._rotation += 1
        return candidates[self._rotation % len(candidates)]

    def _is_avoided(self, now: Seconds, balancer: NodeId) -> bool:
        return self._avoided_until.get(balancer, 0.0) > now

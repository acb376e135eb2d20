"""Flows that stay where they are although their bucket moved."""

from ..ids import FlowKey
from ..ids import NodeId
from ..ids import Seconds
from .announce import Announcer
from .held import FlowTable
from .held import Held
from .limits import LATE_S
from .limits import REFRESH_S
from .services import Services

_NONE = NodeId("")


class Displaced:
    """Decides which flows of an agent are news to whom.

    A flow whose bucket another agent owns is told to that owner, and
    again to the next when the bucket moves on or the owner restarts.
    """

    def __init__(
        self,
        node: NodeId,
        services: Services,
        flows: FlowTable,
        announcer: Announcer,
        refresh_at: float,
    ) -> None:
        self._node = node
        self._services = services
        self._flows = flows
        self._announcer = announcer
        self._refresh_at = refresh_at
        self._late: dict[FlowKey, float] = {}

    def opened(
        self, now: Seconds, key: FlowKey, held: Held, by: NodeId
    ) -> None:
        """Tell of a new flow, after a while if its owner sent it here.

        That owner knows where it went, and most flows end soon.
        """
        owner = self._services.owner(held.address, key)
        if owner != by or owner is None:
            self.update(key, held)
            return
        held.told = owner
        self._hint(key, held)
        self._late[key] = now + LATE_S

    def update(self, key: FlowKey, held: Held) -> None:
        """Tell a flow's owner of it, if that is another one than before."""
        owner = self._services.owner(held.address, key) or _NONE
        if owner == self._node:
            owner = _NONE
        if held.told == owner:
            return
        if not held.told and owner:
            self._hint(key, held)
        held.told = owner
        if owner:
            self._announcer.tell(owner, key)

    def _hint(self, key: FlowKey, held: Held) -> None:
        service = self._services.addresses.get(held.address)
        if service is not None:
            self._announcer.hint(service, key)

    def update_all(self) -> None:
        """Tell what changed after a change of tables or addresses."""
        for key, held in self._flows.established.items():
            self.update(key, held)

    def tell_restarted(self, restarted: frozenset[NodeId]) -> None:
        """Tell owners again that forgot what they were told."""
        for key, held in self._flows.established.items():
            if held.told in restarted:
                self._announcer.tell(held.told, key)

    def ended(self, key: FlowKey, held: Held | None) -> None:
        """Tell a flow's owner that the flow ended."""
        if self._late.pop(key, None) is not None:
            return
        if held is not None and held.told:
            self._announcer.tell_end(held.told, key)

    def refresh(self, now: Seconds) -> None:
        """Tell what waited, and all again before it is forgotten."""
        for key, at in list(self._late.items()):
            if at > now:
                break
            del self._late[key]
            held = self._flows.established.get(key)
            if held is not None and held.told:
                self._announcer.tell(held.told, key)
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_S
        for key, held in self._flows.established.items():
            if held.told:
                self._announcer.tell(held.told, key)
                self._hint(key, held)

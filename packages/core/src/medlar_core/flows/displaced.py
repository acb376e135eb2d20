"""Tracks which flows must be announced because another agent owns them."""

from ..ids import FlowKey
from ..ids import NodeId
from ..ids import Seconds
from .announce import Announcer
from .held import FlowTable
from .held import HeldFlow
from .limits import ANNOUNCE_DELAY_S
from .limits import REANNOUNCE_INTERVAL_S
from .services import Services

_NONE = NodeId("")


class DisplacedFlows:
    """Decides which displaced flows to announce, to whom and when.

    A flow is displaced if another agent owns its bucket. It is announced
    to that owner, and again when the owner changes or restarts.
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
        self._delayed: dict[FlowKey, float] = {}

    def flow_opened(
        self, now: Seconds, key: FlowKey, held: HeldFlow, forwarded_by: NodeId
    ) -> None:
        """Announce a new flow, with a delay if its owner forwarded it here.

        That owner already knows the location, and most flows end soon.
        """
        owner = self._services.owner(held.address, key)
        if owner != forwarded_by or owner is None:
            self.announce_if_moved(key, held)
            return
        held.announced_to = owner
        self._hint(key, held)
        self._delayed[key] = now + ANNOUNCE_DELAY_S

    def announce_if_moved(self, key: FlowKey, held: HeldFlow) -> None:
        """Announce a flow to its owner if the owner has changed."""
        owner = self._services.owner(held.address, key) or _NONE
        if owner == self._node:
            owner = _NONE
        if held.announced_to == owner:
            return
        if not held.announced_to and owner:
            self._hint(key, held)
        held.announced_to = owner
        if owner:
            self._announcer.announce(owner, key)

    def _hint(self, key: FlowKey, held: HeldFlow) -> None:
        service = self._services.addresses.get(held.address)
        if service is not None:
            self._announcer.add_hint(service, key)

    def announce_all(self) -> None:
        """Announce flows whose owner changed with the tables or addresses."""
        for key, held in self._flows.established.items():
            self.announce_if_moved(key, held)

    def announce_to_restarted(self, restarted: frozenset[NodeId]) -> None:
        """Announce flows again to owners whose directory a restart cleared."""
        for key, held in self._flows.established.items():
            if held.announced_to in restarted:
                self._announcer.announce(held.announced_to, key)

    def flow_ended(self, key: FlowKey, held: HeldFlow | None) -> None:
        """Notify the flow's owner that the flow ended."""
        if self._delayed.pop(key, None) is not None:
            return
        if held is not None and held.announced_to:
            self._announcer.announce_end(held.announced_to, key)

    def refresh(self, now: Seconds) -> None:
        """Send delayed announcements, and repeat all before they expire."""
        for key, at in list(self._delayed.items()):
            if at > now:
                break
            del self._delayed[key]
            held = self._flows.established.get(key)
            if held is not None and held.announced_to:
                self._announcer.announce(held.announced_to, key)
        if now < self._refresh_at:
            return
        self._refresh_at = now + REANNOUNCE_INTERVAL_S
        for key, held in self._flows.established.items():
            if held.announced_to:
                self._announcer.announce(held.announced_to, key)
                self._hint(key, held)

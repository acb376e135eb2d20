"""Chooses the agent that accepts a new flow."""

from ..ids import FlowKey
from ..ids import NodeId
from ..ids import Seconds
from ..ids import ServiceName
from ..packets import Packet
from .holder_locator import HolderLocator
from .limits import SPILL_HOPS
from .service_members import ServiceMembers
from .services import Services


class FlowPlacement:
    """Places new flows by bucket owner, capacity and load.

    The owner of the bucket accepts a flow unless it is draining, full or
    has far more flows than the mean; then another member is chosen.
    """

    def __init__(
        self,
        node: NodeId,
        service: ServiceName,
        services: Services,
        members: ServiceMembers,
        locator: HolderLocator,
    ) -> None:
        self._node = node
        self._service = service
        self._services = services
        self._members = members
        self._locator = locator

    def choose_agent(
        self,
        now: Seconds,
        key: FlowKey,
        packet: Packet,
        flows: int,
        closed: bool,
    ) -> NodeId | None:
        """Return the agent that is to accept a new flow, or None.

        A retransmitted SYN goes where the earlier one went. The first agent
        forwards a SYN to the bucket's owner, so that retransmissions on
        different paths reach the same agent. Later agents accept it if they
        have capacity, also if their views differ. ``flows`` is the number of
        flows open here; ``closed`` means that this agent accepts no new one.
        """
        earlier = self._locator.earlier_target(key, packet.asked)
        if earlier is not None and packet.hops < SPILL_HOPS:
            return earlier
        owner = self._services.owner_in(self._service, key)
        if packet.hops == 0 and owner not in (None, self._node):
            return owner
        if flows >= self.limit or closed:
            return self._choose_other(key, packet)
        overloaded = self._members.overloaded(now, flows)
        if overloaded and packet.hops < SPILL_HOPS:
            return (
                self._members.find_underloaded(key, packet.asked) or self._node
            )
        return self._node

    @property
    def limit(self) -> int:
        """Maximum number of flows of the local server."""
        return self._services.connections(self._service)

    def _choose_other(self, key: FlowKey, packet: Packet) -> NodeId | None:
        members = self._members
        found = members.find_underloaded(key, packet.asked)
        if found is not None:
            return found
        for node in members.ranked(key):
            if node == self._node or node in packet.asked:
                continue
            if members.accepting(node):
                return node
        return None

"""What a balancer tells with each packet about where its flow may be held."""

import msgspec

from .segment import Endpoint


class FlowScope(msgspec.Struct, frozen=True, array_like=True):
    """What has to be searched before a flow counts as held by no server.

    Each packet carries it from hop to hop. ``version`` is of the
    configuration that it was made under, 0 if no balancer has told it.
    ``idle_s`` is how long a flow may be idle: an agent that has dropped
    flows sooner does not know all flows of its server.
    """

    version: int
    idle_s: float


UNKNOWN_SCOPE = FlowScope(0, 0.0)
"""Of a packet that no balancer's scope came with."""


class KnownScopes:
    """The newest scope that an agent was told, by the address of its flows.

    For packets that come back from the local server, which carry none.
    """

    def __init__(self) -> None:
        self._by_address: dict[Endpoint, FlowScope] = {}

    def record(self, address: Endpoint, scope: FlowScope) -> None:
        """Record the scope of a packet unless a newer one is known."""
        known = self._by_address.get(address)
        if known is None or scope.version >= known.version:
            self._by_address[address] = scope

    def get(self, address: Endpoint) -> FlowScope:
        """Return the newest scope of the flows to an address."""
        return self._by_address.get(address, UNKNOWN_SCOPE)

"""What a balancer tells with each packet about where its flow may be held."""

import msgspec

from ..ids import NodeId
from ..ids import ServiceName
from .segment import Endpoint

MAX_ADDRESSES = 4_000
"""Addresses whose scopes an agent remembers; more than are configured."""


class ServiceOwner(msgspec.Struct, frozen=True, array_like=True):
    """A service, and an agent of it that looks flows up among its agents.

    ``owner`` is empty if the balancer knows no agent of the service.
    """

    service: ServiceName
    owner: NodeId


class FlowScope(msgspec.Struct, frozen=True, array_like=True):
    """What has to be searched before a flow counts as held by no server.

    Each packet carries it from hop to hop. ``version`` is of the
    configuration that it was made under, 0 if no balancer has told it.
    ``idle_s`` is how long a flow may be idle: an agent that has dropped
    flows sooner does not know all flows of its server. ``services`` are
    those that the flow's route names now, by its weights, or has named
    before; empty if it is only the one that the packet names.
    """

    version: int
    idle_s: float
    services: tuple[ServiceOwner, ...] = ()

    def others(self, service: ServiceName) -> tuple[ServiceOwner, ...]:
        """Return the services other than one."""
        return tuple(s for s in self.services if s.service != service)


UNKNOWN_SCOPE = FlowScope(0, 0.0)
"""Of a packet that no balancer's scope came with."""


class KnownScopes:
    """The newest scope that an agent was told, by the address of its flows.

    For packets that come back from the local server, which carry none, and
    for those of a balancer that lags behind.
    """

    def __init__(self) -> None:
        self._by_address: dict[Endpoint, FlowScope] = {}

    def record(self, address: Endpoint, scope: FlowScope) -> None:
        """Record the scope of a packet unless a newer one is known."""
        known = self._by_address.get(address)
        if known is None or scope.version >= known.version:
            self._by_address[address] = scope
        if len(self._by_address) > MAX_ADDRESSES:
            del self._by_address[next(iter(self._by_address))]

    def replace(self, address: Endpoint, scope: FlowScope) -> None:
        """Record a scope that the store has confirmed just now."""
        self._by_address[address] = scope

    def get(self, address: Endpoint) -> FlowScope:
        """Return the newest scope of the flows to an address."""
        return self._by_address.get(address, UNKNOWN_SCOPE)

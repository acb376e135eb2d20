"""Route table: the operators' configuration as the relay uses it."""

import msgspec

from ...ids import ServiceName
from ..segment import Endpoint
from ..segment import endpoint
from ..segment import FlowId
from ..terms import DEFAULT_TERMS
from ..terms import FlowTerms


class Share(msgspec.Struct, frozen=True):
    """Weight of a service in the choice for new flows of a route."""

    service: ServiceName
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Services that get new flows to an address, and their requests' terms.

    ``rank``, ``target_ms``, ``timeout_ms`` and ``is_idempotent`` are those
    of :class:`FlowTerms`. ``regions`` are those whose servers may get the
    flows, empty for all.
    """

    host: str
    port: int
    shares: tuple[Share, ...]
    rank: int = 0
    target_ms: int = 0
    timeout_ms: int = 0
    is_idempotent: bool = False
    regions: tuple[str, ...] = ()

    @property
    def terms(self) -> FlowTerms:
        """What a SYN to the route carries."""
        return FlowTerms(
            self.rank, self.target_ms, self.timeout_ms, self.is_idempotent
        )

    @property
    def address(self) -> Endpoint:
        """The address that callers connect to.

        :raises ValueError: if the host is not an IPv4 address.
        """
        return endpoint(self.host, self.port)


class ServiceLimits(msgspec.Struct, frozen=True):
    """What the servers of a service bear.

    ``cold_per_s`` is how many requests a second a cold server bears, 0 for
    any number.
    """

    service: ServiceName
    cold_per_s: float = 0.0


class RouteTable(msgspec.Struct, frozen=True):
    """One complete version of the configuration.

    ``idle_s`` is how long a flow may be idle before it is removed.
    """

    version: int
    routes: tuple[Route, ...]
    idle_s: float
    services: tuple[ServiceLimits, ...] = ()


class Routes:
    """The route table in force in this process."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self._by_address: dict[Endpoint, Route] = {}
        self._cold_per_s: dict[ServiceName, float] = {}
        self._lowest_rank: dict[ServiceName, int] = {}
        """Rank of a service's lowest-priority routes, for services whose
        routes differ in priority."""

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self.table.version if self.table else 0

    @property
    def idle_s(self) -> float:
        """How long a flow may be idle, 0 before the first configuration."""
        return self.table.idle_s if self.table else 0.0

    def apply(self, table: RouteTable) -> bool:
        """Put a route table in force if it is newer than the current one.

        Returns whether it is in force now.
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        by_address = {route.address: route for route in table.routes}
        self.table = table
        self._by_address = by_address
        self._lowest_rank = _lowest_rank(table)
        self._cold_per_s = {
            limits.service: limits.cold_per_s for limits in table.services
        }
        return True

    def cold_per_s(self, service: ServiceName) -> float:
        """Return how many requests a second a cold server of it bears.

        0 for any number.
        """
        return self._cold_per_s.get(service, 0.0)

    def terms(self, flow: FlowId) -> FlowTerms:
        """Return the terms of a flow's route."""
        route = self._by_address.get(flow.address)
        return route.terms if route is not None else DEFAULT_TERMS

    def regions(self, flow: FlowId) -> tuple[str, ...]:
        """Return the regions whose servers may get a flow, empty for all."""
        route = self._by_address.get(flow.address)
        return route.regions if route is not None else ()

    def has_low_priority(self, flow: FlowId, service: ServiceName) -> bool:
        """Return whether a flow's route has the lowest priority to a service.

        False if all routes to the service have the same priority.
        """
        route = self._by_address.get(flow.address)
        return route is not None and route.rank == self._lowest_rank.get(
            service
        )

    def services(self, flow: FlowId) -> tuple[ServiceName, ...]:
        """Return the services of a flow's route, starting with the chosen one.

        Empty if no route has the flow's address. The choice by weight
        depends only on the hash of the flow, so that all balancers choose
        the same.
        """
        route = self._by_address.get(flow.address)
        if route is None:
            return ()
        return _by_weight(route.shares, flow.key)


def _lowest_rank(table: RouteTable) -> dict[ServiceName, int]:
    ranks: dict[ServiceName, set[int]] = {}
    for route in table.routes:
        for share in route.shares:
            ranks.setdefault(share.service, set()).add(route.rank)
    return {
        service: max(found)
        for service, found in ranks.items()
        if len(found) > 1
    }


def _by_weight(shares: tuple[Share, ...], key: int) -> tuple[ServiceName, ...]:
    if len(shares) == 1:
        return (shares[0].service,)
    total = sum(share.weight for share in shares)
    if total <= 0:
        return tuple(share.service for share in shares)
    point = key % total
    for share in shares:
        if point < share.weight:
            break
        point -= share.weight
    others = (s.service for s in shares if s.service != share.service)
    return (share.service, *others)

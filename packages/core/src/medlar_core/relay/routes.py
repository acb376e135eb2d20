"""Route table: the operators' configuration as the relay uses it."""

from collections.abc import Iterable

import msgspec

from ..ids import ServiceName
from .messages import MovedRoute
from .segment import Endpoint
from .segment import endpoint
from .segment import FlowId


class Share(msgspec.Struct, frozen=True):
    """Weight of a service in the choice for new flows of a route."""

    service: ServiceName
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Services that get new flows to an address.

    ``rank`` is the priority, 0 the highest.
    """

    host: str
    port: int
    shares: tuple[Share, ...]
    rank: int = 0

    @property
    def address(self) -> Endpoint:
        """The address that callers connect to.

        :raises ValueError: if the host is not an IPv4 address.
        """
        return endpoint(self.host, self.port)


class RouteTable(msgspec.Struct, frozen=True):
    """One complete version of the configuration.

    ``idle_s`` is how long a flow may be idle before it is removed.
    """

    version: int
    routes: tuple[Route, ...]
    idle_s: float


class Routes:
    """The route table in force in this process."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self._by_address: dict[Endpoint, Route] = {}
        self._earlier_services: dict[Endpoint, tuple[ServiceName, ...]] = {}
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
        for address, route in self._by_address.items():
            if address in by_address:
                self._retain_services(address, route, by_address[address])
        self.table = table
        self._by_address = by_address
        self._lowest_rank = _lowest_rank(table)
        return True

    def has_low_priority(self, flow: FlowId, service: ServiceName) -> bool:
        """Return whether a flow's route has the lowest priority to a service.

        False if all routes to the service have the same priority.
        """
        route = self._by_address.get(flow.address)
        return route is not None and route.rank == self._lowest_rank.get(
            service
        )

    @property
    def moved(self) -> tuple[MovedRoute, ...]:
        """The routes that named other services under earlier versions."""
        return tuple(
            MovedRoute(address, services)
            for address, services in self._earlier_services.items()
            if services
        )

    def add_moved(self, moved: Iterable[MovedRoute]) -> None:
        """Add what another process knows of earlier versions."""
        for route in moved:
            known = self._earlier_services.get(route.address, ())
            services = sorted({*known, *route.services})
            self._earlier_services[route.address] = tuple(services)

    def _retain_services(
        self, address: Endpoint, old: Route, new: Route
    ) -> None:
        """Keep the services that a new route no longer names.

        They may still hold flows that were opened under the old route.
        """
        now = {share.service for share in new.shares}
        past = {share.service for share in old.shares} - now
        if past:
            known = set(self._earlier_services.get(address, ()))
            self._earlier_services[address] = tuple(
                sorted((past | known) - now)
            )

    def services(self, flow: FlowId) -> tuple[ServiceName, ...]:
        """Return the services of a flow's route, starting with the chosen one.

        The others may hold flows that were opened earlier. Empty if no
        route has the flow's address. The choice by weight depends only on
        the hash of the flow, so that all balancers choose the same.
        """
        route = self._by_address.get(flow.address)
        if route is None:
            return ()
        current = _by_weight(route.shares, flow.key)
        earlier = self._earlier_services.get(flow.address)
        if not earlier:
            return current
        return (*current, *(s for s in earlier if s not in current))


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

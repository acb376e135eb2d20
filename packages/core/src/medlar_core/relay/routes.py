"""The operators' configuration as the relay uses it."""

import msgspec

from ..ids import ServiceName
from .segment import Endpoint
from .segment import endpoint
from .segment import FlowId


class Share(msgspec.Struct, frozen=True):
    """A service's part of the new flows of a route."""

    service: ServiceName
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Where new flows to an address go; ``rank`` 0 is the most urgent."""

    host: str
    port: int
    shares: tuple[Share, ...]
    rank: int = 0

    @property
    def address(self) -> Endpoint:
        """The address that callers call.

        :raises ValueError: if the host is no IPv4 address.
        """
        return endpoint(self.host, self.port)


class RouteTable(msgspec.Struct, frozen=True):
    """One version of the configuration, in full.

    ``idle_s`` is how long a flow may be idle before it is forgotten.
    """

    version: int
    routes: tuple[Route, ...]
    idle_s: float


class Routes:
    """The newest configuration that this process knows."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self._by_address: dict[Endpoint, Route] = {}
        self._earlier: dict[Endpoint, tuple[ServiceName, ...]] = {}
        self._yielding: dict[ServiceName, int] = {}
        """Rank of the least urgent routes, where there are others."""

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.table.version if self.table else 0

    def take(self, table: RouteTable) -> bool:
        """Put a configuration in force unless a newer one is."""
        if self.table is not None and table.version <= self.table.version:
            return False
        by_address = {route.address: route for route in table.routes}
        for address, route in self._by_address.items():
            if address in by_address:
                self._keep(address, route, by_address[address])
        self.table = table
        self._by_address = by_address
        self._yielding = _yielding(table)
        return True

    def low_priority(self, flow: FlowId, service: ServiceName) -> bool:
        """Return whether a flow's route is the least urgent to a service.

        It is not where all routes to the service are equally urgent.
        """
        route = self._by_address.get(flow.address)
        return route is not None and route.rank == self._yielding.get(service)

    def _keep(self, address: Endpoint, old: Route, new: Route) -> None:
        """Remember services that an address no longer leads to."""
        now = {share.service for share in new.shares}
        past = {share.service for share in old.shares} - now
        if past:
            known = set(self._earlier.get(address, ()))
            self._earlier[address] = tuple(sorted((past | known) - now))

    def services(self, flow: FlowId) -> tuple[ServiceName, ...]:
        """Return the services of a flow's route, the one to use first.

        Those after the first may hold flows that opened earlier. Empty
        if no route has the flow's address. The choice by weight depends
        on the flow alone.
        """
        route = self._by_address.get(flow.address)
        if route is None:
            return ()
        earlier = self._earlier.get(flow.address, ())
        if len(route.shares) == 1:
            return (route.shares[0].service, *earlier)
        return (*_by_weight(route.shares, flow.key), *earlier)


def _yielding(table: RouteTable) -> dict[ServiceName, int]:
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

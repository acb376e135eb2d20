"""Record of the services that may hold flows, by address.

It lasts in the store: all balancers may end while flows are open at services
that the configuration no longer names.
"""

import msgspec

from ...ids import ServiceName
from ..segment import Endpoint
from ..zones.evacuation import EvacuatedPlaces
from .routes import Route
from .routes import RouteTable
from .routes import ServiceLimits

Services = dict[Endpoint, tuple[ServiceName, ...]]


class ScopeRecord(msgspec.Struct, frozen=True):
    """Each service that a route has named since its address was added.

    ``version`` is the newest configuration that was merged into it, and
    ``idle_s`` its idle timeout of flows. Addresses that this configuration
    does not have are left out.
    """

    version: int = 0
    idle_s: float = 0.0
    services: Services = {}

    def get(self, address: Endpoint) -> tuple[ServiceName, ...]:
        """Return the services recorded for an address."""
        return self.services.get(address, ())

    def merged(self, table: RouteTable) -> "ScopeRecord":
        """Return the record with a configuration added."""
        services: Services = {
            route.address: tuple(
                sorted({share.service for share in route.shares})
            )
            for route in table.routes
        }
        return self.union(ScopeRecord(table.version, table.idle_s, services))

    def union(self, other: "ScopeRecord") -> "ScopeRecord":
        """Return what two records name, for the addresses of the newer."""
        newer, older = self, other
        if other.version > self.version:
            newer, older = other, self
        services = {
            address: _joined(named, older.get(address))
            for address, named in newer.services.items()
        }
        return ScopeRecord(newer.version, newer.idle_s, services)

    def has_same_content(self, other: "ScopeRecord") -> bool:
        """Return whether two records differ in their version at most."""
        return self.idle_s == other.idle_s and self.services == other.services

    def lacks_service_of(self, table: RouteTable) -> bool:
        """Return whether a recorded address gets a service not recorded.

        Processes that know only the record would not search it for flows.
        """
        for route in table.routes:
            named = self.services.get(route.address)
            if named is None:
                continue
            if any(share.service not in named for share in route.shares):
                return True
        return False


def _joined(
    named: tuple[ServiceName, ...], others: tuple[ServiceName, ...]
) -> tuple[ServiceName, ...]:
    """Return the services that either names, in their order."""
    if named == others or not others:
        return named
    return tuple(sorted({*named, *others}))


class SharedRoutes(msgspec.Struct, frozen=True):
    """Configuration and record as one balancer gives them to another.

    ``record`` is what the sender knows the store to hold. It is missing
    before that was read, and from balancers of earlier versions, as are
    the ``evacuated`` places.
    """

    version: int
    routes: tuple[Route, ...]
    idle_s: float
    record: ScopeRecord | None = None
    services: tuple[ServiceLimits, ...] = ()
    evacuated: EvacuatedPlaces = EvacuatedPlaces()

    @property
    def table(self) -> RouteTable:
        """The configuration."""
        return RouteTable(
            self.version, self.routes, self.idle_s, self.services
        )


def share(
    table: RouteTable,
    record: ScopeRecord | None,
    evacuated: EvacuatedPlaces,
) -> SharedRoutes:
    """Return what a balancer gives to another one."""
    return SharedRoutes(
        table.version,
        table.routes,
        table.idle_s,
        record,
        table.services,
        evacuated,
    )

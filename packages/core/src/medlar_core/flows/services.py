"""Services, addresses and bucket tables as known to one process."""

from ..config.model import Configuration
from ..config.model import Protocol
from ..ids import NodeId
from ..ids import ServiceName
from ..ids import Version
from ..members.view import Server
from ..members.view import View
from .limits import FORMER_SERVICES_PER_ADDRESS
from .limits import MIN_VIEW_INTERVAL_S
from .limits import VIEW_INTERVAL_PER_SERVER_S
from .table import build
from .table import choose_candidates
from .table import share
from .table import Table


class Services:
    """Keeps the latest view and configuration and builds tables from them.

    ``former`` lists, for an address that moved, the services that had it
    before, the latest first. ``withdrawn`` are addresses that the
    configuration had once and has no longer.
    """

    def __init__(self) -> None:
        self.version = Version(0)
        self.addresses: dict[str, ServiceName] = {}
        self.former: dict[str, tuple[ServiceName, ...]] = {}
        self.withdrawn: set[str] = set()
        self.servers: dict[NodeId, Server] = {}
        self._members: dict[ServiceName, list[Server]] = {}
        self._buckets: dict[ServiceName, int] = {}
        self._connections: dict[ServiceName, int] = {}
        self._tables: dict[ServiceName, Table | None] = {}

    def apply_cfg(self, cfg: Configuration, version: Version) -> bool:
        """Apply a configuration; return False if it is not a newer one."""
        if version <= self.version:
            return False
        self.version = version
        addresses = {
            address.text: service.name
            for service in cfg.services
            for address in service.addresses
            if address.protocol is Protocol.FLOW
        }
        self._record_former(addresses)
        self.addresses = addresses
        self._buckets = {s.name: s.buckets for s in cfg.services}
        self._connections = {s.name: s.connections for s in cfg.services}
        self._tables.clear()
        return True

    def _record_former(self, addresses: dict[str, ServiceName]) -> None:
        for address, service in self.addresses.items():
            current = addresses.get(address)
            if current == service:
                continue
            if current is None:
                self.withdrawn.add(address)
            earlier = self.former.get(address, ())
            kept = tuple(s for s in earlier if s not in (service, current))
            self.former[address] = (service, *kept)[
                :FORMER_SERVICES_PER_ADDRESS
            ]
        self.withdrawn.difference_update(addresses)

    def apply_view(self, view: View) -> set[ServiceName]:
        """Apply a view; return the services whose table may change."""
        previous = self.servers
        servers: dict[NodeId, Server] = {}
        members: dict[ServiceName, list[Server]] = {}
        changed: set[ServiceName] = set()
        for server in view.servers:
            servers[server.id] = server
            members.setdefault(server.service, []).append(server)
            old = previous.get(server.id)
            if old is not server and (
                old is None or _affects_table(old, server)
            ):
                changed.add(server.service)
        for node in previous.keys() - servers.keys():
            changed.add(previous[node].service)
        self.servers = servers
        self._members = members
        for service in changed:
            self._tables.pop(service, None)
        return changed

    @property
    def min_view_interval_s(self) -> float:
        """Minimum time between two applied views, in seconds.

        It grows with the fleet, so that the cost per second does not.
        """
        return (
            MIN_VIEW_INTERVAL_S
            + len(self.servers) * VIEW_INTERVAL_PER_SERVER_S
        )

    def members(self, service: ServiceName) -> list[Server]:
        """Return the live servers of a service."""
        return self._members.get(service, [])

    def connections(self, service: ServiceName) -> int:
        """Return the maximum number of flows of one server of a service."""
        return self._connections.get(service, 0)

    def table(self, service: ServiceName) -> Table | None:
        """Return the table of a service, or None if it has no server."""
        if service not in self._tables:
            candidates = choose_candidates(self.members(service))
            buckets = self._buckets.get(service)
            found = (
                build(candidates, buckets) if candidates and buckets else None
            )
            self._tables[service] = found
        return self._tables[service]

    def owner(self, address: str, key: int) -> NodeId | None:
        """Return the owner of a new flow to an address, or None."""
        service = self.addresses.get(address)
        return None if service is None else self.owner_in(service, key)

    def owner_in(self, service: ServiceName, key: int) -> NodeId | None:
        """Return the owner of a flow key in a service's table, or None."""
        table = self.table(service)
        return None if table is None else table.owner(key)


def _affects_table(old: Server, new: Server) -> bool:
    """Return whether a change of a server can change the table."""
    return (
        old.state is not new.state
        or old.service != new.service
        or (
            (old.weight, old.warmth) != (new.weight, new.warmth)
            and share(old) != share(new)
        )
    )

"""Operations of the scenario language, carried out on a world.

A scenario refers to services by name and to servers and balancers by
their number, from 1. Each operation is a method here; the step files
only bind sentences to these methods.
"""

from collections.abc import Callable
from collections.abc import Sequence

import msgspec

from medlar_core.config.model import Address
from medlar_core.config.model import Configuration
from medlar_core.config.model import Kind
from medlar_core.config.model import Place
from medlar_core.config.model import Protocol
from medlar_core.config.model import Service
from medlar_core.ids import KindName
from medlar_core.ids import PlaceName
from medlar_core.ids import RegionName
from medlar_core.ids import ServiceName
from medlar_core.ids import Version

from .operators import Applied
from .processes import Process
from .processes import ready_servers_of
from .world import World

REGION = RegionName("one")
READY_LIMIT_S = 60.0
STEP_S = 1.0
LOAD = 0.7
FIRST_LIMIT_S = 3600.0
FLOW_PORT = 4000
REQUEST_PORT = 8080


class Fleet:
    """A fleet as a scenario describes it."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.world = World(seed)
        self.services: dict[str, Service] = {}
        self.places: list[PlaceName] = []
        self.regions: dict[PlaceName, RegionName] = {}
        self.died: list[Process] = []
        self.left: list[Process] = []

    # Configuration and processes

    def add_places(self, names: Sequence[str]) -> None:
        """Add places; servers and balancers are spread evenly over them."""
        self.places += [PlaceName(name) for name in names]

    def add_service(
        self, name: str, servers: int, kinds: Sequence[Kind] = ()
    ) -> None:
        """Declare a service and start its servers."""
        number = len(self.services) + 1
        ip = f"10.9.0.{number}"
        addresses = (
            Address(ip=ip, port=FLOW_PORT, protocol=Protocol.FLOW),
            Address(ip=ip, port=REQUEST_PORT, protocol=Protocol.REQUEST),
        )
        self.services[name] = Service(
            name=ServiceName(name),
            addresses=addresses,
            places=tuple(self.places),
            kinds=tuple(kinds),
        )
        servers_before = sum(
            p.service is not None for p in self.world.processes
        )
        for n in range(servers):
            self.world.start_server(
                ServiceName(name), self._place(n + servers_before)
            )

    def add_balancers(self, count: int) -> None:
        """Start balancers, spread evenly over the places."""
        for n in range(count):
            self.world.start_balancer(self._place(n))

    def configuration(self) -> Configuration:
        """Return the configuration with all declared places and services."""
        places = tuple(
            Place(name=p, region=self.regions.get(p, REGION))
            for p in self.places
        )
        services = tuple(self.services.values())
        return Configuration(places=places, services=services)

    def become_ready(self) -> None:
        """Apply the configuration and wait until all processes are ready.

        :raises AssertionError: if the fleet is not ready in time.
        """
        applied = self.apply()
        self.wait(lambda: applied.outcome is not None, READY_LIMIT_S)
        assert applied.version is not None, f"got {applied.outcome}"
        self.wait(self._ready, READY_LIMIT_S)

    # Callers

    def open_feeds(self, service: str, count: int) -> None:
        """Open long-lived flows."""
        address = self.services[service].addresses[0].text
        self.world.feeds.open(address, ServiceName(service), count)

    def offer(
        self, service: str, kind: str, rate: float, seconds: float
    ) -> None:
        """Send requests of a kind for a number of seconds."""
        until = self.world.clock.now + seconds
        found = self.kind(service, kind)
        self.world.work.offer(ServiceName(service), found, rate, until)

    def usual_rate(self, service: str, kind: str, share: float) -> float:
        """Return the rate, per second, of a kind with a share of the load.

        The total load keeps LOAD of the live servers' slots busy.
        """
        found = self.services[service]
        slots = len(self.world.live(found.name)) * found.slots
        return LOAD * share * slots / self.kind(service, kind).mean_s

    def kind(self, service: str, name: str) -> Kind:
        """Return a kind of work of a service."""
        kinds = self.services[service].kinds
        return next(k for k in kinds if k.name == KindName(name))

    # Operators

    def apply(self, base: Version | None = None) -> Applied:
        """Apply the configuration declared so far."""
        world = self.world
        balancers = tuple(p.node for p in world.live(None))
        base = self.newest() if base is None else base
        return world.operators.apply(
            self.configuration(), base, "operator", balancers
        )

    def change_drain_limit(self, service: str, limit_s: float) -> None:
        """Change the declared drain limit of a service, in seconds."""
        found = self.services[service]
        self.services[service] = msgspec.structs.replace(
            found, drain_limit_s=limit_s
        )

    def move_address(self, one: str, other: str) -> None:
        """Move the declared flow address of one service to another."""
        moved = self.services[one].addresses[0]
        self._set_addresses(one, self.services[one].addresses[1:])
        self._set_addresses(other, (*self.services[other].addresses, moved))

    def race(self, service: str, count: int) -> None:
        """Apply configurations that differ in one field concurrently."""
        base = self.newest()
        for n in range(count):
            self.change_drain_limit(service, FIRST_LIMIT_S + n)
            self.apply(base)

    def newest(self) -> Version:
        """Return the newest version in force in any live process."""
        live = [p.version for p in self.world.processes if p.lives]
        return max(live, default=Version(0))

    def _set_addresses(
        self, service: str, addresses: tuple[Address, ...]
    ) -> None:
        self.services[service] = msgspec.structs.replace(
            self.services[service], addresses=addresses
        )

    def server(self, service: str, number: int) -> Process:
        """Return a live server of a service by its number from 1."""
        return self.world.live(ServiceName(service))[number - 1]

    def balancer(self, number: int) -> Process:
        """Return a live balancer by its number from 1."""
        return self.world.live(None)[number - 1]

    def drain(self, found: Process) -> None:
        """Start to drain a server."""
        self.left.append(found)
        self.world.drain(found)

    def stop(self, found: Process) -> None:
        """Ask a process to stop gracefully."""
        self.left.append(found)
        self.world.stop(found)

    def replace(self, found: Process, seconds: float) -> Process:
        """Start a replacement, drain or stop the process and wait."""
        if found.service is None:
            new = self.world.start_balancer(found.place)
            self.stop(found)
        else:
            new = self.world.start_server(found.service, found.place)
            self.drain(found)
        self.world.run(seconds)
        return new

    # Faults

    def kill(self, found: Process) -> None:
        """Kill a process, together with its server if it has one."""
        self.died.append(found)
        self.world.kill(found)

    def pause(self, found: Process, seconds: float) -> None:
        """Pause a process for a number of seconds."""
        node = found.node
        self.world.net.pause(node)
        self.world.clock.after(seconds, lambda: self.world.net.resume(node))

    def lose_place(self, name: str) -> None:
        """Kill all processes of a place at once."""
        for found in self.world.processes:
            if found.lives and found.place == name:
                self.kill(found)

    # Waiting

    def wait(self, done: Callable[[], bool], limit_s: float) -> None:
        """Advance the clock until a condition holds.

        :raises AssertionError: if it does not hold within the limit.
        """
        ends = self.world.clock.now + limit_s
        while not done():
            assert self.world.clock.now < ends, f"not within {limit_s} s"
            self.world.run(STEP_S)

    def _ready(self) -> bool:
        """Whether all have a configuration and balancers see all servers."""
        live = [p for p in self.world.processes if p.lives]
        serving = {p.node for p in live if p.service and p.serves}
        return all(
            p.version > 0
            and (p.service or serving <= ready_servers_of(p.view))
            for p in live
        )

    def _place(self, number: int) -> PlaceName:
        return self.places[number % len(self.places)]

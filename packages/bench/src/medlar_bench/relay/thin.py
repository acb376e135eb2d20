"""Measure how long thin machines wait for a large configuration."""

import random

import msgspec

from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import ServiceName
from medlar_core.relay.access import new_access
from medlar_core.relay.balancer import RelayBalancer
from medlar_core.relay.configuration.routes import Route
from medlar_core.relay.configuration.routes import RouteTable
from medlar_core.relay.configuration.routes import Share
from medlar_core.relay.registration import Registration
from medlar_core.relay.store_view import BalancerIdentity
from medlar_core.store import Put
from medlar_fakes.relay import FakeCodec
from medlar_fakes.relay import RelaySimulation

from ..rows import Row
from ..rows import Sense
from ..rows import Size

ROUTES = {Size.FAST: 1_925, Size.FULL: 1_925}
WIDE, THIN = 6, 20
WIDE_MBPS, THIN_MBPS = 100.0, 5.0
BYTES_PER_MBPS = 125_000
START_SPREAD_S = 0.45
STEP_S = 0.02
LIMIT_S = 20.0
SETTLED_S = 3.0
IDLE_S = 15.0
BOUND_S = 1.0
CONFIGURATION, MEMBERS = "conf", "m/"
PLACE = PlaceName("a")
SERVICES = tuple(ServiceName(f"service-{n}") for n in range(12))


def measure_thin(size: Size, seed: int) -> list[Row]:
    """Measure a change and a start of all at once, on the thinnest links.

    The time of the start counts for each process from its own start. A
    share of the link's time bounds the bytes.
    """
    fleet = _Fleet(seed, ROUTES[size])
    fleet.configure()
    fleet.start_all(0.0)
    fleet.run(SETTLED_S)
    change_s, change_bytes = fleet.change()
    fleet.run(SETTLED_S)
    start_s, start_bytes = fleet.restart()
    whole = fleet.item_bytes
    return [
        _row("config.thin_start_s", start_s, "s", BOUND_S, seed),
        _row("config.thin_change_s", change_s, "s", BOUND_S, seed),
        _row("config.bytes_a_start", start_bytes, "B", 200_000, seed, whole),
        _row("config.bytes_a_change", change_bytes, "B", 60_000, seed, whole),
    ]


class _Fleet:
    """Balancers with wide and thin links, in virtual time."""

    def __init__(self, seed: int, routes: int) -> None:
        self._rng = random.Random(seed)
        self._sim = RelaySimulation(seed)
        self._sim.routes_of = lambda n: self._balancers[n].shared_routes
        self._balancers: dict[NodeId, RelayBalancer] = {}
        self._version = 0
        self._addresses = [
            f"198.18.{n // 256}.{n % 256}"
            for n in self._rng.sample(range(65_536), routes)
        ]
        nodes = [NodeId(f"10.0.0.{n}:7000") for n in range(WIDE + THIN)]
        self._links = {
            node: THIN_MBPS if number < THIN else WIDE_MBPS
            for number, node in enumerate(nodes)
        }
        for node, mbps in self._links.items():
            self._sim.links[node] = mbps * BYTES_PER_MBPS

    @property
    def item_bytes(self) -> float:
        """Size of the operators' item as the store answers it."""
        return len(self._sim.store.items[CONFIGURATION].value) * 4 / 3

    def run(self, seconds: float) -> None:
        self._sim.run(seconds)

    def configure(self) -> None:
        self._version += 1
        table = RouteTable(self._version, self._routes(), IDLE_S)
        stored = self._sim.store.items.get(CONFIGURATION)
        revision = stored.revision if stored else 0
        value = msgspec.json.encode(table).decode()
        put = Put(CONFIGURATION, value, revision)
        self._sim.store.call(put, lambda _: None)

    def change(self) -> tuple[float, float]:
        """Return seconds and bytes of a change at the slowest balancer."""
        self._sim.transferred.clear()
        started_at = self._sim.clock.now
        self.configure()
        waits = self._wait_for_all(dict.fromkeys(self._links, started_at))
        return max(waits), self._most_bytes()

    def restart(self) -> tuple[float, float]:
        """Return the same of a start of all at nearly the same time."""
        self._balancers.clear()
        self._sim.nodes.clear()
        self._sim.transferred.clear()
        waits = self._wait_for_all(self.start_all(START_SPREAD_S))
        return max(waits), self._most_bytes()

    def start_all(self, spread_s: float) -> dict[NodeId, float]:
        """Start all balancers; return when each was started."""
        started_at: dict[NodeId, float] = {}
        nodes = list(self._links)
        self._rng.shuffle(nodes)
        for node in nodes:
            self._start(node)
            started_at[node] = self._sim.clock.now
            self.run(spread_s / len(nodes))
        return started_at

    def _start(self, node: NodeId) -> None:
        rng = random.Random(self._rng.random())
        access = new_access(rng)
        identity = BalancerIdentity(
            node=node,
            place=PLACE,
            seeds=(),
            configuration=CONFIGURATION,
            members=MEMBERS,
            agents=MEMBERS + "agents/",
            balancers=MEMBERS + "balancers/",
            record=MEMBERS + "scopes",
            copy=MEMBERS + "routes",
            link_mbps=self._links[node],
        )
        registration = Registration(access, identity.balancers + node, rng)
        self._balancers[node] = self._sim.nodes[node] = RelayBalancer(
            identity, FakeCodec(), _read_table, access, registration
        )

    def _wait_for_all(self, since: dict[NodeId, float]) -> list[float]:
        """Return how long each waited until the version was in force."""
        waits: dict[NodeId, float] = {}
        end_at = self._sim.clock.now + LIMIT_S
        while len(waits) < len(since) and self._sim.clock.now < end_at:
            for node in since.keys() - waits.keys():
                if self._balancers[node].routes.version == self._version:
                    waits[node] = self._sim.clock.now - since[node]
            self.run(STEP_S)
        return [waits.get(node, LIMIT_S) for node in since]

    def _most_bytes(self) -> float:
        """Return the bytes that the thin link with most received."""
        return max(
            self._sim.transferred[node]
            for node, mbps in self._links.items()
            if mbps == THIN_MBPS
        )

    def _routes(self) -> tuple[Route, ...]:
        return tuple(
            Route(
                host,
                443,
                (Share(self._rng.choice(SERVICES), 1),),
                self._rng.randrange(3),
                self._rng.choice((276, 328)),
                self._rng.choice((3_276, 3_317, 10_900)),
            )
            for host in self._addresses
        )


def _read_table(text: str) -> RouteTable:
    return msgspec.json.decode(text, type=RouteTable)


def _row(
    name: str,
    value: float,
    unit: str,
    bound: float,
    seed: int,
    baseline: float | None = None,
) -> Row:
    return Row(
        name=name,
        value=value,
        unit=unit,
        bound=bound,
        sense=Sense.MAX,
        seed=seed,
        baseline=baseline,
        baseline_name="" if baseline is None else "the operators' item whole",
    )

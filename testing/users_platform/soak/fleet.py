"""Processes, servers, callers and store of one soak run."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
from pathlib import Path
import random
import signal
import socket
import time
from typing import NamedTuple

import msgspec

from medlar_core.relay.segment import FlowId
from medlar_node.relay.http import serving

from ..standin import settings
from .caller import Callers
from .checker import Checker
from .idle_timeouts import IDLE_S
from .idle_timeouts import IdleTimeouts
from .idle_timeouts import LOW_IDLE_S
from .plan import Fault
from .plan import FaultKind
from .process import Process
from .router import Router
from .server import COLD_PER_S
from .server import HEARTBEAT_S
from .server import Server
from .store import FaultyStore
from .store import Proxy
from .store import ProxyMode

FIRST_ROUTES = {8001: "desk", 8002: "office"}
EXTRA_PORTS = 4
ZONES = ("a", "b", "c")
CONTRACTS = ("places",)
"""Contracts of the platform beyond those that are always in force."""
CLOCK_BACK_S = 3_600.0
RESTART_DELAY_S = 0.5
"""Time before killed balancers start again."""
UNDISTURBED_S = 4.0
"""Flows of an instance without faults for longer must not be reset."""

_PROXY_MODES = {
    FaultKind.STORE_DELAY: ProxyMode.DELAY,
    FaultKind.STORE_RESET: ProxyMode.RESET,
    FaultKind.STORE_SILENCE: ProxyMode.SILENCE,
    FaultKind.STORE_ONE_WAY: ProxyMode.ONE_WAY,
}
UNPLANNED_FAULTS = (
    FaultKind.KILL,
    FaultKind.PAUSE,
    FaultKind.ALL_KILLED,
    *_PROXY_MODES,
)
"""Faults of one instance that are not planned operations."""


_OTHER_SERVICE = {"desk": "office", "office": "desk"}


class Ports(NamedTuple):
    """Ports of processes and stand-ins, each on its own address."""

    peers: int = 7700
    packets: int = 7701
    ready: int = 7702
    control: int = 7703
    outbound: int = 7704
    app: int = 7705
    store: int = 7706


PORTS = Ports()


class FleetSize(msgspec.Struct, frozen=True):
    """Number of balancers, and the service of the server of each agent."""

    balancers: int
    services: tuple[str, ...]


SMALL = FleetSize(3, ("desk",) * 4 + ("office",) * 2)
LARGE = FleetSize(12, ("desk",) * 14 + ("office",) * 4)
"""So many that reports are sparse and loads are requested."""


class Fleet:
    """Processes, servers, callers and store of one run.

    ``block`` is the second byte of all addresses; runs at the same time
    need different blocks.
    """

    def __init__(
        self, seed: int, block: int, folder: Path, size: FleetSize
    ) -> None:
        self.size = size
        self.checker = Checker()
        self.store = FaultyStore()
        self.processes: list[Process] = []
        self.proxies: list[Proxy] = []
        self.servers: list[Server] = []
        self._rng = random.Random(seed)
        self._block = block
        self._folder = folder
        self._version = 1
        self._routes = dict(FIRST_ROUTES)
        self._low_timeouts = 0
        """Faults in progress that have lowered the idle timeout."""
        self._timeouts = IdleTimeouts()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((self._ip(9, 1), PORTS.packets))
        self._sock = sock
        hosts = [self._ip(1, n) for n in range(size.balancers)]
        self.router = Router(
            self._rng,
            sock,
            [(host, PORTS.packets) for host in hosts],
            [f"{host}:{PORTS.ready}" for host in hosts],
        )
        self._disturbed: dict[int, float] = {}
        """End of the last unplanned fault by process index."""
        self._store_disturbed_at = float("-inf")
        self.callers = Callers(
            self.checker, self._rng, sock, self.router, self._must_stay_open
        )
        for number in range(size.balancers):
            self._add_instance(self._ip(1, number), "frontend")
        for number, service in enumerate(size.services):
            self._add_instance(self._ip(2, number), "side", service)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run stand-ins, processes and servers while the context is open."""
        store = (self._ip(8, 200), PORTS.store)
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._sock.close)
            loop = asyncio.get_running_loop()
            loop.add_reader(self._sock, self.callers.read)
            stack.callback(loop.remove_reader, self._sock)
            enter = stack.enter_async_context
            await enter(
                serving(f"{store[0]}:{PORTS.store}", self.store.answer)
            )
            self._publish_routes(0, 0)
            for number in range(len(self.processes)):
                self.proxies.append(Proxy(store))
                host = self._ip(8, number)
                await enter(self.proxies[-1].serving(host, PORTS.store))
            for process in self.processes:
                stack.push_async_callback(process.kill)
                await process.start()
            for server in self.servers:
                stack.push_async_callback(server.crash)
                await server.start()
            yield

    def has_started(self) -> bool:
        """Return whether all balancers are ready and all servers known."""
        if self.router.in_rotation() < self.size.balancers:
            return False
        return all(server.is_known for server in self.servers)

    async def inject(self, fault: Fault) -> None:
        """Inject one fault and wait for its end."""
        if fault.kind not in UNPLANNED_FAULTS:
            await self._inject(fault)
            return
        self._disturbed[fault.target] = float("inf")
        await self._inject(fault)
        self._disturbed[fault.target] = time.monotonic()

    async def _inject(self, fault: Fault) -> None:
        match fault.kind:
            case (
                FaultKind.CRASH
                | FaultKind.RELEASE
                | FaultKind.CLOCK_BACK
                | FaultKind.SERVER_HANGS
            ):
                await self._inject_server(fault)
            case (
                FaultKind.KILL
                | FaultKind.STOP
                | FaultKind.PAUSE
                | FaultKind.HANGUP
            ):
                await self._signal(fault)
            case FaultKind.ROUTE_ADDED | FaultKind.ROUTE_REMOVED:
                self._change_routes(fault)
            case FaultKind.ROUTE_MOVED:
                port = sorted(FIRST_ROUTES)[fault.target]
                self._move_route(port)
                await asyncio.sleep(fault.for_s)
                self._move_route(port)
            case FaultKind.TIMEOUT_LOWERED:
                self._change_timeout(+1)
                await asyncio.sleep(fault.for_s)
                self._change_timeout(-1)
            case FaultKind.BALANCERS_KILLED:
                await self._kill(self.processes[: self.size.balancers])
            case FaultKind.ALL_KILLED:
                await self._kill_all()
            case FaultKind.ZONE_EVACUATED:
                await self._evacuate(ZONES[fault.target], fault.for_s)
            case FaultKind.LOSS:
                self.router.is_lossy = True
                await asyncio.sleep(fault.for_s)
                self.router.is_lossy = False
            case _:
                await self._inject_store(fault)

    async def _kill(self, processes: list[Process]) -> None:
        for process in processes:
            process.signal(signal.SIGKILL)
        await asyncio.sleep(RESTART_DELAY_S)
        await asyncio.gather(*(p.start() for p in processes))

    async def _kill_all(self) -> None:
        """Kill all processes; their servers run on."""
        everyone = range(len(self.processes))
        self._disturbed.update(dict.fromkeys(everyone, float("inf")))
        await self._kill(self.processes)
        now = time.monotonic()
        self._disturbed.update(dict.fromkeys(everyone, now))

    async def _evacuate(self, zone: str, for_s: float) -> None:
        """Evacuate a zone, whose servers are cold as it is taken back."""
        key = f"op/evacuate/{zone}"
        if key in self.store.backend.items:
            return
        self.store.backend.put(key, "{}")
        self.checker.on_evacuated(time.monotonic(), zone)
        await asyncio.sleep(for_s)
        for server in self.servers:
            if server.zone == zone:
                server.become_cold()
        self.store.backend.remove(key)
        self.checker.on_taken_back(zone)

    async def _inject_server(self, fault: Fault) -> None:
        server = self.servers[fault.target]
        if server.state != "ready":
            return
        if fault.kind is FaultKind.SERVER_HANGS:
            server.hangs = True
            await asyncio.sleep(fault.for_s)
            server.hangs = False
            return
        if fault.kind is FaultKind.RELEASE:
            await server.drain()
        else:
            await server.crash()
        clock_back_s = (
            CLOCK_BACK_S if fault.kind is FaultKind.CLOCK_BACK else 0.0
        )
        if not clock_back_s:
            await asyncio.sleep(fault.for_s)
        if server.state == "down":
            await server.start(clock_back_s)

    async def _signal(self, fault: Fault) -> None:
        process = self.processes[fault.target]
        match fault.kind:
            case FaultKind.KILL:
                process.signal(signal.SIGKILL)
                await asyncio.sleep(fault.for_s)
                await process.start()
            case FaultKind.STOP:
                await process.stop()
                await process.start()
            case FaultKind.PAUSE:
                process.signal(signal.SIGSTOP)
                await asyncio.sleep(fault.for_s)
                process.signal(signal.SIGCONT)
            case _:
                process.signal(signal.SIGHUP)

    async def _inject_store(self, fault: Fault) -> None:
        until = time.monotonic() + fault.for_s
        self.checker.store_failed_at = max(until, self.checker.store_failed_at)
        if fault.kind not in _PROXY_MODES:
            self._store_disturbed_at = until
        match fault.kind:
            case FaultKind.STORE_BUSY:
                self.store.busy_until = until
            case FaultKind.STORE_LOSES_ANSWERS:
                self.store.delay_responses_until = until
            case FaultKind.STORE_COMPACTS:
                self.store.compact()
            case FaultKind.STORE_REVOKES:
                self.store.revoke()
            case _:
                proxy = self.proxies[fault.target]
                proxy.mode = _PROXY_MODES[fault.kind]
                if proxy.mode is ProxyMode.RESET:
                    proxy.reset()
                await asyncio.sleep(fault.for_s)
                proxy.mode = ProxyMode.OPEN
                proxy.reset()

    def _change_routes(self, fault: Fault) -> None:
        extra = sorted(set(self._routes) - set(FIRST_ROUTES))
        if fault.kind is FaultKind.ROUTE_ADDED and len(extra) < EXTRA_PORTS:
            port = 9_000 + self._version
            self._routes[port] = self._rng.choice(["desk", "office"])
            self._publish_routes(port, 0)
        elif fault.kind is FaultKind.ROUTE_REMOVED and extra:
            del self._routes[extra[0]]
            self._publish_routes(0, extra[0])

    def _move_route(self, port: int) -> None:
        """Send the new flows of a route to the other service."""
        self._routes[port] = _OTHER_SERVICE[self._routes[port]]
        self._publish_routes(0, 0)
        now = time.monotonic()
        self.checker.on_route_moved(now, port, self._routes[port])

    def _change_timeout(self, lowered: int) -> None:
        self._low_timeouts += lowered
        idle_s = LOW_IDLE_S if self._low_timeouts else IDLE_S
        self._timeouts.change(time.monotonic(), idle_s)
        self._publish_routes(0, 0)

    def _publish_routes(self, added: int, removed: int) -> None:
        self._version += 1
        routes = [
            {"host": "198.18.0.1", "prefix": f"/{port}/", "service": service}
            for port, service in self._routes.items()
        ]
        cfg = {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": service, "cold_per_s": COLD_PER_S}
                for service in _OTHER_SERVICE
            ],
            "limits": {"idle_timeout_ms": self._timeouts.idle_s * 1_000},
        }
        self.store.backend.put("op/config", json.dumps(cfg))
        self.checker.on_configuration(time.monotonic(), added, removed)
        if removed:
            self.callers.removed.add(removed)
        self.callers.ports = [*self._routes, *self.callers.removed]

    def _must_stay_open(self, flow: FlowId, idle_since: float) -> bool:
        """Return whether a flow must not be reset, as its server holds it.

        A reset is allowed if the store or the instance of the server was
        disturbed: an agent without heartbeats and store entry is treated
        as gone.
        """
        now = time.monotonic()
        if now - self._store_disturbed_at <= UNDISTURBED_S:
            return False
        if self._timeouts.has_expired(idle_since, now):
            return False
        for number, server in enumerate(self.servers, self.size.balancers):
            disturbed_at = self._disturbed.get(number, float("-inf"))
            if server.holds(flow) and now - disturbed_at > UNDISTURBED_S:
                return True
        return False

    def _ip(self, kind: int, number: int) -> str:
        return f"127.{self._block}.{kind}.{number + 1}"

    def _add_instance(self, ip: str, serves: str, service: str = "") -> None:
        store = f"{self._ip(8, len(self.processes))}:{PORTS.store}"
        name = f"{serves}-{ip.rpartition('.')[2]}"
        path = self._folder / f"{name}.toml"
        app = f"{ip}:{PORTS.app}"
        zone = ZONES[len(self.processes) % len(ZONES)]
        path.write_text(
            settings(
                name,
                ip,
                serves,
                service,
                app,
                store,
                PORTS,
                int(HEARTBEAT_S * 1_000),
                zone,
                CONTRACTS,
            )
        )
        self.processes.append(Process(path, self._folder / f"{name}.log"))
        if service:
            self.servers.append(
                Server(
                    self.checker,
                    self._rng,
                    service,
                    (ip, PORTS.app),
                    f"{ip}:{PORTS.control}",
                    (ip, PORTS.outbound),
                    zone,
                )
            )

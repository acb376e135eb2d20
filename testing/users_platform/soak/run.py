"""One soak run: the fleet, its faults, and what it broke."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Coroutine
import contextlib
import json
from pathlib import Path
import random
import signal
import socket
import time
from typing import Any
from typing import NamedTuple

import msgspec

from medlar_core.relay.segment import FlowId
from medlar_node.relay.http import serving

from ..standin import settings
from .caller import Callers
from .ledger import Broken
from .ledger import Ledger
from .plan import draw
from .plan import Fault
from .plan import Kind
from .plan import QUIET_S
from .plan import SETTLE_S
from .process import Process
from .router import Router
from .server import BEAT_S
from .server import Server
from .store import FaultyStore
from .store import Proxy
from .store import Way

BALANCERS = 3
SERVICES = ("desk", "desk", "desk", "desk", "office", "office")
"""The service of the server beside each agent."""
FIRST_ROUTES = {8001: "desk", 8002: "office"}
EXTRA_PORTS = 4
START_LIMIT_S = 20.0
SERVED_SHARE = 0.97
"""Of the requests sent while nothing fails."""
BACK_S = 5.0
"""After the last fault all is as before within this."""
CLOCK_BACK_S = 3_600.0
STABLE_S = 4.0
"""An instance undisturbed for longer keeps its flows."""

_WAYS = {
    Kind.STORE_DELAY: Way.DELAY,
    Kind.STORE_RESET: Way.RESET,
    Kind.STORE_SILENCE: Way.SILENCE,
    Kind.STORE_ONE_WAY: Way.ONE_WAY,
}
UNPLANNED = (Kind.KILL, Kind.PAUSE, *_WAYS)
"""Faults of one instance that nobody planned."""


class Ports(NamedTuple):
    """Where processes and stand-ins listen, each on its own address."""

    peers: int = 7700
    packets: int = 7701
    ready: int = 7702
    control: int = 7703
    outbound: int = 7704
    app: int = 7705
    store: int = 7706


PORTS = Ports()


class Outcome(msgspec.Struct, frozen=True):
    """What one run came to."""

    seed: int
    requests: int
    served: int
    faults: list[Fault]
    broken: list[Broken]


class Fleet:
    """All that takes part in a run, on addresses of its own.

    ``block`` sets runs at the same time apart: it is the second byte of
    all addresses.
    """

    def __init__(self, seed: int, block: int, folder: Path) -> None:
        self.ledger = Ledger()
        self.store = FaultyStore()
        self.processes: list[Process] = []
        self.proxies: list[Proxy] = []
        self.servers: list[Server] = []
        self._rng = random.Random(seed)
        self._block = block
        self._folder = folder
        self._version = 1
        self._routes = dict(FIRST_ROUTES)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((self._ip(9, 1), PORTS.packets))
        self._sock = sock
        hosts = [self._ip(1, n) for n in range(BALANCERS)]
        self.router = Router(
            self._rng,
            sock,
            [(host, PORTS.packets) for host in hosts],
            [f"{host}:{PORTS.ready}" for host in hosts],
        )
        self._disturbed: dict[int, float] = {}
        """Until when each process was disturbed without a plan."""
        self._store_disturbed_at = float("-inf")
        self.callers = Callers(
            self.ledger, self._rng, sock, self.router, self._is_safe
        )
        for number in range(BALANCERS):
            self._add(self._ip(1, number), "frontend")
        for number, service in enumerate(SERVICES):
            self._add(self._ip(2, number), "side", service)

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
            self._configure(0, 0)
            for number in range(len(self.processes)):
                self.proxies.append(Proxy(store))
                where = self._ip(8, number)
                await enter(self.proxies[-1].serving(where, PORTS.store))
            for process in self.processes:
                stack.push_async_callback(process.end)
                await process.start()
            for server in self.servers:
                stack.push_async_callback(server.crash)
                await server.start()
            yield

    async def strike(self, fault: Fault) -> None:
        """Carry out one fault, to its end."""
        if fault.kind not in UNPLANNED:
            await self._strike(fault)
            return
        self._disturbed[fault.target] = float("inf")
        await self._strike(fault)
        self._disturbed[fault.target] = time.monotonic()

    async def _strike(self, fault: Fault) -> None:
        match fault.kind:
            case Kind.CRASH | Kind.RELEASE | Kind.CLOCK_BACK:
                await self._strike_server(fault)
            case Kind.KILL | Kind.STOP | Kind.PAUSE | Kind.HANGUP:
                await self._signal(fault)
            case Kind.ROUTE_ADDED | Kind.ROUTE_REMOVED:
                self._change_routes(fault)
            case Kind.LOSS:
                self.router.loses = True
                await asyncio.sleep(fault.for_s)
                self.router.loses = False
            case _:
                await self._strike_store(fault)

    async def _strike_server(self, fault: Fault) -> None:
        server = self.servers[fault.target]
        if server.state != "ready":
            return
        if fault.kind is Kind.RELEASE:
            await server.drain()
        else:
            await server.crash()
        back_s = CLOCK_BACK_S if fault.kind is Kind.CLOCK_BACK else 0.0
        if not back_s:
            await asyncio.sleep(fault.for_s)
        if server.state == "down":
            await server.start(back_s)

    async def _signal(self, fault: Fault) -> None:
        process = self.processes[fault.target]
        match fault.kind:
            case Kind.KILL:
                process.signal(signal.SIGKILL)
                await asyncio.sleep(fault.for_s)
                await process.start()
            case Kind.STOP:
                await process.stop()
                await process.start()
            case Kind.PAUSE:
                process.signal(signal.SIGSTOP)
                await asyncio.sleep(fault.for_s)
                process.signal(signal.SIGCONT)
            case _:
                process.signal(signal.SIGHUP)

    async def _strike_store(self, fault: Fault) -> None:
        until = time.monotonic() + fault.for_s
        self.ledger.store_failed_at = max(until, self.ledger.store_failed_at)
        if fault.kind not in _WAYS:
            self._store_disturbed_at = until
        match fault.kind:
            case Kind.STORE_BUSY:
                self.store.busy_until = until
            case Kind.STORE_LOSES:
                self.store.loses_until = until
            case Kind.STORE_FORGETS:
                self.store.forget()
            case Kind.STORE_REVOKES:
                self.store.revoke()
            case _:
                proxy = self.proxies[fault.target]
                proxy.way = _WAYS[fault.kind]
                if proxy.way is Way.RESET:
                    proxy.reset()
                await asyncio.sleep(fault.for_s)
                proxy.way = Way.OPEN
                proxy.reset()

    def _change_routes(self, fault: Fault) -> None:
        extra = sorted(set(self._routes) - set(FIRST_ROUTES))
        if fault.kind is Kind.ROUTE_ADDED and len(extra) < EXTRA_PORTS:
            port = 9_000 + self._version
            self._routes[port] = self._rng.choice(["desk", "office"])
            self._configure(port, 0)
        elif fault.kind is Kind.ROUTE_REMOVED and extra:
            del self._routes[extra[0]]
            self._configure(0, extra[0])

    def _configure(self, added: int, removed: int) -> None:
        self._version += 1
        routes = [
            {"host": "198.18.0.1", "prefix": f"/{port}/", "service": service}
            for port, service in self._routes.items()
        ]
        cfg = {
            "version": self._version,
            "routes": routes,
            "services": [],
            "limits": {"idle_timeout_ms": 15_000},
        }
        self.store.held.put("op/config", json.dumps(cfg))
        self.ledger.configured(time.monotonic(), added, removed)
        if removed:
            self.callers.removed.add(removed)
        self.callers.ports = [*self._routes, *self.callers.removed]

    def _is_safe(self, flow: FlowId) -> bool:
        """Return whether a flow must not be reset: its server holds it.

        It may be where the store or the instance of its server were
        disturbed: an agent that is silent and without an entry is gone.
        """
        now = time.monotonic()
        if now - self._store_disturbed_at <= STABLE_S:
            return False
        for number, server in enumerate(self.servers, BALANCERS):
            disturbed_at = self._disturbed.get(number, float("-inf"))
            if server.holds(flow) and now - disturbed_at > STABLE_S:
                return True
        return False

    def _ip(self, kind: int, number: int) -> str:
        return f"127.{self._block}.{kind}.{number + 1}"

    def _add(self, ip: str, serves: str, service: str = "") -> None:
        store = f"{self._ip(8, len(self.processes))}:{PORTS.store}"
        name = f"{serves}-{ip.rpartition('.')[2]}"
        path = self._folder / f"{name}.toml"
        app = f"{ip}:{PORTS.app}"
        path.write_text(
            settings(
                name,
                ip,
                serves,
                service,
                app,
                store,
                PORTS,
                int(BEAT_S * 1_000),
            )
        )
        self.processes.append(Process(path, self._folder / f"{name}.log"))
        if service:
            self.servers.append(
                Server(
                    self.ledger,
                    self._rng,
                    service,
                    (ip, PORTS.app),
                    f"{ip}:{PORTS.control}",
                    (ip, PORTS.outbound),
                )
            )


async def soak(seed: int, seconds: float, block: int, folder: Path) -> Outcome:
    """Play one run and return what it came to.

    :raises TimeoutError: if the fleet does not start.
    """
    fleet = Fleet(seed, block, folder)
    faults = draw(seed, len(fleet.processes), len(SERVICES), seconds)
    async with fleet.running(), _going(fleet.router.watching()):
        async with asyncio.timeout(START_LIMIT_S):
            while fleet.router.in_rotation() < BALANCERS:
                await asyncio.sleep(0.1)
        began = time.monotonic()
        async with _going(fleet.callers.calling()):
            async with asyncio.TaskGroup() as tasks:
                for fault in faults:
                    tasks.create_task(_strike(fleet, began, fault))
            # Faults may end late: a process may take long to stop.
            quiet_at = max(time.monotonic(), began + seconds - SETTLE_S)
            await asyncio.sleep(quiet_at + SETTLE_S - time.monotonic())
    judge_calm(fleet.ledger, began, quiet_at)
    for process in fleet.processes:
        for failure in process.failures:
            fleet.ledger.breaks(quiet_at, "processes run", failure)
    served, asked = len(fleet.ledger.served), len(fleet.ledger.asked)
    broken = [
        msgspec.structs.replace(found, at=round(found.at - began, 2))
        for found in fleet.ledger.broken
    ]
    return Outcome(seed, asked, served, faults, broken)


async def _strike(fleet: Fleet, began: float, fault: Fault) -> None:
    await asyncio.sleep(began + fault.at - time.monotonic())
    await fleet.strike(fault)


def judge_calm(ledger: Ledger, began: float, quiet_at: float) -> None:
    """Requests sent while nothing fails are served."""
    for name, since, until in (
        ("before the faults", began, began + QUIET_S - 1.0),
        ("after the faults", quiet_at + BACK_S, quiet_at + SETTLE_S - 1.5),
    ):
        sent = [r for r, at in ledger.asked.items() if since < at < until]
        served = sum(req in ledger.served for req in sent)
        if served < SERVED_SHARE * len(sent):
            what = f"{served} of {len(sent)} served {name}"
            ledger.breaks(since, "served in calm", what)


@contextlib.asynccontextmanager
async def _going(coro: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    task = asyncio.create_task(coro)
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

"""A small deployment on loopback: the project's processes and stand-ins."""

import asyncio
import contextlib
import json
import os
from pathlib import Path
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from . import http
from . import wire
from .client import ClientHost
from .server import Server
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
INTERNAL, DATAGRAM, READINESS, CONTROL, OUTBOUND, APP, STORE, METRICS = (
    7720,
    8172,
    8167,
    8166,
    8162,
    8165,
    8169,
    9464,
)
HELD, BROKEN, NOT_RUN = 0, 1, 2
BEAT_S = 1.2
POLL_S = 0.5
STABILITY_S = 4.0
FLOW_LIFETIME_S = 60.0
START_LIMIT_S = 20.0
RESTART_DELAY_S = 0.5
FIRST_VERSION = 7
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 262_144,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
SETTINGS = """\
node_name = "{name}"
role = "{role}"
machine_class = "{kind}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "r1"
internal_port_range = [{internal}, {internal_end}]
seeds = {seeds}
bootstrap = true
count_in_tolerance = false
discovery = "local"
entry = "announce"
heartbeat_interval_ms = {beat_ms}
contracts = ["base","drain","config","cost","recover","flows","platform"]
hash_scheme = "mod"
deployment_mode = "agent"
{side}
[zones]
{zone} = "r1"

[listen]
datagram_address = "{ip}:{datagram}"
readiness_address = "{ip}:{readiness}"
control = "{ip}:{control}"
{outbound}
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0

[fault_tolerance]
machines = 1
zones = 0
regions = 0

[bounds]
seed_lag_s = 3
address_reuse_s = 2
stability_window_ms = 4000
ack_timeout_ms = 5000
catch_up_s = 4
drain_timeout_ms = 3000
grace_period_s = 6
loss_slack_ms = 200
config_propagation_ms = 3000
rollback_slack_ms = 250
max_stretch_ms = 12000
recovery_s = 12
misroute_window_ms = 2000
flow_lifetime_s = 60

[platform]
address = "{store}"
deployment_mode = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class CannotRunError(Exception):
    """The case could not be played."""


class Node:
    """A machine with one process of the system under test."""

    def __init__(self, lab: "Lab", name: str, role: str, ip: str) -> None:
        self.name = name
        self.ip = ip
        self.settings = lab.folder / f"{name}.toml"
        self.log = lab.folder / f"{name}.log"
        self.undisturbed_since = time.monotonic()
        self._ends_asked = False
        self._lab = lab
        self._run = lab.roles[role]["run"].split()
        self._child: subprocess.Popen | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._child is not None and self._child.poll() is None

    @property
    def has_ended_itself(self) -> bool:
        """Whether the process has ended though nobody asked it to."""
        return not self.is_running and not self._ends_asked

    def start(self) -> None:
        """Start the process, as the deploy file says."""
        if self._child is not None:
            # Set only when the whole system starts for the first time.
            text = self.settings.read_text()
            self.settings.write_text(
                text.replace("bootstrap = true", "bootstrap = false")
            )
        self._ends_asked = False
        self.undisturbed_since = time.monotonic()
        env = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        env |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "MEDLARSTAGE_SETTINGS": str(self.settings),
            "MEDLARSTAGE_METRICS": f"{self.ip}:{METRICS}",
        }
        with self.log.open("ab") as log:
            self._child = subprocess.Popen(
                self._run,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._lab.record(f"{self.name} starts")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.undisturbed_since = time.monotonic()
        if self.is_running:
            self._ends_asked |= number in (signal.SIGKILL, signal.SIGTERM)
            self._child.send_signal(number)
            self._lab.record(f"{self.name} gets {number.name}")

    async def restart_after_kill(self) -> None:
        """Kill the process; the platform starts it again after a while."""
        self.signal(signal.SIGKILL)
        await self.ended()
        await asyncio.sleep(RESTART_DELAY_S)
        self.start()

    async def restart_after_term(self, grace_s: float = 6.0) -> None:
        """Stop the process as in a rolling restart, and start it again."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.ended(), grace_s)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.ended()
        await asyncio.sleep(RESTART_DELAY_S)
        self.start()

    async def ended(self) -> None:
        """Wait for the end of the process."""
        while self.is_running:
            await asyncio.sleep(0.02)

    def end(self) -> None:
        """End the process at the end of the case."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self._child.kill()
            self._child.wait()


class Routers:
    """The platform's routers: poll readiness, pick a node by a hash."""

    def __init__(self, lab: "Lab") -> None:
        self._lab = lab
        self._misses: dict[str, int] = {}
        self._ready: dict[str, bool] = {}
        self.polled_at: dict[str, float] = {}
        self.chosen: dict[wire.FlowId, str] = {}
        """Node that took the last packet of each flow."""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((lab.ip(9, 9), 0))

    def in_rotation(self) -> list[Node]:
        """Return the balancers that routers send packets to."""
        nodes = self._lab.balancers
        ready = [n for n in nodes if self._ready.get(n.name)]
        return ready if 2 * len(ready) >= len(nodes) else nodes

    @property
    def ready_count(self) -> int:
        """How many balancers are in rotation because they are ready."""
        return sum(self._ready.values())

    def send(self, flow_id: wire.FlowId, datagram: bytes) -> None:
        """Send a client's packet to a balancer."""
        nodes = self.in_rotation()
        rng = random.Random(str(flow_id))
        node = nodes[rng.randrange(1 << 30) % len(nodes)]
        self.chosen[flow_id] = node.name
        with contextlib.suppress(OSError):
            self._sock.sendto(datagram, (node.ip, DATAGRAM))

    async def poll(self, node: Node) -> None:
        """Poll the readiness of one balancer."""
        while True:
            started_at = time.monotonic()
            self.polled_at[node.name] = started_at
            status = await http.call(
                (node.ip, READINESS), "GET", "/-/readiness", limit_s=0.4
            )
            was_ready = self._ready.get(node.name, False)
            if status == 200:
                self._misses[node.name] = 0
                self._ready[node.name] = True
            else:
                misses = self._misses.get(node.name, 0) + 1
                self._misses[node.name] = misses
                if misses >= 2:
                    self._ready[node.name] = False
            if was_ready != self._ready.get(node.name, False):
                what = "leaves" if was_ready else "enters"
                self._lab.record(f"{node.name} {what} rotation")
            left_s = POLL_S - (time.monotonic() - started_at)
            await asyncio.sleep(max(0.0, left_s))


class Lab:
    """One zone with some balancers, and services with a server an agent.

    ``is_planned`` tells that the trouble is planned work, for which the rule
    FLOW doesn't ask that the machines are in touch.
    """

    def __init__(
        self,
        record_file: Path,
        balancers: int,
        servers: dict[str, int],
        work_s: float = 0.01,
        is_planned: bool = False,
    ) -> None:
        self.started_at = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.roles = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )["roles"]
        self.store = Store()
        self.version = FIRST_VERSION
        self.routes: dict[tuple[str, int], str | dict[str, int]] = {}
        """The service of each address, or the weights of several."""
        self.limits = dict(LIMITS)
        self.broken_flows: list[str] = []
        """The system's resets that break the rule FLOW."""
        self.excused_resets: list[str] = []
        self.is_planned = is_planned
        self._file = record_file.open("w")
        self._block = self._free_block()
        self.balancers = [
            self._node(f"frontend-{n + 1}", "balancer", self.ip(1, n + 1))
            for n in range(balancers)
        ]
        self.agents: list[Node] = []
        self.servers: list[Server] = []
        for service, count in servers.items():
            for _ in range(count):
                self._add_side(service, work_s)

    # The deployment

    @contextlib.asynccontextmanager
    async def running(self):
        """Start everything; end it with the context."""
        tasks = []
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._end)
            store = (self.ip(8, 1), STORE)
            await stack.enter_async_context(
                http.serving(store, self.store.respond)
            )
            self.publish()
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
            sock.bind((self.ip(7, 1), DATAGRAM))
            self.routers = Routers(self)
            self.clients = ClientHost(
                self.ip(7, 1),
                sock,
                self.routers.send,
                self._judge_reset,
                self.record,
            )
            for node in [*self.balancers, *self.agents]:
                node.start()
            await self._wait_for_agents()
            for server in self.servers:
                await server.start()
            for node in self.balancers:
                tasks.append(asyncio.create_task(self.routers.poll(node)))
            stack.callback(lambda: [task.cancel() for task in tasks])
            await self._wait_until_ready()
            yield self

    def publish(self, version_step: int = 2) -> None:
        """Write the routes, as the operator does."""
        self.version += version_step
        names = sorted({server.service for server in self.servers})
        cfg = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{number}",
                    "host": host,
                    "prefix": f"/{port}/",
                    "route_type": "idempotent",
                    "timeout_ms": 2_000,
                    "target_latency_ms": 143,
                    "priority": 2,
                    "max_attempts": 2,
                    **_target(target),
                }
                for number, ((host, port), target) in enumerate(
                    self.routes.items()
                )
            ],
            "services": [
                {
                    "name": name,
                    "health_check_path": "/health",
                    "max_connections": 2_000,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in names
            ],
            "limits": self.limits,
        }
        self.store.put("op/config", json.dumps(cfg))
        self.record(
            f"the store has acknowledged configuration {self.version}: "
            f"{len(self.routes)} routes, idle_timeout_ms "
            f"{self.limits['idle_timeout_ms']}"
        )

    def in_touch(self, node: Node) -> bool:
        """Return whether a machine had no disruption for long enough.

        The store and its links have none in these scripts.
        """
        calm_s = time.monotonic() - node.undisturbed_since
        return node.is_running and calm_s >= STABILITY_S

    def holder(self, flow) -> Server | None:
        """Return the living server at which a flow is open."""
        for server in self.servers:
            held = server.flows.get(flow.id)
            if held is not None and held.is_open:
                return server
        return None

    async def open_feeds(self, addresses, gap_s: float = 0.04) -> list:
        """Open a flow to each address, with one request; return the open."""
        feeds = [self.clients.flow(address) for address in addresses]

        async def open_feed(number: int) -> bool:
            await asyncio.sleep(number * gap_s)
            feed = feeds[number]
            return await feed.open() and await feed.request(f"first-{number}")

        numbers = range(len(feeds))
        opened = await asyncio.gather(*map(open_feed, numbers))
        feeds = [feeds[number] for number in numbers if opened[number]]
        self.record(f"{len(feeds)} feeds opened and answered")
        self.require_most(len(feeds), len(addresses))
        return feeds

    def require_most(self, opened: int, wanted: int) -> None:
        """Check that most of the flows are open before the trouble.

        :raises CannotRunError: if they are not.
        """
        if 2 * opened < wanted:
            self.give_up(f"only {opened} of {wanted} flows are open")

    def give_up(self, why: str) -> None:
        """End the case without a result.

        :raises CannotRunError: always.
        """
        self.record(f"could not run: {why}")
        raise CannotRunError(why)

    async def request_all(self, feeds, name: str) -> int:
        """Send a request on each feed; return how many were answered."""
        held = sum(self.holder(feed) is not None for feed in feeds)
        results = await asyncio.gather(
            *(f.request(f"{name}-{n}") for n, f in enumerate(feeds))
        )
        self.record(
            f"{name} requests: {held} feeds were open at living servers, "
            f"{sum(results)} answered"
        )
        return sum(results)

    def result(self) -> int:
        """Record the result, and return the status to exit with."""
        self.record(
            f"{len(self.broken_flows)} open flows were reset against FLOW, "
            f"{len(self.excused_resets)} resets were excused"
        )
        others = [*self.clients.foreign, *self.clients.damaged]
        others += [text for s in self.servers for text in s.damaged]
        self.record(f"damaged or foreign packets and answers: {len(others)}")
        runs = [run[2] for server in self.servers for run in server.runs]
        self.record(
            f"{len(set(runs))} requests ran, {len(runs) - len(set(runs))} of "
            "them again"
        )
        self.record(f"processes that ended by themselves: {self.own_ends()}")
        is_broken = self.broken_flows or others or self.own_ends()
        return BROKEN if is_broken else HELD

    def _judge_reset(self, flow) -> None:
        """Judge a reset of an open flow by the rule FLOW, part (a)."""
        now = time.monotonic()
        taker = self._node_named(self.routers.chosen[flow.id])
        server = self.holder(flow)
        idle_timeout_s = self.limits["idle_timeout_ms"] / 1_000
        excuse = ""
        if server is None:
            excuse = "no living server holds it"
        elif flow.longest_idle_s > idle_timeout_s:
            excuse = "it was idle for too long"
        elif now - flow.opened_at > FLOW_LIFETIME_S:
            excuse = "it is too old"
        elif flow.id.address not in self.routes:
            excuse = "its route was dropped"
        elif not self.is_planned and not all(
            map(self.in_touch, (taker, *self.agents))
        ):
            excuse = "a machine was not in touch"
        text = (
            f"flow {flow.id.client[1]} to {flow.id.address[1]} is reset, "
            f"open for {now - flow.opened_at:.2f} s, idle for "
            f"{flow.longest_idle_s:.2f} s at most; its packet went to "
            f"{taker.name}"
        )
        if excuse:
            self.excused_resets.append(text)
            self.record(f"excused: {text}: {excuse}")
            return
        self.broken_flows.append(text)
        self.record(f"FLOW broken: {text}; {server.id} lives and holds it")

    def _node_named(self, name: str) -> Node:
        return next(n for n in self.balancers if n.name == name)

    def agent_of(self, server: Server) -> Node:
        """Return the machine of a server."""
        return self.agents[self.servers.index(server)]

    def record(self, text: str) -> None:
        """Write a line to the record."""
        at = time.monotonic() - self.started_at
        self._file.write(f"{at:9.3f} {text}\n")
        self._file.flush()

    def ip(self, kind: int, number: int) -> str:
        """Return a loopback address of this run."""
        return f"127.{self._block}.{kind}.{number}"

    async def at(self, seconds: float, since: float) -> None:
        """Wait until ``seconds`` after ``since``."""
        await asyncio.sleep(max(0.0, since + seconds - time.monotonic()))

    def own_ends(self) -> list[str]:
        """Return the processes that have ended by themselves."""
        nodes = [*self.balancers, *self.agents]
        return [node.name for node in nodes if node.has_ended_itself]

    # Parts

    async def _wait_for_agents(self) -> None:
        """Wait until the agents answer; servers start after them."""
        until = time.monotonic() + START_LIMIT_S
        for node in self.agents:
            address = (node.ip, READINESS)
            while await http.call(address, "GET", "/-/readiness") != 200:
                if time.monotonic() > until:
                    self.give_up("the agents did not start in time")
                await asyncio.sleep(0.05)

    async def _wait_until_ready(self) -> None:
        until = time.monotonic() + START_LIMIT_S
        while self.routers.ready_count < len(self.balancers):
            if time.monotonic() > until:
                raise CannotRunError("the balancers were not ready in time")
            await asyncio.sleep(0.1)
        # In touch are machines that had no start for the stability window.
        await asyncio.sleep(STABILITY_S)

    def _add_side(self, service: str, work_s: float) -> None:
        number = len(self.agents) + 1
        ip = self.ip(2, number)
        self.agents.append(
            self._node(f"side-{number}", "agent", ip, service)
        )
        self.servers.append(
            Server(
                self.record,
                service,
                "z1",
                (ip, APP),
                (ip, CONTROL),
                (ip, OUTBOUND),
                BEAT_S,
                work_s=work_s,
            )
        )

    def _node(self, name: str, role: str, ip: str, service: str = "") -> Node:
        node = Node(self, name, role, ip)
        is_side = bool(service)
        seeds = [f"{self.ip(1, n + 1)}:{CONTROL}" for n in range(3)]
        side = f'app = "{ip}:{APP}"\nservice = "{service}"\n'
        node.settings.write_text(
            SETTINGS.format(
                name=name,
                role=role,
                kind="side" if is_side else "frontend",
                serves='["side"]' if is_side else '["frontend","control"]',
                ip=ip,
                zone="z1",
                internal=INTERNAL,
                internal_end=INTERNAL + 15,
                seeds=json.dumps(seeds),
                beat_ms=int(BEAT_S * 1_000),
                side=side if is_side else "",
                datagram=DATAGRAM,
                readiness=READINESS,
                control=CONTROL,
                outbound=f'outbound = "{ip}:{OUTBOUND}"\n' if is_side else "",
                store=f"{self.ip(8, 1)}:{STORE}",
            )
        )
        return node

    def _free_block(self) -> int:
        """Return a second byte whose addresses are not in use."""
        for block in random.sample(range(2, 250), 50):
            self._block = block
            try:
                for number in (1, 2, 3, 4):
                    with socket.socket() as sock:
                        sock.bind((self.ip(1, number), READINESS))
                return block
            except OSError:
                continue
        raise CannotRunError("no free loopback addresses")

    def _end(self) -> None:
        for server in self.servers:
            server.crash()
        for node in [*self.balancers, *self.agents]:
            node.end()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def _target(target: str | dict[str, int]) -> dict:
    """Return the fields of a route that tell where new flows are sent."""
    if isinstance(target, str):
        return {"service": target}
    return {
        "traffic_split": [
            {"service": service, "weight": weight}
            for service, weight in target.items()
        ]
    }


def play(case_file: str, coro) -> None:
    """Play a case and exit with its result; errors of the case exit with 2."""
    if not (ROOT / "target" / "deps" / "medlar_platform").is_dir():
        print("not run: build the deploy file first", file=sys.stderr)
        sys.exit(NOT_RUN)
    record_file = Path(case_file).resolve().parent / "record.txt"

    async def limited() -> int:
        # A case that is told to stop ends its processes first.
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(115):
            return await coro(record_file)

    try:
        status = asyncio.run(limited())
    except (
        CannotRunError,
        OSError,
        TimeoutError,
        asyncio.CancelledError,
    ) as exc:
        print(f"not run: {exc!r}", file=sys.stderr)
        status = NOT_RUN
    except Exception as exc:  # noqa: BLE001  an error of the case itself
        import traceback

        traceback.print_exc()
        print(f"not run: {exc!r}", file=sys.stderr)
        status = NOT_RUN
    sys.exit(status)

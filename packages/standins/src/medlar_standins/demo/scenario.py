"""Runs the steps of the demo in sequence."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import pathlib
import sys
import time
from typing import TypeVar

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
import msgspec

from medlar_core.config.model import Configuration
from medlar_core.ids import NodeId
from medlar_core.ids import ServiceName
from medlar_core.members.view import ServerState
from medlar_node.status import Status

from ..feeds import Feeds
from ..requesters import RequestCallers
from ..requesters import Work
from ..server import RunCount
from .layout import agent_command
from .layout import agent_name
from .layout import balancer_command
from .layout import balancer_name
from .layout import balancer_node
from .layout import BALANCERS
from .layout import fabric_command
from .layout import nodes
from .layout import Pair
from .layout import pairs
from .layout import place_of
from .layout import server_command
from .layout import server_name
from .layout import SERVERS
from .layout import SPARE
from .layout import store_command
from .layout import STORE_NAME
from .processes import Fleet
from .report import Found
from .report import Ran
from .report import Span
from .workload import feed_address
from .workload import FEED_SERVICE
from .workload import FLOOD_KIND
from .workload import FLOOD_TIMES
from .workload import flood_work
from .workload import usual_work

T = TypeVar("T")

FEEDS = 140
FEED_PERIOD_S = 2.0
NORMAL_LOAD_S = 6.0
FLOOD_S = 6.0
SETTLE_S = 1.0
READY_LIMIT_S = 30.0
EVERYWHERE_LIMIT_S = 15.0
DRAIN_LIMIT_S = 600
LEAVING_S = 3.0
"""Time after which a drained server receives no new work."""
POLL_S = 0.1
SEED = 20


class NotReady(RuntimeError):
    """The fleet did not reach an expected state in time."""


class _Counted(msgspec.Struct, frozen=True):
    """Run counts reported by a server."""

    server: str
    count: RunCount


class Demo:
    """Controls the fleet and its callers and collects the results."""

    def __init__(
        self,
        fleet: Fleet,
        cfg: Configuration,
        folder: pathlib.Path,
        kill: str = "",
    ) -> None:
        self._fleet = fleet
        self._cfg = cfg
        self._folder = folder
        self._kill_name = kill
        self._feeds_lost = 0
        self._whole = True
        self._leaving_new = 0
        self._feeds = Feeds(*feed_address(cfg))
        self._callers = RequestCallers(SEED)
        self._session = ClientSession(timeout=ClientTimeout(total=2.0))
        self._began = time.monotonic()

    async def run(self) -> Found:
        """Run all steps and return the results."""
        await self._callers.start()
        try:
            return await self._steps()
        finally:
            await self._feeds.close()
            await self._callers.stop()
            await self._session.close()

    async def _steps(self) -> Found:
        await self._start_fleet()
        self._print_step(f"opening {FEEDS} feeds, sending the usual load")
        await self._feeds.open(FEEDS, FEED_PERIOD_S)
        works = usual_work(self._cfg)
        load = [
            asyncio.create_task(self._callers.run(work, 600.0))
            for work in works
        ]
        try:
            await asyncio.sleep(SETTLE_S)
            drained = await self._drain()
            await self._kill()
            await self._replace_balancer()
            everywhere_s = await self._change()
            usual = await self._usual()
            flood = await self._flood(flood_work(works))
        finally:
            for task in load:
                task.cancel()
        self._print_step("waiting for the last answers")
        await self._callers.stop()
        counted = await self._counted()
        return Found(
            feeds=self._feeds.count,
            ended=tuple(self._callers.ended),
            runs=_runs_on_servers((c.server, c.count.runs) for c in counted),
            calls=_runs_on_servers((c.server, c.count.calls) for c in counted),
            flows=await self._open_flows(drained),
            usual=usual,
            flood=flood,
            flood_kind=FLOOD_KIND,
            leaving_new=self._leaving_new,
            everywhere_s=everywhere_s,
            feeds_lost=self._feeds_lost,
            whole=self._whole,
            bad_ends=tuple(self._fleet.dead()),
        )

    async def _start_fleet(self) -> None:
        self._print_step(
            "starting store, fabric, servers, agents and balancers"
        )
        cfg_path = str(self._folder / "authority.json")
        await self._fleet.start(store_command())
        await self._fleet.start(fabric_command(cfg_path))
        services = {service.name: service for service in self._cfg.services}
        for number in range(1, BALANCERS + 1):
            place = place_of(self._cfg, number)
            await self._fleet.start(balancer_command(number, place))
        for number, pair in enumerate(pairs()):
            place = place_of(self._cfg, number)
            service = services[ServiceName(pair.service)]
            await self._fleet.start(server_command(pair, service))
            await self._fleet.start(agent_command(pair, place))
        await self._until_all_answer()
        self._print_step("applying the Authority's configuration")
        await self._apply(cfg_path, base=0)
        await self._until_ready()

    async def _usual(self) -> Span:
        self._print_step(f"usual load for {NORMAL_LOAD_S:.0f} s")
        begin = self._loop_time()
        await asyncio.sleep(NORMAL_LOAD_S)
        return Span(begin, self._loop_time())

    async def _drain(self) -> NodeId:
        pair = pairs()[0]
        self._print_step(f"draining the server of agent {pair.agent}")
        await self._medlarctl(
            "drain", pair.agent, "--limit-s", str(DRAIN_LIMIT_S)
        )
        await asyncio.sleep(LEAVING_S)
        before = await self._work_count(pair)
        await asyncio.sleep(LEAVING_S)
        after = await self._work_count(pair)
        self._leaving_new = after - before
        return pair.agent

    async def _kill(self) -> None:
        """Kill the process selected with ``--kill``, if any.

        If it is a server or an agent, the feeds of that server are lost.
        """
        if not self._kill_name:
            return
        self._print_step(f"killing {self._kill_name}")
        for number, pair in enumerate(pairs(), 1):
            names = (agent_name(number), server_name(number))
            if self._kill_name in names:
                self._whole = False
                status = await self._status(pair.agent)
                self._feeds_lost = status.open_flows if status else 0
        await self._fleet.kill(self._kill_name)
        await asyncio.sleep(LEAVING_S)

    async def _replace_balancer(self) -> None:
        self._print_step("replacing balancer 1")
        place = place_of(self._cfg, 1)
        await self._fleet.start(balancer_command(SPARE, place))
        await self._until_known(balancer_node(SPARE))
        if self._kill_name != balancer_name(1):
            await self._fleet.stop(balancer_name(1))

    async def _change(self) -> float:
        """Apply a change; return seconds until it is in force everywhere."""
        self._print_step("applying a change")
        began = time.monotonic()
        services = tuple(
            msgspec.structs.replace(service, drain_limit_s=3600.0)
            for service in self._cfg.services
        )
        changed = msgspec.structs.replace(self._cfg, services=services)
        path = self._folder / "changed.json"
        path.write_bytes(msgspec.json.encode(changed))
        if self._kill_name == STORE_NAME:
            await self._fail_to_apply(str(path))
            return 0.0
        await self._apply(str(path), base=1)
        await self._until(
            self._all_have_version_2, EVERYWHERE_LIMIT_S, "version 2"
        )
        return time.monotonic() - began

    async def _flood(self, flood: Work) -> Span:
        times = FLOOD_TIMES
        self._print_step(
            f"{flood.kind} floods {times:.0f}x for {FLOOD_S:.0f} s"
        )
        begin = self._loop_time()
        await self._callers.run(flood, FLOOD_S)
        return Span(begin, self._loop_time())

    async def timeline(self) -> str:
        """Return the time line of the fleet as text."""
        return await self._medlarctl("timeline")

    async def _apply(self, path: str, base: int) -> None:
        output = await self._medlarctl(
            "apply", path, "--by", "demo", "--base", str(base)
        )
        self._print_step(output.strip().splitlines()[-1])

    async def _fail_to_apply(self, path: str) -> None:
        """Apply while the store is unavailable, which must be reported."""
        try:
            await self._apply(path, base=1)
        except RuntimeError as exc:
            self._print_step(str(exc).splitlines()[-1])
        else:
            raise NotReady(
                "expected apply to fail without the store, but it succeeded"
            )

    async def _medlarctl(self, *args: str) -> str:
        asked = ",".join((balancer_node(SPARE), *nodes()))
        return await self._fleet.run(
            sys.executable, "-m", "medlar_ops.cli", *args, "--nodes", asked
        )

    # State of the fleet

    async def _until_all_answer(self) -> None:
        async def answer() -> bool:
            ended = self._fleet.dead()
            if ended:
                raise NotReady(
                    f"ended at the start: {', '.join(ended)}; another demo "
                    f"on the same ports? see the logs in {self._folder}"
                )
            return len(await self._statuses()) == len(nodes())

        await self._until(answer, READY_LIMIT_S, "an answer of each process")

    async def _until_ready(self) -> None:
        """Wait until each balancer knows every server as ready."""
        count = sum(SERVERS.values())

        async def ready() -> bool:
            statuses = await self._statuses()
            known = [
                status
                for status in statuses
                if status.ready and _ready_server_count(status) == count
            ]
            wanted = [s for s in statuses if s.role == "balancer"]
            return len([s for s in known if s in wanted]) == BALANCERS

        await self._until(ready, READY_LIMIT_S, f"{count} ready servers")
        self._print_step("all balancers see all servers ready")

    async def _until_known(self, node: NodeId) -> None:
        async def known() -> bool:
            status = await self._status(node)
            return (
                status is not None
                and status.ready
                and _ready_server_count(status) > 0
            )

        await self._until(known, READY_LIMIT_S, f"{node} to be ready")

    async def _all_have_version_2(self) -> bool:
        statuses = await self._statuses()
        return bool(statuses) and all(s.version >= 2 for s in statuses)

    async def _until(
        self,
        holds: Callable[[], Awaitable[bool]],
        limit_s: float,
        what: str,
    ) -> None:
        ends = time.monotonic() + limit_s
        while not await holds():
            if time.monotonic() > ends:
                raise NotReady(
                    f"waited {limit_s:.0f} s for {what}; "
                    f"see the logs in {self._folder}"
                )
            await asyncio.sleep(POLL_S)

    async def _statuses(self) -> list[Status]:
        asked = (*nodes(), balancer_node(SPARE))
        found = await asyncio.gather(*(self._status(n) for n in asked))
        return [status for status in found if status is not None]

    async def _status(self, node: NodeId) -> Status | None:
        return await self._get(f"http://{node}/v1/status", Status)

    async def _get(self, url: str, kind: type[T]) -> T | None:
        try:
            async with self._session.get(url) as res:
                return msgspec.json.decode(await res.read(), type=kind)
        except (ClientError, OSError, TimeoutError, msgspec.DecodeError):
            return None

    async def _counted(self) -> list[_Counted]:
        """Return the run counts of each server."""
        counted = []
        for pair in pairs():
            found = await self._get(f"http://{pair.server}/runs", RunCount)
            if found is not None:
                counted.append(_Counted(pair.server, found))
        return counted

    async def _work_count(self, pair: Pair) -> int:
        """Return the number of runs and opened flows of a server."""
        found = await self._get(f"http://{pair.server}/runs", RunCount)
        return sum(found.runs.values()) + found.opened if found else 0

    async def _open_flows(self, drained: NodeId) -> tuple[int, ...]:
        statuses = await self._statuses()
        return tuple(
            status.open_flows
            for status in statuses
            if status.service == FEED_SERVICE and status.node != drained
        )

    def _loop_time(self) -> float:
        return asyncio.get_running_loop().time()

    def _print_step(self, text: str) -> None:
        took = time.monotonic() - self._began
        print(f"{took:5.1f} s  {text}", flush=True)


def _runs_on_servers(
    counts: Iterable[tuple[str, dict[str, int]]],
) -> tuple[Ran, ...]:
    return tuple(
        Ran(name, server, times)
        for server, found in counts
        for name, times in found.items()
    )


def _ready_server_count(status: Status) -> int:
    """Count the ready servers in the membership of a process."""
    return sum(server.state is ServerState.READY for server in status.servers)

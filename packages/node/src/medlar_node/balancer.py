"""Composition root of the balancer daemon."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random
import time
from typing import Any

from aiohttp import web

from medlar_core.balancer import Balancer
from medlar_core.balancer import BalancerParams
from medlar_core.balancer import make_balancer
from medlar_core.events import StopAsked
from medlar_core.ids import Incarnation
from medlar_core.ids import Seconds

from .addresses import split
from .control_http import Answers
from .control_http import ControlPort
from .control_http import MAX_CONTROL_BYTES
from .daemon import BACKLOG
from .daemon import either
from .daemon import NEWS_S
from .daemon import running
from .daemon import serving
from .daemon import until
from .daemon import watch_signals
from .gauges import keep_gauges
from .ingress import Ingress
from .logs import part_logger
from .metrics import Metrics
from .process import Process
from .proxyline import Destination
from .proxyline import ProxyLine
from .settings import BalancerSettings
from .status import Explained
from .status import flow_asked
from .status import Status
from .status import Unexplained

FABRIC_S = 1.0
"""Time in which the fabric learns that this balancer is not ready."""

log = part_logger("balancer")


async def run_balancer(cfg: BalancerSettings) -> None:
    """Run a balancer until it is asked to stop.

    :raises OSError: if an address is in use or not of this machine.
    """
    rng = random.Random()
    me = BalancerParams(
        cfg.listen,
        cfg.place,
        Incarnation(time.time_ns() // 1_000_000),
        cfg.seeds,
    )
    role = _Role(cfg, make_balancer(me, rng))
    await role.run()


class _Role:
    """The balancer's parts and the sockets around them."""

    def __init__(self, cfg: BalancerSettings, balancer: Balancer) -> None:
        self._cfg = cfg
        self._balancer = balancer
        self._stopping = False
        self._metrics = Metrics()

    async def run(self) -> None:
        signals = watch_signals()
        async with contextlib.AsyncExitStack() as stack:
            process = await stack.enter_async_context(
                running(self._cfg, self._balancer.reducer, self._metrics)
            )
            await stack.enter_async_context(self._ingress(process))
            app = web.Application(client_max_size=MAX_CONTROL_BYTES)
            app.add_routes(ControlPort(process, self._answers()).routes())
            await stack.enter_async_context(serving(app, self._cfg.listen))
            await stack.enter_async_context(
                keep_gauges(self._metrics, self._status)
            )
            log.info("listens on %s", self._cfg.listen)
            await either(signals)
            await self._stop(process)

    async def _stop(self, process: Process) -> None:
        """Take no more, finish what is open, then say goodbye."""
        log.info("stops as planned")
        self._stopping = True
        requests = self._balancer.requests
        await asyncio.sleep(FABRIC_S)
        whole = await until(
            lambda: not requests.open_work, self._cfg.stop_limit_s
        )
        if not whole:
            log.warning("stop limit cuts %d requests", requests.open_work)
        process.give(StopAsked())
        await until(lambda: self._balancer.members.finished, 2 * NEWS_S)

    @contextlib.asynccontextmanager
    async def _ingress(self, process: Process) -> AsyncIterator[None]:
        destinations: dict[asyncio.BaseTransport, Destination] = {}
        ingress = Ingress(process, self._metrics, destinations)
        config = self._balancer.config

        def other(effect: Any) -> None:
            ingress.carry(effect)

        process.other = other
        await ingress.start()
        server = web.Server(
            lambda req: _handle(ingress, req),
            handler_cancellation=True,
            access_log=None,
        )
        loop = asyncio.get_running_loop()
        host, port = split(self._cfg.requests)
        listener = await loop.create_server(
            lambda: ProxyLine(server, destinations, self._metrics),
            host,
            port,
            backlog=BACKLOG,
        )
        ingress.follow(lambda: config.cfg)
        try:
            yield
        finally:
            listener.close()
            await server.shutdown(1.0)
            await ingress.stop()

    def _answers(self) -> Answers:
        return Answers(self._status, self._ready, self._explain)

    def _ready(self) -> bool:
        known = self._balancer.config.cfg is not None
        return known and not self._stopping

    def _status(self) -> Status:
        view = self._balancer.members.view
        return Status(
            node=self._cfg.listen,
            role="balancer",
            place=self._cfg.place,
            ready=self._ready(),
            version=self._balancer.config.version,
            open_flows=0,
            open_work=self._balancer.requests.open_work,
            servers=view.servers,
            balancers=view.balancers,
            state="stopping" if self._stopping else "serving",
        )

    def _explain(self, query: dict[str, str]) -> Explained | Unexplained:
        asked = flow_asked(query)
        if isinstance(asked, Unexplained):
            return asked
        flow = None
        if asked is not None:
            now = Seconds(time.monotonic())
            flow = self._balancer.flows.explain(
                now, asked.caller, asked.address
            )
        return Explained(
            self._cfg.listen,
            self._balancer.config.version,
            self._balancer.requests.explain(),
            flow,
        )


async def _handle(
    ingress: Ingress, req: web.BaseRequest
) -> web.StreamResponse:
    return await ingress.handle(req)

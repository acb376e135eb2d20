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

from .addresses import split_endpoint
from .control_http import ControlHandlers
from .control_http import MAX_CONTROL_BYTES
from .control_http import RoleHandlers
from .daemon import BACKLOG
from .daemon import LAST_MESSAGES_S
from .daemon import running_process
from .daemon import serving
from .daemon import wait_for_signal
from .daemon import wait_until
from .daemon import watch_signals
from .gauges import updating_gauges
from .ingress import Ingress
from .logs import part_logger
from .metrics import Metrics
from .process import Process
from .proxyline import Destination
from .proxyline import ProxyLineProtocol
from .settings import BalancerSettings
from .status import ExplainRefusal
from .status import Explanation
from .status import parse_flow_query
from .status import Status

READINESS_DELAY_S = 1.0
"""Time for the fabric to notice that this balancer is not ready."""

log = part_logger("balancer")


async def run_balancer(cfg: BalancerSettings) -> None:
    """Run a balancer until a signal stops it.

    :raises OSError: if an address is in use or not local.
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
    """Connects the balancer's reducer to its sockets."""

    def __init__(self, cfg: BalancerSettings, balancer: Balancer) -> None:
        self._cfg = cfg
        self._balancer = balancer
        self._stopping = False
        self._metrics = Metrics()

    async def run(self) -> None:
        signals = watch_signals()
        async with contextlib.AsyncExitStack() as stack:
            process = await stack.enter_async_context(
                running_process(
                    self._cfg, self._balancer.reducer, self._metrics
                )
            )
            await stack.enter_async_context(self._ingress(process))
            app = web.Application(client_max_size=MAX_CONTROL_BYTES)
            app.add_routes(ControlHandlers(process, self._handlers()).routes())
            await stack.enter_async_context(serving(app, self._cfg.listen))
            await stack.enter_async_context(
                updating_gauges(self._metrics, self._status)
            )
            log.info("listening on %s", self._cfg.listen)
            await wait_for_signal(signals)
            await self._stop(process)

    async def _stop(self, process: Process) -> None:
        """Report not ready, finish open requests, then leave."""
        log.info("planned stop, finishing open requests")
        self._stopping = True
        requests = self._balancer.requests
        await asyncio.sleep(READINESS_DELAY_S)
        finished = await wait_until(
            lambda: not requests.open_work, self._cfg.stop_limit_s
        )
        if not finished:
            log.warning(
                "stop limit reached, aborting %d open requests",
                requests.open_work,
            )
        process.dispatch(StopAsked())
        await wait_until(
            lambda: self._balancer.members.finished, 2 * LAST_MESSAGES_S
        )

    @contextlib.asynccontextmanager
    async def _ingress(self, process: Process) -> AsyncIterator[None]:
        destinations: dict[asyncio.BaseTransport, Destination] = {}
        ingress = Ingress(process, self._metrics, destinations)
        config = self._balancer.config

        def execute_effect(effect: Any) -> None:
            ingress.execute(effect)

        process.execute_role_effect = execute_effect
        await ingress.start()
        server = web.Server(
            lambda req: _handle(ingress, req),
            handler_cancellation=True,
            access_log=None,
        )
        loop = asyncio.get_running_loop()
        host, port = split_endpoint(self._cfg.requests)
        listener = await loop.create_server(
            lambda: ProxyLineProtocol(server, destinations, self._metrics),
            host,
            port,
            backlog=BACKLOG,
        )
        ingress.use_configuration_source(lambda: config.cfg)
        try:
            yield
        finally:
            listener.close()
            await server.shutdown(1.0)
            await ingress.stop()

    def _handlers(self) -> RoleHandlers:
        return RoleHandlers(self._status, self._ready, self._explain)

    def _ready(self) -> bool:
        configured = self._balancer.config.cfg is not None
        return configured and not self._stopping

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

    def _explain(self, query: dict[str, str]) -> Explanation | ExplainRefusal:
        flow_query = parse_flow_query(query)
        if isinstance(flow_query, ExplainRefusal):
            return flow_query
        flow = None
        if flow_query is not None:
            now = Seconds(time.monotonic())
            flow = self._balancer.flows.explain(
                now, flow_query.caller, flow_query.address
            )
        return Explanation(
            self._cfg.listen,
            self._balancer.config.version,
            self._balancer.requests.explain(),
            flow,
        )


async def _handle(
    ingress: Ingress, req: web.BaseRequest
) -> web.StreamResponse:
    return await ingress.handle(req)

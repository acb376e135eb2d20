"""Composition root of the agent daemon."""

from collections.abc import AsyncIterator
import contextlib
import random
import time

from aiohttp import web

from medlar_core.agent import Agent
from medlar_core.agent import AgentParams
from medlar_core.agent import make_agent
from medlar_core.events import DrainAsked
from medlar_core.events import StopAsked
from medlar_core.ids import Incarnation
from medlar_core.ids import Seconds
from medlar_core.members.agent import Leave

from . import attempt_wire
from .control_http import ControlHandlers
from .control_http import MAX_CONTROL_BYTES
from .control_http import RoleHandlers
from .daemon import LAST_MESSAGES_S
from .daemon import running_process
from .daemon import serving
from .daemon import wait_for_signal
from .daemon import wait_until
from .daemon import watch_signals
from .egress import Egress
from .gauges import updating_gauges
from .logs import part_logger
from .metrics import Metrics
from .process import Process
from .serverport import LocalServerClient
from .settings import AgentSettings
from .status import ExplainRefusal
from .status import Explanation
from .status import parse_flow_query
from .status import Status

log = part_logger("agent")


async def run_agent(cfg: AgentSettings) -> None:
    """Run an agent until a signal stops or restarts it.

    :raises OSError: if an address is in use or not local.
    """
    rng = random.Random()
    me = AgentParams(
        cfg.listen,
        cfg.place,
        Incarnation(time.time_ns() // 1_000_000),
        cfg.seeds,
        cfg.service,
        cfg.weight,
    )
    role = _Role(cfg, make_agent(me, rng))
    await role.run()


class _Role:
    """Connects the agent's reducer to its sockets and its server."""

    def __init__(self, cfg: AgentSettings, agent: Agent) -> None:
        self._cfg = cfg
        self._agent = agent
        self._metrics = Metrics()
        self._process: Process | None = None

    async def run(self) -> None:
        signals = watch_signals()
        async with contextlib.AsyncExitStack() as stack:
            process = await stack.enter_async_context(
                running_process(self._cfg, self._agent.reducer, self._metrics)
            )
            self._process = process
            egress = await stack.enter_async_context(self._egress(process))
            app = web.Application(client_max_size=MAX_CONTROL_BYTES)
            app.add_routes(ControlHandlers(process, self._handlers()).routes())
            app.router.add_post(
                attempt_wire.PATH + "{attempt}",
                egress.handle,
                expect_handler=egress.handle_expect,
            )
            await stack.enter_async_context(serving(app, self._cfg.listen))
            await stack.enter_async_context(self._server_port(process))
            await stack.enter_async_context(
                updating_gauges(self._metrics, self._status)
            )
            log.info("listening on %s", self._cfg.listen)
            planned = await wait_for_signal(signals)
            await self._stop(process, planned)

    async def _stop(self, process: Process, planned: bool) -> None:
        """Drain and leave on a planned stop; on SIGUSR2 only end work.

        After a restart the new process reads the open flows from the
        server's connections, so a restart does not wait for flows to end.
        """
        log.info("planned stop, draining" if planned else "restarting")
        agent = self._agent
        if planned:
            process.dispatch(DrainAsked(self._cfg.stop_limit_s))
        process.dispatch(StopAsked())

        def ended() -> bool:
            flows = agent.flows.open_flows if planned else 0
            return not flows and not agent.requests.open_work

        if not await wait_until(ended, self._cfg.stop_limit_s):
            log.warning("stop limit reached before all work ended")
        if planned:
            process.dispatch(Leave())
            await wait_until(
                lambda: agent.members.finished, 2 * LAST_MESSAGES_S
            )

    @contextlib.asynccontextmanager
    async def _egress(self, process: Process) -> AsyncIterator[Egress]:
        egress = Egress(process, self._metrics, self._cfg.server)
        process.execute_role_effect = egress.execute
        await egress.start()
        try:
            yield egress
        finally:
            await egress.stop()

    @contextlib.asynccontextmanager
    async def _server_port(self, process: Process) -> AsyncIterator[None]:
        client = LocalServerClient(process, self._cfg.server)
        process.deliver = client.deliver
        await client.start()
        try:
            yield
        finally:
            await client.stop()

    def _handlers(self) -> RoleHandlers:
        return RoleHandlers(
            self._status, self._ready, self._explain, self._drain
        )

    def _ready(self) -> bool:
        return self._agent.config.cfg is not None

    def _drain(self, limit_s: float) -> None:
        assert self._process is not None
        self._process.dispatch(DrainAsked(limit_s))

    def _status(self) -> Status:
        view = self._agent.members.view
        return Status(
            node=self._cfg.listen,
            role="agent",
            place=self._cfg.place,
            ready=self._ready(),
            version=self._agent.config.version,
            open_flows=self._agent.flows.open_flows,
            open_work=self._agent.requests.open_work,
            servers=view.servers,
            balancers=view.balancers,
            service=self._cfg.service,
            state=self._agent.members.record.state.value,
        )

    def _explain(self, query: dict[str, str]) -> Explanation | ExplainRefusal:
        flow_query = parse_flow_query(query)
        if isinstance(flow_query, ExplainRefusal):
            return flow_query
        flow = None
        if flow_query is not None:
            flow = self._agent.flows.explain(
                flow_query.caller, flow_query.address
            )
        return Explanation(
            self._cfg.listen,
            self._agent.config.version,
            self._agent.requests.explain(self._now()),
            flow,
        )

    def _now(self) -> Seconds:
        assert self._process is not None
        return self._process.now()

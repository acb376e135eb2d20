"""Composition root of a relay agent."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import random
import time
from typing import Any

import msgspec

from medlar_core.relay.access import new_access
from medlar_core.relay.agent import RelayAgent
from medlar_core.relay.events import ServerAnnounced
from medlar_core.relay.events import ServerPacketReceived
from medlar_core.relay.own_state import AgentIdentity
from medlar_core.relay.registration import Registration
from medlar_core.relay.segment import SegmentCodec

from ..logs import part_logger
from .http import Request
from .http import Response
from .http import serving
from .log import LogPipe
from .process import ExecuteOp
from .process import now
from .process import RelayProcess
from .process import running
from .process import serving_metrics
from .reload import Reloader
from .reload import SettingsSource
from .settings import RelaySettings
from .udp import udp_port

RESTART_NOTICE_S = 0.3
"""Time in which peers receive the message that the agent restarts."""
DEREGISTRATION_LIMIT_S = 1.2
"""Limit for removing the store entry of a server that left."""
EXIT_MARGIN_S = 2.0
"""An agent that is asked to stop relays flows until so long before it would
be killed; more than the time to remove its entry."""
POLL_INTERVAL_S = 0.1

log = part_logger("agent")

ControlReader = Callable[[Request], Awaitable[tuple[Response, Any]]]
"""Translates a call of the local server to the response and the event.

The event is None if the call is rejected."""


async def serve(
    source: SettingsSource,
    cfg: RelaySettings,
    prefix: str,
    codec: SegmentCodec,
    read_control: ControlReader,
    execute_op: ExecuteOp,
    pipe: LogPipe,
) -> None:
    """Relay flows of the local server until a signal to stop.

    :raises OSError: if an address cannot be bound.
    """
    rng = random.Random(cfg.name)
    access = new_access(rng)
    identity = AgentIdentity(
        cfg.node,
        cfg.place,
        cfg.service,
        time.time_ns() // 1_000_000,
        cfg.beat_s,
        cfg.seeds,
        now(),
        cfg.zones,
    )
    registration = Registration(access, prefix + cfg.node, rng)
    reducer = RelayAgent(identity, codec, access, registration, rng)
    process = RelayProcess(cfg, reducer, codec, execute_op, pipe)
    reloader = Reloader(source, cfg, process)
    reloader.install_signal_handler()

    async def ready(req: Request) -> Response:
        return Response(503 if process.stop_requested.is_set() else 200)

    async def control(req: Request) -> Response:
        res, event = await read_control(req)
        if event is not None:
            dispatch_announcement(process, event)
        else:
            body = res.body.decode(errors="replace")
            process.report_unreadable("announcement", "the server", body)
        return res

    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_context
        process.peer_socket = enter(
            udp_port(cfg.node, process.handle_peer_datagram)
        )
        from_server = process.segment_handler(ServerPacketReceived)
        process.server_socket = enter(udp_port(cfg.outbound, from_server))
        process.caller_socket = process.server_socket
        await stack.enter_async_context(serving(cfg.readiness, ready))
        await stack.enter_async_context(serving(cfg.control, control))
        await stack.enter_async_context(
            serving_metrics(cfg.metrics, process.metrics)
        )
        await stack.enter_async_context(
            running(process, reloader.poll_changes())
        )
        log.info("started", extra={"at": cfg.node, "service": cfg.service})
        await process.stop_requested.wait()
        await _wait_until_done(reducer, cfg.grace_s)
    log.info("stopped")


def dispatch_announcement(process: RelayProcess, event: Any) -> None:
    """Dispatch a call of the server with the server's age filled in.

    The time of the event is read before the age. If the process is
    interrupted in between, the server seems older than it is: were it to
    seem younger, flows that it has accepted would be reset as those of the
    server before it.
    """
    at = now()
    process.dispatch(with_age(event, time.time()), at)


def with_age(event: Any, wall_s: float) -> Any:
    """Return an announcement with the age of the server filled in.

    Server and agent use the same clock. A start in the future means that
    the clock was set back since, so the age is left unknown.
    """
    match event:
        case ServerAnnounced(born_ms=born_ms):
            age_s = wall_s - born_ms / 1_000
            if age_s >= 0.0:
                return msgspec.structs.replace(event, age_s=age_s)
    return event


async def _wait_until_done(reducer: RelayAgent, grace_s: float) -> None:
    """Wait until nothing is left to do for the local server.

    That is to tell peers of the stop, to remove the store entry of a server
    that left, and to relay the flows of a draining one until it ends.
    """
    await asyncio.sleep(RESTART_NOTICE_S)
    if reducer.has_draining_flows:
        drain_limit_s = grace_s - EXIT_MARGIN_S
        await _poll_while(lambda: reducer.has_draining_flows, drain_limit_s)
        await asyncio.sleep(RESTART_NOTICE_S)
    await _poll_while(lambda: reducer.is_deregistering, DEREGISTRATION_LIMIT_S)


async def _poll_while(condition: Callable[[], bool], limit_s: float) -> None:
    """Wait while a condition holds, at most ``limit_s`` seconds."""
    waited = 0.0
    while waited < limit_s and condition():
        await asyncio.sleep(POLL_INTERVAL_S)
        waited += POLL_INTERVAL_S

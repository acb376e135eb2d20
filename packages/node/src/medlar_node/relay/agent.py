"""Composition root of an agent that relays flows."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import random
import time
from typing import Any

import msgspec

from medlar_core.relay.access import new_access
from medlar_core.relay.agent import AgentIdentity
from medlar_core.relay.agent import RelayAgent
from medlar_core.relay.events import ServerAnnounced
from medlar_core.relay.events import ServerPacketReceived
from medlar_core.relay.registration import Registration
from medlar_core.relay.segment import SegmentCodec

from ..logs import part_logger
from .http import Request
from .http import Response
from .http import serving
from .log import LogPipe
from .process import AskStore
from .process import metrics
from .process import RelayProcess
from .process import running
from .reload import Reloader
from .reload import SettingsSource
from .settings import RelaySettings
from .udp import udp_port

RESTART_LINGER_S = 0.3
"""Peers hear within this that the agent restarts."""
GONE_LINGER_S = 1.5
"""Time to remove the entry of a server that left."""
POLL_S = 0.1

log = part_logger("agent")

Control = Callable[[Request], Awaitable[tuple[Response, Any]]]
"""Reads a call of the server; gives the answer and the event, if any."""


async def serve(
    source: SettingsSource,
    cfg: RelaySettings,
    prefix: str,
    codec: SegmentCodec,
    read_control: Control,
    ask_store: AskStore,
    pipe: LogPipe,
) -> None:
    """Relay the flows of the server beside this agent until stopped.

    :raises OSError: if an address cannot be listened on.
    """
    rng = random.Random(cfg.name)
    access = new_access(rng)
    who = AgentIdentity(
        cfg.node,
        cfg.place,
        cfg.service,
        time.time_ns() // 1_000_000,
        cfg.beat_s,
        cfg.seeds,
    )
    registration = Registration(access, prefix + cfg.node, rng)
    reducer = RelayAgent(who, codec, access, registration, rng)
    process = RelayProcess(cfg, reducer, codec, ask_store, pipe)
    reloader = Reloader(source, cfg, process)
    reloader.listen()

    async def ready(req: Request) -> Response:
        return Response(503 if process.stop_asked.is_set() else 200)

    async def control(req: Request) -> Response:
        res, event = await read_control(req)
        if event is not None:
            process.give(with_age(event, time.time()))
        else:
            said = res.body.decode(errors="replace")
            process.unreadable("announcement", "the server", said)
        return res

    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_context
        process.peers = enter(udp_port(cfg.node, process.from_peer))
        from_server = process.taking(ServerPacketReceived)
        process.server = enter(udp_port(cfg.outbound, from_server))
        process.callers = process.server
        await stack.enter_async_context(serving(cfg.readiness, ready))
        await stack.enter_async_context(serving(cfg.control, control))
        await stack.enter_async_context(metrics(cfg.metrics, process.tally))
        await stack.enter_async_context(running(process, reloader.watching()))
        log.info("started", extra={"at": cfg.node, "service": cfg.service})
        await process.stop_asked.wait()
        await _linger(reducer)
    log.info("stopped")


def with_age(event: Any, wall_s: float) -> Any:
    """Return an announcement with the age of its server.

    Server and agent share a clock; a server that started in the future
    tells that it was set back since.
    """
    match event:
        case ServerAnnounced(born_ms=born_ms):
            age_s = wall_s - born_ms / 1_000
            if age_s >= 0.0:
                return msgspec.structs.replace(event, age_s=age_s)
    return event


async def _linger(reducer: RelayAgent) -> None:
    """Wait until the others know that this agent stops."""
    await asyncio.sleep(RESTART_LINGER_S)
    waited = RESTART_LINGER_S
    while waited < GONE_LINGER_S and reducer.is_deregistering:
        await asyncio.sleep(POLL_S)
        waited += POLL_S

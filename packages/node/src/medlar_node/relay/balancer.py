"""Composition root of a balancer that relays flows."""

import asyncio
import contextlib
import random

from medlar_core.relay.access import new_access
from medlar_core.relay.balancer import RelayBalancer
from medlar_core.relay.events import CallerPacketReceived
from medlar_core.relay.registration import Registration
from medlar_core.relay.segment import SegmentCodec
from medlar_core.relay.store_view import BalancerIdentity
from medlar_core.relay.store_view import RouteReader

from ..logs import part_logger
from .http import Request
from .http import Response
from .http import serving
from .log import LogPipe
from .process import AskStore
from .process import metrics
from .process import peer_answer
from .process import RelayProcess
from .process import running
from .reload import Reloader
from .reload import SettingsSource
from .settings import RelaySettings
from .udp import udp_port

LINGER_S = 1.1
"""Routers that ask twice a second notice within this that a balancer is
out of rotation. A longer stay would overlap the stop of the next one."""
STALE_S = 0.8
"""Packets that waited for longer while this process stood still were
sent again by their callers, or belong to flows given up."""
MARGIN_S = 1.0
"""Time left for the process to end before it would be killed."""

log = part_logger("balancer")


async def serve(
    source: SettingsSource,
    cfg: RelaySettings,
    who: BalancerIdentity,
    codec: SegmentCodec,
    read_routes: RouteReader,
    ask_store: AskStore,
    pipe: LogPipe,
) -> None:
    """Relay flows until asked to stop.

    :raises OSError: if an address cannot be listened on.
    """
    rng = random.Random(cfg.name)
    access = new_access(rng)
    registration = Registration(access, who.balancers + who.node, rng)
    reducer = RelayBalancer(who, codec, read_routes, access, registration)
    process = RelayProcess(cfg, reducer, codec, ask_store, pipe)
    reloader = Reloader(source, cfg, process)
    reloader.listen()

    async def ready(req: Request) -> Response:
        return Response(200 if reducer.is_ready else 503)

    async def peer(req: Request) -> Response:
        return await peer_answer(req, reducer.routes.table)

    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_context
        process.peers = enter(udp_port(cfg.node, process.from_peer))
        from_caller = process.taking(CallerPacketReceived)
        process.callers = enter(udp_port(cfg.packets, from_caller, STALE_S))
        await stack.enter_async_context(serving(cfg.node, peer))
        await stack.enter_async_context(serving(cfg.readiness, ready))
        await stack.enter_async_context(metrics(cfg.metrics, process.tally))
        await stack.enter_async_context(running(process, reloader.watching()))
        log.info("started", extra={"at": cfg.node})
        await process.stop_asked.wait()
        await asyncio.sleep(min(LINGER_S, cfg.grace_s - MARGIN_S))
    log.info("stopped")

"""Composition root of a relay balancer."""

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
from .process import ExecuteOp
from .process import RelayProcess
from .process import running
from .process import serving_metrics
from .reload import Reloader
from .reload import SettingsSource
from .route_exchange import respond
from .settings import RelaySettings
from .udp import udp_port

ROTATION_EXIT_S = 1.1
"""Time in which routers, which poll readiness twice a second, take a
stopping balancer out of rotation. In a rolling restart a longer delay would
overlap the stop of the next balancer."""
MAX_PAUSE_S = 0.8
"""Packets queued during a longer pause are discarded: their callers have
retransmitted them or abandoned the flow."""
KILL_MARGIN_S = 1.0
"""Time reserved for the process to exit before it is killed."""

log = part_logger("balancer")


async def serve(
    source: SettingsSource,
    cfg: RelaySettings,
    identity: BalancerIdentity,
    codec: SegmentCodec,
    read_routes: RouteReader,
    execute_op: ExecuteOp,
    pipe: LogPipe,
) -> None:
    """Relay flows until a signal to stop.

    :raises OSError: if an address cannot be bound.
    """
    rng = random.Random(cfg.name)
    access = new_access(rng)
    registration = Registration(
        access, identity.balancers + identity.node, rng
    )
    reducer = RelayBalancer(identity, codec, read_routes, access, registration)
    process = RelayProcess(cfg, reducer, codec, execute_op, pipe)
    reloader = Reloader(source, cfg, process)
    reloader.install_signal_handler()

    async def ready(req: Request) -> Response:
        return Response(200 if reducer.is_ready else 503)

    async def peer(req: Request) -> Response:
        return respond(
            req, lambda: reducer.compact_routes, lambda: reducer.shared_routes
        )

    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_context
        process.peer_socket = enter(
            udp_port(cfg.node, process.handle_peer_datagram)
        )
        from_caller = process.segment_handler(CallerPacketReceived)
        process.caller_socket = enter(
            udp_port(cfg.packets, from_caller, MAX_PAUSE_S)
        )
        await stack.enter_async_context(serving(cfg.node, peer))
        await stack.enter_async_context(serving(cfg.readiness, ready))
        await stack.enter_async_context(
            serving_metrics(cfg.metrics, process.metrics)
        )
        await stack.enter_async_context(
            running(process, reloader.poll_changes())
        )
        log.info("started", extra={"at": cfg.node})
        await process.stop_requested.wait()
        await asyncio.sleep(min(ROTATION_EXIT_S, cfg.grace_s - KILL_MARGIN_S))
    log.info("stopped")

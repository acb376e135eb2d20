"""Start, signals and shutdown, shared by balancer and agent."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import signal
import time

from aiohttp import web
import msgspec

from medlar_core.events import Reducer
from medlar_core.keys.key import InvalidKeys
from medlar_core.keys.seal import Sealer
from medlar_core.timeline.events import TimelineEvent
from medlar_core.timeline.events import Topic
from medlar_core.timeline.recorder import Recorder
from medlar_ops.store_client import StoreClient

from .addresses import split_endpoint
from .logs import part_logger
from .metrics import Metrics
from .process import Process
from .settings import CommonSettings
from .settings import read_key_file

POLL_INTERVAL_S = 0.1
LAST_MESSAGES_S = 0.5
"""Time allowed for sending the last messages of a process."""
BACKLOG = 1024

log = part_logger("daemon")


class Signals(msgspec.Struct, frozen=True):
    """Signals from the platform: a planned stop or a quick restart."""

    stop: asyncio.Event
    restart: asyncio.Event


@contextlib.asynccontextmanager
async def running_process(
    cfg: CommonSettings, reducer: Reducer, metrics: Metrics
) -> AsyncIterator[Process]:
    """Start the process of a reducer, yield it, and stop it at exit.

    :raises OSError: if the address is in use or not local.
    """
    store = StoreClient(cfg.store)
    recorder = Recorder(cfg.listen)
    sealer = Sealer(cfg.keys, cfg.listen, time.time_ns() // 1000)
    process = Process(
        cfg.listen, reducer, sealer, recorder, metrics, store.call, cfg.fabric
    )
    reload_keys_on_sighup(sealer, process, cfg.key_file)
    await process.start()
    process.record(TimelineEvent(Topic.PROCESS, "started"))
    try:
        yield process
    finally:
        await process.stop()
        await store.close()


@contextlib.asynccontextmanager
async def serving(
    app: web.Application, endpoint: str
) -> AsyncIterator[web.AppRunner]:
    """Serve an application on ``ip:port`` until exit.

    :raises OSError: if the address is in use or not local.
    """
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=1.0,
    )
    await runner.setup()
    try:
        host, port = split_endpoint(endpoint)
        await web.TCPSite(runner, host, port, backlog=BACKLOG).start()
        yield runner
    finally:
        await runner.cleanup()


def watch_signals() -> Signals:
    """Return events set by SIGTERM and SIGINT (stop), SIGUSR2 (restart)."""
    loop = asyncio.get_running_loop()
    signals = Signals(asyncio.Event(), asyncio.Event())
    loop.add_signal_handler(signal.SIGTERM, signals.stop.set)
    loop.add_signal_handler(signal.SIGINT, signals.stop.set)
    loop.add_signal_handler(signal.SIGUSR2, signals.restart.set)
    return signals


def reload_keys_on_sighup(
    sealer: Sealer, process: Process, key_file: str
) -> None:
    """Reload the key file on SIGHUP; keep the old keys if it is invalid."""

    def reload() -> None:
        found = read_key_file(key_file)
        if isinstance(found, InvalidKeys):
            log.error(
                "key file not loaded; keeping the previous keys",
                extra={"why": found.text},
            )
            process.metrics.bad_input("keys", "malformed")
            return
        sealer.use(found)
        process.record(TimelineEvent(Topic.KEYS, f"{len(found)} keys in use"))

    if key_file:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, reload)


async def wait_until(done: Callable[[], bool], limit_s: float) -> bool:
    """Wait until ``done()`` is true; return False if the limit passes."""
    ends = time.monotonic() + limit_s
    while time.monotonic() < ends:
        if done():
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
    return done()


async def wait_for_signal(signals: Signals) -> bool:
    """Wait for a signal; return True if it requests a planned stop."""
    stop = asyncio.create_task(signals.stop.wait())
    restart = asyncio.create_task(signals.restart.wait())
    await asyncio.wait((stop, restart), return_when=asyncio.FIRST_COMPLETED)
    stop.cancel()
    restart.cancel()
    return signals.stop.is_set()

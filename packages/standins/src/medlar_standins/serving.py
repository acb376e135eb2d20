"""HTTP helpers shared by the stand-ins: JSON responses and shutdown."""

import asyncio
import signal
from typing import Any

from aiohttp import web
import msgspec


def json_response(body: Any, status: int = 200) -> web.Response:
    """Return a response with a struct as JSON."""
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type="application/json",
    )


async def start(app: web.Application, host: str, port: int) -> web.AppRunner:
    """Listen and return the runner, to be cleaned up at the end."""
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=1.0,
    )
    await runner.setup()
    await web.TCPSite(runner, host, port, backlog=1024).start()
    return runner


async def wait_for_stop_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


async def serve_until_stopped(
    app: web.Application, host: str, port: int, name: str
) -> None:
    """Serve an application until the process is asked to stop."""
    runner = await start(app, host, port)
    print(f"{name}: listens on {host}:{port}", flush=True)
    try:
        await wait_for_stop_signal()
    finally:
        await runner.cleanup()

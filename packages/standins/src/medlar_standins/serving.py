"""What all stand-ins share: JSON answers and a service that stops."""

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


async def stopped() -> None:
    """Return when the process is asked to stop."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


async def forever(
    app: web.Application, host: str, port: int, name: str
) -> None:
    """Serve an application until the process is asked to stop."""
    runner = await start(app, host, port)
    print(f"{name}: listens on {host}:{port}", flush=True)
    try:
        await stopped()
    finally:
        await runner.cleanup()

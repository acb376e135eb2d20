"""Gauges that are set from the status of a process."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

from medlar_core.members.view import ServerState

from .metrics import Metrics
from .status import Status

UPDATE_INTERVAL_S = 1.0


@contextlib.asynccontextmanager
async def updating_gauges(
    metrics: Metrics, status: Callable[[], Status]
) -> AsyncIterator[None]:
    """Set the gauges once a second until exit."""
    task = asyncio.create_task(_update_periodically(metrics, status))
    try:
        yield
    finally:
        task.cancel()


async def _update_periodically(
    metrics: Metrics, status: Callable[[], Status]
) -> None:
    while True:
        _update(metrics, status())
        await asyncio.sleep(UPDATE_INTERVAL_S)


def _update(metrics: Metrics, status: Status) -> None:
    metrics.version.set(status.version)
    metrics.flows.set(status.open_flows)
    metrics.open_work.set(status.open_work)
    for state in ServerState:
        count = sum(server.state is state for server in status.servers)
        metrics.servers.labels(state.value).set(count)

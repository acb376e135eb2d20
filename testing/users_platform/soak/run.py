"""One soak run: the fleet, its faults and the resulting violations."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Coroutine
import contextlib
from pathlib import Path
import time
from typing import Any

import msgspec

from .checker import Checker
from .checker import Violation
from .fleet import Fleet
from .fleet import FleetSize
from .fleet import SMALL
from .plan import CALM_END_S
from .plan import CALM_START_S
from .plan import draw
from .plan import Fault

START_LIMIT_S = 20.0
SETTLE_S = 2.0
"""Entries of servers are known to all balancers about so long after they were
written."""
SERVED_SHARE_MIN = 0.97
"""Minimum share of requests served during times without faults."""
RECOVERY_S = 5.0
"""Time within which service is restored after the last fault."""


class Outcome(msgspec.Struct, frozen=True):
    """Result of one run."""

    seed: int
    requests: int
    served: int
    faults: list[Fault]
    violations: list[Violation]


async def soak(
    seed: int,
    seconds: float,
    block: int,
    folder: Path,
    size: FleetSize = SMALL,
) -> Outcome:
    """Execute one run and return its result.

    :raises TimeoutError: if the fleet does not start.
    """
    fleet = Fleet(seed, block, folder, size)
    faults = draw(seed, len(fleet.processes), len(size.services), seconds)
    async with (
        fleet.running(),
        _run_in_background(fleet.router.poll_readiness()),
    ):
        async with asyncio.timeout(START_LIMIT_S):
            while not fleet.has_started():
                await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_S)
        started_at = time.monotonic()
        async with _run_in_background(fleet.callers.open_flows()):
            async with asyncio.TaskGroup() as tasks:
                for fault in faults:
                    tasks.create_task(_inject(fleet, started_at, fault))
            # Faults may end late, since a process may take long to stop.
            calm_at = max(time.monotonic(), started_at + seconds - CALM_END_S)
            await asyncio.sleep(calm_at + CALM_END_S - time.monotonic())
    check_calm_periods(fleet.checker, started_at, calm_at)
    for process in fleet.processes:
        for failure in process.failures:
            fleet.checker.add_violation(calm_at, "processes run", failure)
    served, requests = (
        len(fleet.checker.served_at),
        len(fleet.checker.first_sent_at),
    )
    violations = [
        msgspec.structs.replace(
            violation, at=round(violation.at - started_at, 2)
        )
        for violation in fleet.checker.violations
    ]
    return Outcome(seed, requests, served, faults, violations)


async def _inject(fleet: Fleet, started_at: float, fault: Fault) -> None:
    await asyncio.sleep(started_at + fault.at - time.monotonic())
    await fleet.inject(fault)


def check_calm_periods(
    checker: Checker, started_at: float, calm_at: float
) -> None:
    """Check that requests sent during times without faults are served."""
    for name, since, until in (
        ("before the faults", started_at, started_at + CALM_START_S - 1.0),
        ("after the faults", calm_at + RECOVERY_S, calm_at + CALM_END_S - 1.5),
    ):
        sent = [
            r for r, at in checker.first_sent_at.items() if since < at < until
        ]
        served = sum(req in checker.served_at for req in sent)
        if served < SERVED_SHARE_MIN * len(sent):
            detail = f"{served} of {len(sent)} served {name}"
            checker.add_violation(since, "served in calm", detail)


@contextlib.asynccontextmanager
async def _run_in_background(
    coro: Coroutine[Any, Any, None],
) -> AsyncIterator[None]:
    task = asyncio.create_task(coro)
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

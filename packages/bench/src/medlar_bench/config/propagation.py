"""Time from accepting a change until it is in force everywhere."""

from collections.abc import Iterable
import random

import msgspec

from medlar_core.config.model import Configuration

from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .documents import document
from .fleet import Fleet

BALANCERS_D = 720
AGENTS_D = 5600
LOSS = 0.1
BOUND_S = 10.0
WAIT_S = 60.0
QUANTILE = 0.999
SERVICES = 20
CHANGES = 2
STORE_READS_PER_S = 1000
"""Read rate of the store that the polling baseline may use."""
OUTAGE_S = 1800.0
DIVISORS = {
    Size.FAST: (128, 64, 32, 16),
    Size.FULL: (64, 16, 4, 1),
}
"""Divisors of the design size, one for each fleet measured."""


class _Times(msgspec.Struct, frozen=True):
    """Seconds from acceptance until in force, by process and change.

    ``outage`` is measured with the store unavailable from acceptance on.
    """

    nodes: int
    store_up: tuple[float, ...]
    outage: tuple[float, ...]


def measure(size: Size, seed: int) -> list[Row]:
    """Measure with the store available, and unavailable from acceptance."""
    results = [_run(divisor, seed) for divisor in DIVISORS[size]]
    largest = results[-1]
    polling = _polling_times(largest.nodes, seed)
    return [
        _row(
            "config.everywhere_s.D",
            [(times.nodes, times.store_up) for times in results],
            _quantile(polling),
            seed,
        ),
        _row(
            "config.everywhere_outage_s",
            [(times.nodes, times.outage) for times in results],
            _quantile(OUTAGE_S + delay_s for delay_s in polling),
            seed,
        ),
    ]


def _row(
    name: str,
    times: list[tuple[int, tuple[float, ...]]],
    baseline: float,
    seed: int,
) -> Row:
    quantiles = [(nodes, _quantile(found)) for nodes, found in times]
    by_size = ", ".join(f"{n}: {value:.2f} s" for n, value in quantiles)
    return Row(
        name,
        round(quantiles[-1][1], 3),
        "s",
        BOUND_S,
        Sense.MAX,
        seed,
        round(baseline, 1),
        "each polls the store",
        f"by processes: {by_size}",
    )


def _run(divisor: int, seed: int) -> _Times:
    fleet = Fleet(
        max(3, BALANCERS_D // divisor), max(10, AGENTS_D // divisor), seed
    )
    fleet.net.faults.loss = LOSS
    fleet.net.metered = False
    cfg = document(SERVICES)
    fleet.apply("first", cfg, 0)
    fleet.settle(lambda: fleet.in_force_everywhere(1), WAIT_S)
    store_up = []
    outage = []
    for number in range(CHANGES):
        cfg = with_more_slots(cfg, number)
        store_up += _change(fleet, cfg, down=False)
        cfg = with_more_slots(cfg, number + CHANGES)
        outage += _change(fleet, cfg, down=True)
    return _Times(len(fleet.alive), tuple(store_up), tuple(outage))


def with_more_slots(cfg: Configuration, number: int) -> Configuration:
    """Return a document with one more slot for one service."""
    services = list(cfg.services)
    old = services[number % len(services)]
    new = msgspec.structs.replace(old, slots=old.slots + 1)
    services[number % len(services)] = new
    return msgspec.structs.replace(cfg, services=tuple(services))


def _change(fleet: Fleet, cfg: Configuration, down: bool) -> list[float]:
    """Apply a change and return the delay of each process.

    With ``down`` the store becomes unavailable on acceptance.
    """
    base = max(fleet.newest(node) for node in fleet.alive)
    change = fleet.apply(f"change-{base}", cfg, base)
    fleet.settle(lambda: change in fleet.outcomes, WAIT_S, 0.001)
    accepted_at = fleet.outcome_at[change]
    fleet.store.down = down
    fleet.settle(lambda: fleet.in_force_everywhere(base + 1), WAIT_S, 0.1)
    fleet.store.down = False
    return [
        fleet.in_force_since(node, base + 1) - accepted_at
        for node in fleet.alive
    ]


def _polling_times(nodes: int, seed: int) -> list[float]:
    """Return delays of processes that poll the store within its read rate."""
    rng = random.Random(seed)
    period = max(1.0, nodes / STORE_READS_PER_S)
    times = []
    for _ in range(nodes * CHANGES):
        delay_s = rng.random() * period
        while rng.random() < LOSS:
            delay_s += period
        times.append(delay_s)
    return times


def _quantile(times: Iterable[float]) -> float:
    ordered = sorted(times)
    return ordered[min(len(ordered) - 1, int(len(ordered) * QUANTILE))]

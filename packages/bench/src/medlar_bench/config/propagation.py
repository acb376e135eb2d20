"""How long an accepted change takes to be in force everywhere."""

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
"""Reads that the baseline's polling may take of the store."""
OUTAGE_S = 1800.0
SHARES = {
    Size.FAST: (128, 64, 32, 16),
    Size.FULL: (64, 16, 4, 1),
}
"""Sizes as the design size over these."""


class _Times(msgspec.Struct, frozen=True):
    """Seconds from acceptance to force, of each process and change."""

    nodes: int
    usual: tuple[float, ...]
    outage: tuple[float, ...]


def measure(size: Size, seed: int) -> list[Row]:
    """Return the rows with the store up, and down from acceptance."""
    found = [_run(share, seed) for share in SHARES[size]]
    largest = found[-1]
    polled = _polled(largest.nodes, seed)
    return [
        _row(
            "config.everywhere_s.D",
            [(times.nodes, times.usual) for times in found],
            _quantile(polled),
            seed,
        ),
        _row(
            "config.everywhere_outage_s",
            [(times.nodes, times.outage) for times in found],
            _quantile(OUTAGE_S + late for late in polled),
            seed,
        ),
    ]


def _row(
    name: str,
    times: list[tuple[int, tuple[float, ...]]],
    baseline: float,
    seed: int,
) -> Row:
    figures = [(nodes, _quantile(found)) for nodes, found in times]
    said = ", ".join(f"{n}: {value:.2f} s" for n, value in figures)
    return Row(
        name,
        round(figures[-1][1], 3),
        "s",
        BOUND_S,
        Sense.MAX,
        seed,
        round(baseline, 1),
        "each polls the store",
        f"by processes: {said}",
    )


def _run(share: int, seed: int) -> _Times:
    fleet = Fleet(
        max(3, BALANCERS_D // share), max(10, AGENTS_D // share), seed
    )
    fleet.net.faults.loss = LOSS
    fleet.net.metered = False
    cfg = document(SERVICES)
    fleet.apply("first", cfg, 0)
    fleet.settle(lambda: fleet.in_force_everywhere(1), WAIT_S)
    usual = []
    outage = []
    for number in range(CHANGES):
        cfg = with_more_slots(cfg, number)
        usual += _change(fleet, cfg, down=False)
        cfg = with_more_slots(cfg, number + CHANGES)
        outage += _change(fleet, cfg, down=True)
    return _Times(len(fleet.alive), tuple(usual), tuple(outage))


def with_more_slots(cfg: Configuration, number: int) -> Configuration:
    """Return a document with one service changed."""
    services = list(cfg.services)
    old = services[number % len(services)]
    new = msgspec.structs.replace(old, slots=old.slots + 1)
    services[number % len(services)] = new
    return msgspec.structs.replace(cfg, services=tuple(services))


def _change(fleet: Fleet, cfg: Configuration, down: bool) -> list[float]:
    """Apply a change; ``down`` ends the store as the change is accepted."""
    base = max(fleet.newest(node) for node in fleet.alive)
    change = fleet.apply(f"change-{base}", cfg, base)
    fleet.settle(lambda: change in fleet.outcomes, WAIT_S, 0.001)
    accepted_at = fleet.outcome_at[change]
    fleet.store.down = down
    fleet.settle(lambda: fleet.in_force_everywhere(base + 1), WAIT_S, 0.1)
    fleet.store.down = False
    return [
        fleet.reached(node, base + 1) - accepted_at for node in fleet.alive
    ]


def _polled(nodes: int, seed: int) -> list[float]:
    """Times of processes that each poll the store within its budget."""
    rng = random.Random(seed)
    period = max(1.0, nodes / STORE_READS_PER_S)
    times = []
    for _ in range(nodes * CHANGES):
        late = rng.random() * period
        while rng.random() < LOSS:
            late += period
        times.append(late)
    return times


def _quantile(times: Iterable[float]) -> float:
    found = sorted(times)
    return found[min(len(found) - 1, int(len(found) * QUANTILE))]

"""Runs measurements, in processes of their own or one by one."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from concurrent import futures
import itertools
import multiprocessing
import traceback

import msgspec

from . import registry
from .rows import Measurement
from .rows import Row
from .rows import Size

SEED = 1


class Outcome(msgspec.Struct, frozen=True):
    """What one measurement gave: its rows, or the error that ended it."""

    names: tuple[str, ...]
    rows: tuple[Row, ...] = ()
    error: str = ""


Done = Callable[[Outcome, int], None]
"""Takes an outcome as it comes and how many measurements are left."""


def measure_all(
    prefix: str, size: Size, jobs: int, done: Done = lambda _, __: None
) -> list[Outcome]:
    """Run the measurements under a prefix and return their outcomes.

    Rows that time real code run last and alone, so that nothing else of
    the benchmark takes their processor; they stay out of Size.FAST.
    """
    found = registry.gather(prefix)
    counted = [m for m in found if not m.wall]
    timed = [m for m in found if m.wall and size is Size.FULL]
    outcomes: list[Outcome] = []
    count = len(counted) + len(timed)
    pooled = _pooled(counted, size, jobs) if jobs > 1 else _each(counted, size)
    for outcome in itertools.chain(pooled, _each(timed, size)):
        outcomes.append(outcome)
        done(outcome, count - len(outcomes))
    order = [measurement.names for measurement in (*counted, *timed)]
    return sorted(outcomes, key=lambda outcome: order.index(outcome.names))


def _each(
    measurements: Iterable[Measurement], size: Size
) -> Iterator[Outcome]:
    for measurement in measurements:
        yield measure(measurement, size)


def measure(measurement: Measurement, size: Size) -> Outcome:
    """Run one measurement; an exception becomes part of the outcome."""
    try:
        rows = tuple(measurement.run(size, SEED))
    except Exception:
        return Outcome(measurement.names, error=traceback.format_exc())
    given = {row.name for row in rows}
    if given != set(measurement.names):
        want = ", ".join(sorted(measurement.names))
        text = f"expected rows {want}, got {', '.join(sorted(given))}"
        return Outcome(measurement.names, rows, text)
    return Outcome(measurement.names, rows)


def _pooled(
    counted: Iterable[Measurement], size: Size, jobs: int
) -> Iterator[Outcome]:
    """Run measurements in a pool; they are found again by their names."""
    context = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(jobs, mp_context=context) as pool:
        tasks = [pool.submit(_named, m.names, size) for m in counted]
        for task in futures.as_completed(tasks):
            yield task.result()


def _named(names: tuple[str, ...], size: Size) -> Outcome:
    found = [m for m in registry.gather() if m.names == names]
    return measure(found[0], size)

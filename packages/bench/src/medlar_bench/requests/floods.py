"""Runs of a workload while one kind of work floods its service."""

from collections.abc import Callable
import functools

import hdrh.histogram
import msgspec

from medlar_core.ids import KindName

from .callers import Callers
from .callers import Job
from .fleet import Fleet
from .policies import Makers
from .workloads import SLOTS
from .workloads import Stream
from .workloads import USUAL_LOAD
from .workloads import Workload

FLOOD = 10.0
"""Load of the flooding kind, as a multiple of its usual load."""
WARM_S = 5.0
SETTLE_S = 2.0
"""Time between the start of the flood and that of the measurement."""
SAMPLE_S = 0.02

Prepare = Callable[[Fleet, Callers], None]


class FloodRun(msgspec.Struct, frozen=True):
    """One run: its jobs, and samples of the busy slots of each server.

    ``since`` and ``until`` bound the measured period.
    """

    load: Workload
    callers: Callers
    since: float
    until: float
    busy: list[list[int]]

    @property
    def used(self) -> float:
        """Average share of busy slots."""
        total = sum(sum(sample) for sample in self.busy)
        return total / sum(SLOTS * len(sample) for sample in self.busy)

    def jobs(self, kind: KindName) -> list[Job]:
        """Return the jobs of a kind sent in the measured period."""
        found = self.callers.within(self.since, self.until)
        return [job for job in found if job.stream.kind.name == kind]

    def goodput(self, kind: KindName) -> int:
        """Return how many jobs of a kind were answered in time."""
        return sum(job.in_time for job in self.jobs(kind))

    def p99_s(self, kind: KindName) -> float:
        """Return the 99th percentile of the time to a response."""
        found = hdrh.histogram.HdrHistogram(1, 60_000_000, 3)
        for job in self.jobs(kind):
            if job.in_time:
                found.record_value(int(job.took_s * 1e6))
        return float(found.get_value_at_percentile(99.0)) / 1e6


def run(
    load: Workload,
    seed: int,
    makers: Makers,
    flooding: Stream | None,
    length_s: float,
    after_s: float = 0.0,
    usual: float = USUAL_LOAD,
    prepare: Prepare | None = None,
    only: str = "",
    times: float = FLOOD,
) -> FloodRun:
    """Run a workload with a flood of one stream, or with none.

    The flood starts at WARM_S and lasts ``length_s``; arrivals continue
    for ``after_s`` after it. ``only`` restricts the load to one service.
    """
    fleet = Fleet(load, seed, makers.balancer, makers.agent)
    callers = Callers(fleet, seed)
    if prepare is not None:
        prepare(fleet, callers)
    ends = WARM_S + length_s
    for stream in load.streams:
        if only and stream.service != only:
            continue
        rate = load.rate(stream, usual)
        callers.arrive(stream, rate, 0.0, ends + after_s)
        if stream == flooding:
            callers.arrive(stream, rate * (times - 1.0), WARM_S, ends)
    busy: list[list[int]] = []
    name = flooding.service if flooding is not None else only
    sample = functools.partial(_sample, fleet, name, ends, busy)
    fleet.clock.at(WARM_S + SETTLE_S, lambda: _every(fleet, sample))
    fleet.clock.run_until(ends + after_s + 15.0)
    return FloodRun(load, callers, WARM_S + SETTLE_S, ends, busy)


def _every(fleet: Fleet, sample: Callable[[], bool]) -> None:
    fleet.clock.every(SAMPLE_S, sample)


def _sample(
    fleet: Fleet, service: str, until: float, into: list[list[int]]
) -> bool:
    into.append(fleet.busy(service))
    return fleet.clock.now < until

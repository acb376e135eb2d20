"""Rows ``requests.*``: what becomes of requests in the fault schedule."""

from .callers import Accounts
from .callers import Callers
from .faults import Fault
from .faults import Schedule
from .fleet import Fleet
from .policies import Makers
from .workloads import USUAL_LOAD
from .workloads import Workload

QUIET_S = 15.0
"""Time after the faults for every open request to end."""
PERIOD_S = 2.0


def faulty_run(
    load: Workload,
    seed: int,
    length_s: float,
    makers: Makers,
    faults: tuple[Fault, ...] = tuple(Fault),
) -> Callers:
    """Run a workload under the fault schedule and return its callers."""
    fleet = Fleet(load, seed, makers.balancer, makers.agent)
    callers = Callers(fleet, seed)
    for stream in load.streams:
        rate = load.rate(stream, USUAL_LOAD)
        callers.arrive(stream, rate, 1.0, length_s)
    schedule = Schedule(fleet, callers, seed, faults)
    schedule.run(3.0, length_s, PERIOD_S)
    fleet.clock.run_until(length_s + QUIET_S + 30.0)
    return callers


def total(runs: list[Accounts]) -> Accounts:
    """Add up what several runs came to."""
    return Accounts(
        **{
            name: sum(getattr(run, name) for run in runs)
            for name in Accounts.__struct_fields__
        }
    )

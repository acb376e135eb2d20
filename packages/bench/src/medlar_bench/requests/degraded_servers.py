"""Rows on cold, misreporting and load-shedding servers, and on balance."""

import functools
import math

from medlar_core.ids import NodeId
from medlar_core.members.view import ServerState

from ..rows import Measurement
from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .baseline import Order
from .baseline import Pick
from .callers import Callers
from .fleet import Fleet
from .floods import FloodRun
from .floods import Prepare
from .floods import run
from .floods import WARM_S
from .policies import ENDPOINT
from .policies import LEAST
from .policies import Makers
from .policies import ours
from .policies import simple
from .policies import STALE
from .workloads import Workload
from .workloads import WORKLOADS

LENGTH_S = {Size.FAST: 6.0, Size.FULL: 25.0}
COLD_S = 10.0
"""Time that a server takes to warm up."""
COLD_SLOWER = 4.0
"""Factor by which work takes longer on a server that just started."""
LAG_S = 10.0
ENDPOINT_PERIOD_S = 1.0
SHED = 0.5
"""Share of starts that a shedding server refuses."""
FULL_LOAD = 0.8
RETRY_THREE = simple(Order.FIFO, Pick.LEAST, "retry 3 times")


def _third(fleet: Fleet, service: str) -> list[NodeId]:
    """Return a third of the servers of a service."""
    found = [s.id for s in fleet.members.values() if s.service == service]
    return found[: math.ceil(len(found) / 3)]


def cold(service: str) -> Prepare:
    """Return a preparation that starts a third of the servers cold."""

    def prepare(fleet: Fleet, callers: Callers) -> None:
        def warm_up(age_s: float) -> None:
            warmth = min(age_s / COLD_S, 1.0)
            state = ServerState.READY
            if warmth < 1.0:
                state = ServerState.WARMING
            for node in chosen:
                slower = COLD_SLOWER + (1.0 - COLD_SLOWER) * warmth
                fleet.servers[node].slow = slower
                fleet.change(node, warmth=max(warmth, 0.05), state=state)
            fleet.send_views(0.5)
            if warmth < 1.0:
                fleet.clock.after(1.0, lambda: warm_up(age_s + 1.0))

        chosen = _third(fleet, service)
        fleet.clock.at(WARM_S, lambda: warm_up(0.0))

    return prepare


def lying(service: str) -> Prepare:
    """Return a preparation that makes load endpoints misreport.

    All of them report LAG_S late, and a third always report no load.
    """

    def prepare(fleet: Fleet, callers: Callers) -> None:
        idle = set(_third(fleet, service))

        def report(node: NodeId, busy: int) -> None:
            fleet.change(node, busy=0 if node in idle else busy)

        def read() -> bool:
            for node in fleet.members:
                busy = len(fleet.servers[node].running)
                fleet.clock.after(LAG_S, functools.partial(report, node, busy))
            fleet.send_views(0.0)
            return True

        fleet.clock.every(ENDPOINT_PERIOD_S, read)

    return prepare


def shedding(fleet: Fleet, callers: Callers) -> None:
    """Make a third of each service's servers shed load."""
    for service in fleet.load.services:
        for node in _third(fleet, service.name):
            fleet.shedding[node] = SHED


def _goodput(
    load: Workload,
    makers: Makers,
    length_s: float,
    seed: int,
    prepare: Prepare | None,
) -> float:
    """Return the jobs of the first service answered in time."""
    name = load.services[0].name
    found = run(load, seed, makers, None, length_s, prepare=prepare, only=name)
    return float(sum(found.goodput(s.kind.name) for s in load.of(name)))


def _share(
    load: Workload,
    makers: Makers,
    length_s: float,
    seed: int,
    prepare: Prepare,
) -> float:
    """Return the goodput with degraded servers over that without."""
    steady = _goodput(load, makers, length_s, seed, None)
    return _goodput(load, makers, length_s, seed, prepare) / steady


def measure_cold(size: Size, seed: int) -> list[Row]:
    """Return the row on cold servers."""
    found = [
        [
            _share(w, makers, COLD_S, seed, cold(w.services[0].name))
            for w in WORKLOADS
        ]
        for makers in (ours(), LEAST)
    ]
    return [
        Row(
            name="flood.cold",
            value=round(min(found[0]), 4),
            unit="share",
            bound=0.9,
            sense=Sense.MIN,
            seed=seed,
            baseline=round(min(found[1]), 4),
            baseline_name=LEAST.name,
            note="the lesser of A and S while a third warms up for 10 s",
        )
    ]


def measure_lying(size: Size, seed: int) -> list[Row]:
    """Return the row on load endpoints that misreport."""
    length_s = LENGTH_S[size] + LAG_S
    found = [
        [
            _share(w, makers, length_s, seed, lying(w.services[0].name))
            for w in WORKLOADS
        ]
        for makers in (ours(), ENDPOINT)
    ]
    return [
        Row(
            name="flood.lying",
            value=round(min(found[0]), 4),
            unit="share",
            bound=0.95,
            sense=Sense.MIN,
            seed=seed,
            baseline=round(min(found[1]), 4),
            baseline_name=ENDPOINT.name,
            note="the lesser of A and S",
        )
    ]


def measure_shedding(size: Size, seed: int) -> list[Row]:
    """Return the row on attempts while servers shed load."""
    found = []
    for makers in (ours(), RETRY_THREE):
        ratios = []
        for load in WORKLOADS:
            done = run(
                load, seed, makers, None, LENGTH_S[size], prepare=shedding
            )
            attempts = done.callers.fleet.attempts
            ratios.append(attempts.total() / len(attempts))
        found.append(max(ratios))
    return [
        Row(
            name="requests.retry_amplification",
            value=round(found[0], 4),
            unit="ratio",
            bound=1.1,
            sense=Sense.MAX,
            seed=seed,
            baseline=round(found[1], 4),
            baseline_name=RETRY_THREE.name,
            note="attempts over calls with an attempt, worse of A and S",
        )
    ]


def imbalance(found: FloodRun, window: int = 50) -> float:
    """Return the average over windows of max to mean busy slots per server.

    ``window`` is in samples; 50 samples are 1 s.
    """
    ratios = []
    for at in range(0, len(found.busy) - window + 1, window):
        part = found.busy[at : at + window]
        sums = [sum(server) for server in zip(*part, strict=True)]
        mean = sum(sums) / len(sums)
        if mean:
            ratios.append(max(sums) / mean)
    return float(sum(ratios) / len(ratios))


def measure_balance(size: Size, seed: int) -> list[Row]:
    """Return the rows on balance between servers."""
    rows = []
    for load in WORKLOADS:
        name = load.services[0].name
        found = [
            imbalance(
                run(
                    load,
                    seed,
                    makers,
                    None,
                    LENGTH_S[size],
                    usual=FULL_LOAD,
                    only=name,
                )
            )
            for makers in (ours(), STALE)
        ]
        rows.append(
            Row(
                name=f"load.imbalance.{load.name}",
                value=round(found[0], 4),
                unit="ratio",
                bound=1.25,
                sense=Sense.MAX,
                seed=seed,
                baseline=round(found[1], 4),
                baseline_name=STALE.name,
            )
        )
    return rows


COLD = Measurement(("flood.cold",), measure_cold)
LYING = Measurement(("flood.lying",), measure_lying)
SHEDDING = Measurement(("requests.retry_amplification",), measure_shedding)
BALANCE = Measurement(
    tuple(f"load.imbalance.{w.name}" for w in WORKLOADS), measure_balance
)

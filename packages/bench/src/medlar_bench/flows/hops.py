"""Rows on packets that take a second hop and on leaving servers."""

from medlar_core.ids import NodeId
from medlar_core.packets import Packet

from ..rows import Measurement
from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .broken import BERTH
from .broken import Load
from .broken import SERVERS
from .broken import Stage

AFTER_S = 60.0
"""Time after a change at which hops are counted, in seconds."""

WINDOW_S = {Size.FAST: 0.5, Size.FULL: 4.0}
"""How long hops are counted, in seconds."""

RAMP_S = 3.0
"""How long before that the whole load runs, in seconds."""

LOAD = Load(feeds=200, short_per_s=20, gap_s=0.0, rounds=0)
SHORT_PER_S = 3000
"""Short flows of three balancers while hops are counted."""

LAG_S = 60.0
"""How late one balancer learns of changes, in seconds."""


def _share(stage: Stage, size: Size) -> float:
    """Return the share of packets that took more than one hop."""
    stage.wait(AFTER_S - RAMP_S)
    ends = stage.world.clock.now + RAMP_S + WINDOW_S[size]
    stage.run_short(SHORT_PER_S, ends)
    stage.wait(RAMP_S)
    callers = stage.callers
    delivered, extra = callers.delivered, callers.extra
    stage.wait(WINDOW_S[size])
    return (callers.extra - extra) / (callers.delivered - delivered)


def measure_hops(size: Size, seed: int) -> list[Row]:
    """Measure extra hops after a drain and after a burst of joins."""
    stage = Stage(size, seed, None, LOAD)
    shares = []
    stage.replace_server(BERTH, stage.alive[BERTH][0])
    shares.append(_share(stage, size))
    for service in SERVERS:
        for _ in range(max(1, len(stage.alive[service]) // 3)):
            stage.alive[service].append(stage.join(service))
    shares.append(_share(stage, size))
    note = f"drain {shares[0]:.4f}, join of a third {shares[1]:.4f}"
    return [
        Row(
            name="flows.extra_hops",
            value=max(shares),
            unit="share",
            bound=0.02,
            sense=Sense.MAX,
            seed=seed,
            note=note,
        )
    ]


def measure_leaving(size: Size, seed: int) -> list[Row]:
    """Measure the last new flow on servers that were told to leave.

    One balancer learns of every change a minute late.
    """
    stage = Stage(size, seed, None)
    world = stage.world
    world.lag[stage.balancers[0]] = LAG_S
    drained: dict[NodeId, float] = {}
    last = [0.0]

    def opened(node: NodeId, packet: Packet) -> None:
        if node in drained:
            last[0] = max(last[0], world.clock.now - drained[node])

    stage.callers.opened = opened
    for service in SERVERS:
        for node in list(stage.alive[service])[:2]:
            drained[node] = world.clock.now
            stage.replace_server(service, node)
            stage.wait(stage.load.gap_s)
    note = f"{len(drained)} drains, one balancer {LAG_S:.0f} s behind"
    return [
        Row(
            name="flows.leaving_new_s",
            value=last[0],
            unit="s",
            bound=3.0,
            sense=Sense.MAX,
            seed=seed,
            note=note,
        )
    ]


MEASUREMENTS = (
    Measurement(("flows.leaving_new_s",), measure_leaving),
    Measurement(("flows.extra_hops",), measure_hops),
)

"""Rows on extra hops of packets and on new flows at draining servers."""

from medlar_core.ids import NodeId
from medlar_core.packets import Packet

from ..rows import Measurement
from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .broken import BERTH
from .broken import Load
from .broken import SERVERS
from .broken import Testbed

AFTER_S = 60.0
"""Time from a change until hops are counted, in seconds."""

WINDOW_S = {Size.FAST: 0.5, Size.FULL: 4.0}
"""How long hops are counted, in seconds."""

RAMP_S = 3.0
"""Time for which the full load runs before the count, in seconds."""

LOAD = Load(feeds=200, short_per_s=20, gap_s=0.0, rounds=0)
SHORT_PER_S = 3000
"""Rate of short flows over three balancers during the count."""

LAG_S = 60.0
"""Delay with which one balancer learns of changes, in seconds."""


def _extra_hop_share(testbed: Testbed, size: Size) -> float:
    """Return the share of packets that took more than one hop."""
    testbed.wait(AFTER_S - RAMP_S)
    until = testbed.world.clock.now + RAMP_S + WINDOW_S[size]
    testbed.run_short(SHORT_PER_S, until)
    testbed.wait(RAMP_S)
    callers = testbed.callers
    delivered, extra = callers.delivered, callers.extra_hops
    testbed.wait(WINDOW_S[size])
    return (callers.extra_hops - extra) / (callers.delivered - delivered)


def measure_hops(size: Size, seed: int) -> list[Row]:
    """Measure extra hops after a drain and after a burst of joins."""
    testbed = Testbed(size, seed, None, LOAD)
    shares = []
    testbed.replace_server(BERTH, testbed.alive[BERTH][0])
    shares.append(_extra_hop_share(testbed, size))
    for service in SERVERS:
        for _ in range(max(1, len(testbed.alive[service]) // 3)):
            testbed.alive[service].append(testbed.join(service))
    shares.append(_extra_hop_share(testbed, size))
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


def measure_draining(size: Size, seed: int) -> list[Row]:
    """Measure how long after its drain a server still gets new flows.

    One balancer learns of every change ``LAG_S`` late.
    """
    testbed = Testbed(size, seed, None)
    world = testbed.world
    world.lag[testbed.balancers[0]] = LAG_S
    drained: dict[NodeId, float] = {}
    last = [0.0]

    def opened(node: NodeId, packet: Packet) -> None:
        if node in drained:
            last[0] = max(last[0], world.clock.now - drained[node])

    testbed.callers.opened = opened
    for service in SERVERS:
        for node in list(testbed.alive[service])[:2]:
            drained[node] = world.clock.now
            testbed.replace_server(service, node)
            testbed.wait(testbed.load.gap_s)
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
    Measurement(("flows.leaving_new_s",), measure_draining),
    Measurement(("flows.extra_hops",), measure_hops),
)

"""Row on established flows broken under a flood of new ones."""

import functools

from medlar_core.ids import NodeId
from medlar_core.packets import Flag
from medlar_core.packets import Packet

from ..rows import Measurement
from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .baselines import FlowTableFactory
from .broken import Load
from .broken import MANIFEST
from .broken import Testbed
from .factories import ReducerFactory
from .world import address_of

LOADS = {
    Size.FAST: Load(feeds=20, short_per_s=15, gap_s=10.0, rounds=0),
    Size.FULL: Load(feeds=100, short_per_s=30, gap_s=15.0, rounds=0),
}
FLOOD_FACTOR = 100
COMPLETED_EVERY = 20
"""One in this many flood flows completes its handshake, then is idle."""

STRAY_EVERY = 10
"""One in this many flood flows adds a packet of a flow never opened."""

TABLE_LIMIT = 5000


def _send_flood(testbed: Testbed) -> int:
    """Send the flood and return its number of new flows."""
    world = testbed.world
    load = testbed.load
    address = address_of(MANIFEST)
    total = int(FLOOD_FACTOR * load.short_per_s * load.gap_s)
    start = world.clock.now

    def send(number: int) -> None:
        high, low = number >> 16, number & 0xFFFF
        caller = f"203.0.{high}.{low >> 8}:{low & 255}"
        world.send(Packet(caller, address, int(Flag.SYN)))
        ack = Packet(caller, address, int(Flag.ACK))
        if number % COMPLETED_EVERY == 0:
            world.clock.after(0.02, lambda: world.send(ack))
        if number % STRAY_EVERY == 0:
            stray = f"203.1.{high}.{low >> 8}:{low & 255}"
            world.send(Packet(stray, address, int(Flag.ACK), b"x"))

    for number in range(total):
        at = start + load.gap_s * number / total
        world.clock.at(at, functools.partial(send, number))
    testbed.wait(load.gap_s)
    return total


def run_flood(
    size: Size, seed: int, factory: ReducerFactory | None
) -> tuple[int, int]:
    """Flood a service after a drain; return broken and flood flow counts."""
    testbed = Testbed(size, seed, factory, LOADS[size])
    drained: NodeId = testbed.alive[MANIFEST][0]
    testbed.replace_server(MANIFEST, drained)
    testbed.wait(5.0)
    total = _send_flood(testbed)
    testbed.finish()
    return testbed.callers.broken(), total


def measure(size: Size, seed: int) -> list[Row]:
    """Count the established flows that a flood breaks."""
    broken, total = run_flood(size, seed, None)
    baseline, _ = run_flood(size, seed, FlowTableFactory(TABLE_LIMIT))
    return [
        Row(
            name="flows.syn_flood",
            value=broken,
            unit="flows",
            bound=0,
            sense=Sense.MAX,
            seed=seed,
            baseline=baseline,
            baseline_name="flow table with eviction",
            note=f"{total} new flows, 1 in {COMPLETED_EVERY} completed",
        )
    ]


MEASUREMENTS = (Measurement(("flows.syn_flood",), measure),)

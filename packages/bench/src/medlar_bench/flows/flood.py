"""The row on established flows under a flood of new ones."""

import functools

from medlar_core.ids import NodeId
from medlar_core.packets import Flag
from medlar_core.packets import Packet

from ..rows import Measurement
from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .baselines import Tabled
from .broken import Load
from .broken import MANIFEST
from .broken import Stage
from .factories import Fleet
from .world import address_of

LOADS = {
    Size.FAST: Load(feeds=20, short_per_s=15, gap_s=10.0, rounds=0),
    Size.FULL: Load(feeds=100, short_per_s=30, gap_s=15.0, rounds=0),
}
FLOOD_FACTOR = 100
PROVED_EVERY = 20
"""One in so many flooding flows is completed, and then says no more."""

STRAY_EVERY = 10
"""For one in so many a packet comes of a flow that was never opened."""

TABLE_LIMIT = 5000


def _flood(stage: Stage) -> int:
    """Send the flood; return how many new flows it had."""
    world = stage.world
    load = stage.load
    address = address_of(MANIFEST)
    total = int(FLOOD_FACTOR * load.short_per_s * load.gap_s)
    start = world.clock.now

    def send(number: int) -> None:
        high, low = number >> 16, number & 0xFFFF
        caller = f"203.0.{high}.{low >> 8}:{low & 255}"
        world.send(Packet(caller, address, int(Flag.SYN)))
        proof = Packet(caller, address, int(Flag.ACK))
        if number % PROVED_EVERY == 0:
            world.clock.after(0.02, lambda: world.send(proof))
        if number % STRAY_EVERY == 0:
            stray = f"203.1.{high}.{low >> 8}:{low & 255}"
            world.send(Packet(stray, address, int(Flag.ACK), b"x"))

    for number in range(total):
        at = start + load.gap_s * number / total
        world.clock.at(at, functools.partial(send, number))
    stage.wait(load.gap_s)
    return total


def play(size: Size, seed: int, fleet: Fleet | None) -> tuple[int, int]:
    """Flood a service with a drained server; return broken and flooding."""
    stage = Stage(size, seed, fleet, LOADS[size])
    leaving: NodeId = stage.alive[MANIFEST][0]
    stage.replace_server(MANIFEST, leaving)
    stage.wait(5.0)
    total = _flood(stage)
    stage.finish()
    return stage.callers.broken(), total


def measure(size: Size, seed: int) -> list[Row]:
    """Measure the flows that a flood breaks."""
    broken, total = play(size, seed, None)
    baseline, _ = play(size, seed, Tabled(TABLE_LIMIT))
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
            note=f"{total} new flows, 1 in {PROVED_EVERY} completed",
        )
    ]


MEASUREMENTS = (Measurement(("flows.syn_flood",), measure),)

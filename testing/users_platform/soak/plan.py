"""The faults of one run, drawn from its seed."""

import enum
import random

import msgspec

QUIET_S = 2.0
"""Served without faults at the start."""
SETTLE_S = 8.0
"""Served without faults at the end."""
GAP_S = 1.2
"""Mean time between faults."""
SERIES = 0.3
"""Share of faults that hit several targets one after the other."""
SERIES_GAP_S = 0.3


class Kind(enum.Enum):
    """What is done to the target."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    HANGUP = "hangup"
    STORE_DELAY = "store delay"
    STORE_RESET = "store reset"
    STORE_SILENCE = "store silence"
    STORE_ONE_WAY = "store one way"
    STORE_BUSY = "store busy"
    STORE_LOSES = "store loses answers"
    STORE_FORGETS = "store forgets"
    STORE_REVOKES = "store revokes"
    LOSS = "loss"
    CRASH = "server crash"
    RELEASE = "server release"
    CLOCK_BACK = "server restarts, clock set back"
    ROUTE_ADDED = "route added"
    ROUTE_REMOVED = "route removed"


ON_PROCESS = (
    Kind.KILL,
    Kind.STOP,
    Kind.PAUSE,
    Kind.HANGUP,
    Kind.STORE_DELAY,
    Kind.STORE_RESET,
    Kind.STORE_SILENCE,
    Kind.STORE_ONE_WAY,
)
ON_SERVER = (Kind.CRASH, Kind.RELEASE, Kind.CLOCK_BACK)


class Fault(msgspec.Struct, frozen=True):
    """One fault: when it begins, at what, for how many seconds.

    ``target`` counts processes or servers; it means nothing to faults
    of the store, of the network and of the configuration.
    """

    at: float
    kind: Kind
    target: int
    for_s: float


def draw(
    seed: int, processes: int, servers: int, seconds: float
) -> list[Fault]:
    """Return the faults of a run in order of time."""
    rng = random.Random(seed)
    found: list[Fault] = []
    at = QUIET_S
    while at < seconds - SETTLE_S:
        kind = rng.choice(list(Kind))
        size = servers if kind in ON_SERVER else processes
        count = 1
        if kind in (*ON_PROCESS, *ON_SERVER) and rng.random() < SERIES:
            count = rng.randint(2, size)
        for step in range(count):
            begin = at + SERIES_GAP_S * step
            length = min(rng.uniform(0.2, 3.0), seconds - SETTLE_S - begin)
            if length > 0:
                target = rng.randrange(size)
                found.append(Fault(begin, kind, target, length))
        at += rng.expovariate(1 / GAP_S)
    return sorted(found, key=lambda fault: fault.at)

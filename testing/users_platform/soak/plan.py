"""Schedule of faults of one run, generated from its seed."""

import enum
import random

import msgspec

CALM_START_S = 2.0
"""Time without faults at the start of a run."""
CALM_END_S = 8.0
"""Time without faults at the end of a run."""
FAULT_GAP_S = 1.2
"""Mean time between faults."""
SERIES_SHARE = 0.3
"""Share of faults injected into several targets in sequence."""
SERIES_GAP_S = 0.3


class FaultKind(enum.Enum):
    """Kind of a fault."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    HANGUP = "hangup"
    STORE_DELAY = "store delay"
    STORE_RESET = "store reset"
    STORE_SILENCE = "store silence"
    STORE_ONE_WAY = "store one way"
    STORE_BUSY = "store busy"
    STORE_LOSES_ANSWERS = "store loses answers"
    STORE_COMPACTS = "store forgets"
    STORE_REVOKES = "store revokes"
    LOSS = "loss"
    CRASH = "server crash"
    RELEASE = "server release"
    CLOCK_BACK = "server restarts, clock set back"
    ROUTE_ADDED = "route added"
    ROUTE_REMOVED = "route removed"
    ROUTE_MOVED = "route moved and back"
    TIMEOUT_LOWERED = "idle timeout lowered and raised"
    BALANCERS_KILLED = "all balancers killed"
    ZONE_EVACUATED = "zone evacuated and taken back"
    SERVER_HANGS = "server accepts flows and answers nothing"
    ALL_KILLED = "all processes killed"


CHANGES = (
    FaultKind.ROUTE_MOVED,
    FaultKind.TIMEOUT_LOWERED,
    FaultKind.BALANCERS_KILLED,
)
"""Drawn apart from the others, so that these stay the same for a seed."""
CHANGE_GAP_S = 3.0
"""Mean time between two of these."""
CHANGE_LONGEST_S = 4.0
CHANGES_SEED = 1_000_003
"""Added to the seed of the run."""

HARD = (
    FaultKind.ZONE_EVACUATED,
    FaultKind.SERVER_HANGS,
    FaultKind.ALL_KILLED,
)
"""Drawn apart as well, with a seed of their own."""
HARD_GAP_S = 4.0
HARD_LONGEST_S = 8.0
HARD_SEED = 2_000_003

ON_PROCESS = (
    FaultKind.KILL,
    FaultKind.STOP,
    FaultKind.PAUSE,
    FaultKind.HANGUP,
    FaultKind.STORE_DELAY,
    FaultKind.STORE_RESET,
    FaultKind.STORE_SILENCE,
    FaultKind.STORE_ONE_WAY,
)
ON_SERVER = (FaultKind.CRASH, FaultKind.RELEASE, FaultKind.CLOCK_BACK)


class Fault(msgspec.Struct, frozen=True):
    """Fault that starts ``at`` seconds into the run, for ``for_s`` seconds.

    ``target`` is the index of a process or a server. It is unused for
    faults of the shared store, the network and the configuration.
    """

    at: float
    kind: FaultKind
    target: int
    for_s: float


def draw(
    seed: int, processes: int, servers: int, seconds: float
) -> list[Fault]:
    """Return the faults of a run, sorted by start time."""
    rng = random.Random(seed)
    faults = _draw_apart(
        CHANGES_SEED + seed, seconds, CHANGES, CHANGE_GAP_S, CHANGE_LONGEST_S
    )
    faults += _draw_apart(
        HARD_SEED + seed, seconds, HARD, HARD_GAP_S, HARD_LONGEST_S
    )
    kinds = [kind for kind in FaultKind if kind not in (*CHANGES, *HARD)]
    at = CALM_START_S
    while at < seconds - CALM_END_S:
        kind = rng.choice(kinds)
        target_count = servers if kind in ON_SERVER else processes
        count = 1
        if kind in (*ON_PROCESS, *ON_SERVER) and rng.random() < SERIES_SHARE:
            count = rng.randint(2, target_count)
        for index in range(count):
            start_at = at + SERIES_GAP_S * index
            duration_s = min(
                rng.uniform(0.2, 3.0), seconds - CALM_END_S - start_at
            )
            if duration_s > 0:
                target = rng.randrange(target_count)
                faults.append(Fault(start_at, kind, target, duration_s))
        at += rng.expovariate(1 / FAULT_GAP_S)
    return sorted(faults, key=lambda fault: fault.at)


def _draw_apart(
    seed: int,
    seconds: float,
    kinds: tuple[FaultKind, ...],
    gap_s: float,
    longest_s: float,
) -> list[Fault]:
    """Return faults of some kinds, ``gap_s`` apart in the mean."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    at = CALM_START_S + rng.expovariate(1 / gap_s)
    while at < seconds - CALM_END_S:
        duration_s = min(
            rng.uniform(0.1, longest_s), seconds - CALM_END_S - at
        )
        kind = rng.choice(kinds)
        faults.append(Fault(at, kind, rng.randrange(2), duration_s))
        at += rng.expovariate(1 / gap_s)
    return faults

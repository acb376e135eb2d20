"""Check that causes sort before their effects under clock skew."""

import random

from medlar_core.timeline.hlc import Hlc
from medlar_core.timeline.hlc import MAX_DRIFT_MS
from medlar_core.timeline.hlc import Stamp

from ..rows import Row
from ..rows import Sense
from ..rows import Size

PROCESSES = {Size.FAST: 20, Size.FULL: 200}
MESSAGES = {Size.FAST: 5_000, Size.FULL: 100_000}
STEP_MS = 3
DELAY_MS = 2


def measure_order(size: Size, seed: int) -> list[Row]:
    """Count pairs out of order among processes with skewed wall clocks.

    Each message is a cause at its sender and an effect at its receiver;
    a pair is out of order unless the effect's stamp is the later one.
    """
    rng = random.Random(seed)
    count = PROCESSES[size]
    skew = [rng.randint(0, MAX_DRIFT_MS - DELAY_MS) for _ in range(count)]
    clocks = [Hlc() for _ in range(count)]
    now_ms = MAX_DRIFT_MS
    hybrid_errors = wall_errors = 0
    for _ in range(MESSAGES[size]):
        now_ms += rng.randint(0, STEP_MS)
        src, dst = rng.sample(range(count), 2)
        cause = clocks[src].tick(now_ms + skew[src])
        received_ms = now_ms + DELAY_MS + skew[dst]
        clocks[dst].observe(received_ms, cause)
        hybrid_errors += clocks[dst].tick(received_ms) <= cause
        wall_errors += Stamp(received_ms) <= Stamp(now_ms + skew[src])
    return [
        Row(
            name="timeline.out_of_order",
            value=hybrid_errors,
            unit="pairs",
            bound=0,
            sense=Sense.MAX,
            seed=seed,
            baseline=wall_errors,
            baseline_name="wall clock",
        )
    ]

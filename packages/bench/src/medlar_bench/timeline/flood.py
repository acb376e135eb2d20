"""Rare events lost from the recorder under a flood of another topic."""

import collections
import random

from medlar_core.ids import NodeId
from medlar_core.timeline.events import TimelineEvent
from medlar_core.timeline.events import Topic
from medlar_core.timeline.recorder import CAPACITY
from medlar_core.timeline.recorder import Recorder

from ..rows import Row
from ..rows import Sense
from ..rows import Size

FLOOD_PER_S = 5_000
SECONDS = {Size.FAST: 10, Size.FULL: 60}
RARE_PER_S = 2
RARE_TOPICS = (Topic.MEMBERSHIP, Topic.STORE, Topic.CONFIGURATION)


def measure_flood(size: Size, seed: int) -> list[Row]:
    """Count rare events lost while thousands of requests are refused.

    The baseline keeps all topics in one ring of the same capacity.
    """
    rng = random.Random(seed)
    recorder = Recorder(NodeId("10.0.0.1:7000"))
    single_ring: collections.deque[TimelineEvent] = collections.deque(
        maxlen=CAPACITY
    )
    rare: list[TimelineEvent] = []
    total = SECONDS[size] * FLOOD_PER_S
    rare_at = set(rng.sample(range(total), SECONDS[size] * RARE_PER_S))
    for n in range(total):
        event = TimelineEvent(Topic.VERDICT, "not run", reason="over-share")
        if n in rare_at:
            event = TimelineEvent(rng.choice(RARE_TOPICS), f"event {n}")
            rare.append(event)
        recorder.record(n * 1_000 // FLOOD_PER_S, event)
        single_ring.append(event)
    kept = {item.event.text for item in recorder}
    kept_in_single = {event.text for event in single_ring}
    return [
        Row(
            name="timeline.rare_lost",
            value=sum(event.text not in kept for event in rare),
            unit="events",
            bound=0,
            sense=Sense.MAX,
            seed=seed,
            baseline=sum(event.text not in kept_in_single for event in rare),
            baseline_name="one ring",
        )
    ]

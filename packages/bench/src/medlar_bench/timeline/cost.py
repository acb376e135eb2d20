"""What the time line costs a process: memory, bytes and time."""

import time
import tracemalloc

from medlar_core.ids import NodeId
from medlar_core.timeline.events import TimelineEvent
from medlar_core.timeline.events import Topic
from medlar_core.timeline.recorder import ANSWER_LIMIT
from medlar_core.timeline.recorder import CAPACITY
from medlar_core.timeline.recorder import Recorder
from medlar_core.timeline.wire import encode_list

from ..rows import Row
from ..rows import Sense
from ..rows import Size

NODE = NodeId("10.0.0.1:7000")
MEMORY_BOUND_MB = 16.0
"""A sixteenth of the 256 MB that a node may spend on control."""
ANSWER_BOUND_MB = 1.0
"""An answer is no larger than the largest value of the store."""
CORE_BOUND = 0.0024
"""A fifth of the 1.2% of a core that a node may spend on control."""
OFFERED_PER_S = 1_000
TIMED_EVENTS = 50_000
MB = 1_000_000


def measure_size(size: Size, seed: int) -> list[Row]:
    """Fill every ring with ordinary events and weigh them."""
    tracemalloc.start()
    recorder = filled()
    memory_mb = tracemalloc.get_traced_memory()[0] / MB
    tracemalloc.stop()
    answer_mb = len(encode_list(recorder.since(limit=ANSWER_LIMIT))) / MB
    return [
        _row("timeline.memory_mb", memory_mb, "MB", MEMORY_BOUND_MB, seed),
        _row("timeline.answer_mb", answer_mb, "MB", ANSWER_BOUND_MB, seed),
    ]


def measure_core(size: Size, seed: int) -> list[Row]:
    """Time events as they come at a thousand a second."""
    recorder = Recorder(NODE)
    events = [ordinary(n) for n in range(TIMED_EVENTS)]
    begin = time.process_time()
    for n, event in enumerate(events):
        recorder.record(n * 1_000 // OFFERED_PER_S, event)
    each_s = (time.process_time() - begin) / TIMED_EVENTS
    share = each_s * OFFERED_PER_S
    unit = "share of a core"
    return [_row("timeline.core_share", share, unit, CORE_BOUND, seed)]


def filled() -> Recorder:
    """Return a recorder whose rings are all full of ordinary events."""
    recorder = Recorder(NODE)
    n = 0
    while len(recorder) < CAPACITY // len(Topic) * len(Topic):
        recorder.record(n * 1_000, ordinary(n))
        n += 1
    return recorder


def ordinary(n: int) -> TimelineEvent:
    """Return an event with the fields that most events have."""
    topic = list(Topic)[n % len(Topic)]
    return TimelineEvent(
        topic,
        f"server 10.2.{n % 250}.{n % 240}:7000 took bucket {n % 1024}",
        service=f"service-{n % 2300}",
        server=f"10.2.{n % 250}.{n % 240}:7000",
        reason=f"reason-{n % 5}",
        version=n,
    )


def _row(name: str, value: float, unit: str, bound: float, seed: int) -> Row:
    return Row(
        name=name,
        value=value,
        unit=unit,
        bound=bound,
        sense=Sense.MAX,
        seed=seed,
    )

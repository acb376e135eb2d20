"""Cost of the time line to a process: memory, response size, CPU time."""

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
"""A sixteenth of the 256 MB control memory budget of a node."""
RESPONSE_BOUND_MB = 1.0
"""A response is no larger than the largest value of the store."""
CORE_BOUND = 0.0024
"""A fifth of the control CPU budget of a node, 1.2% of a core."""
EVENTS_PER_S = 1_000
TIMED_EVENTS = 50_000
MB = 1_000_000


def measure_size(size: Size, seed: int) -> list[Row]:
    """Measure memory and response size with every ring full."""
    tracemalloc.start()
    recorder = filled_recorder()
    memory_mb = tracemalloc.get_traced_memory()[0] / MB
    tracemalloc.stop()
    response_mb = len(encode_list(recorder.since(limit=ANSWER_LIMIT))) / MB
    return [
        _row("timeline.memory_mb", memory_mb, "MB", MEMORY_BOUND_MB, seed),
        _row("timeline.answer_mb", response_mb, "MB", RESPONSE_BOUND_MB, seed),
    ]


def measure_core(size: Size, seed: int) -> list[Row]:
    """Measure the CPU share of recording ``EVENTS_PER_S`` events a second."""
    recorder = Recorder(NODE)
    events = [typical_event(n) for n in range(TIMED_EVENTS)]
    start = time.process_time()
    for n, event in enumerate(events):
        recorder.record(n * 1_000 // EVENTS_PER_S, event)
    event_s = (time.process_time() - start) / TIMED_EVENTS
    share = event_s * EVENTS_PER_S
    unit = "share of a core"
    return [_row("timeline.core_share", share, unit, CORE_BOUND, seed)]


def filled_recorder() -> Recorder:
    """Return a recorder whose rings are all full of typical events."""
    recorder = Recorder(NODE)
    n = 0
    while len(recorder) < CAPACITY // len(Topic) * len(Topic):
        recorder.record(n * 1_000, typical_event(n))
        n += 1
    return recorder


def typical_event(n: int) -> TimelineEvent:
    """Return event number ``n``, with the fields that most events have."""
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

"""One way to the store for all parts of a process."""

import collections
import enum
import random

import msgspec

from ..effects import CallStore
from ..events import StoreAnswered
from ..ids import Seconds
from ..ids import StoreCallId
from ..store import StoreAnswer
from ..store import StoreOp
from ..store import Unavailable
from ..store import Watch
from .circuit import Circuit
from .circuit import LONGEST_PAUSE_S

CALLS_PER_S = 2.0
BURST_CALLS = 4.0
JITTER_S = 0.2
QUEUE_LIMIT = 64
CALL_LIMIT_S = 10.0
"""A call whose answer never came is given up after this time."""


class Part(enum.Enum):
    """Who asks the store."""

    MEMBERS = "members"
    CONFIGURATION = "configuration"


class _Queued(msgspec.Struct, frozen=True):
    """A call that waits for its turn."""

    call: StoreCallId
    op: StoreOp
    after: float


class StoreAccess:
    """Limits, spreads and counts the calls of one process.

    All parts of a process share one. A part calls ``submit`` and returns
    what ``due`` gives among its effects, on each tick and after asking;
    ``take`` tells whether an answer is its own. Nothing is retried here:
    only the asker knows what a lost answer means. While the circuit is
    open, calls wait in the queue; the oldest gives way when it is full.
    """

    def __init__(
        self,
        rng: random.Random,
        rate: float = CALLS_PER_S,
        burst: float = BURST_CALLS,
        longest_pause_s: float = LONGEST_PAUSE_S,
    ) -> None:
        self._rng = rng
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at: float | None = None
        self._circuit = Circuit(rng, longest_pause_s)
        self._queue: collections.deque[_Queued] = collections.deque()
        self._owners: dict[StoreCallId, tuple[Part, float]] = {}
        self._last = 0
        self.sent: collections.Counter[Part] = collections.Counter()

    @property
    def failing(self) -> bool:
        """Whether the store is held to be failing."""
        return self._circuit.is_open

    def submit(
        self, now: Seconds, part: Part, op: StoreOp, spread_s: float = JITTER_S
    ) -> StoreCallId:
        """Queue a call at a random time within ``spread_s`` seconds."""
        self._last += 1
        call = StoreCallId(self._last)
        after = now + self._rng.random() * spread_s
        if len(self._queue) >= QUEUE_LIMIT:
            dropped = self._queue.popleft()
            self._owners.pop(dropped.call, None)
        self._queue.append(_Queued(call, op, after))
        self._owners[call] = (part, float("inf"))
        return call

    def is_pending(self, call: StoreCallId) -> bool:
        """Return whether a call is queued or its answer still awaited."""
        return call in self._owners

    def cancel(self, call: StoreCallId) -> None:
        """Drop a call; if it went already, ignore its answer."""
        self._owners.pop(call, None)
        kept = [queued for queued in self._queue if queued.call != call]
        self._queue = collections.deque(kept)

    def due(self, now: Seconds) -> list[CallStore]:
        """Return the calls that go now, of whichever part."""
        self._fill(now)
        self._give_up(now)
        ready: list[CallStore] = []
        for _ in range(len(self._queue)):
            queued = self._queue.popleft()
            if queued.after > now or not self._may_go(now):
                self._queue.append(queued)
                continue
            self._send(now, queued)
            ready.append(CallStore(queued.call, queued.op))
        return ready

    def take(
        self, now: Seconds, part: Part, event: StoreAnswered
    ) -> StoreAnswer | None:
        """Return the answer if it is the part's own and still awaited."""
        owner = self._owners.get(event.call)
        if owner is None or owner[0] is not part:
            return None
        del self._owners[event.call]
        if isinstance(event.answer, Unavailable):
            self._circuit.failed(now)
        else:
            self._circuit.succeeded()
        return event.answer

    def _may_go(self, now: Seconds) -> bool:
        return self._tokens >= 1.0 and self._circuit.allows(now)

    def _send(self, now: Seconds, queued: _Queued) -> None:
        part = self._owners[queued.call][0]
        limit = CALL_LIMIT_S
        if isinstance(queued.op, Watch):
            limit += queued.op.wait_s
        self._owners[queued.call] = (part, now + limit)
        self._tokens -= 1.0
        self._circuit.sent(now)
        self.sent[part] += 1

    def _fill(self, now: Seconds) -> None:
        since = 0.0 if self._filled_at is None else now - self._filled_at
        self._filled_at = now
        self._tokens = min(self._burst, self._tokens + since * self._rate)

    def _give_up(self, now: Seconds) -> None:
        late = [i for i, (_, ends) in self._owners.items() if ends <= now]
        for call in late:
            del self._owners[call]
            self._circuit.failed(now)

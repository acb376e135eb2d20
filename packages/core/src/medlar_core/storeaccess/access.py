"""Store access shared by all parts of a process."""

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
"""Time after which a call without an answer counts as failed."""


class Part(enum.Enum):
    """The part of the process that calls the store."""

    MEMBERS = "members"
    CONFIGURATION = "configuration"
    SCOPES = "scopes"


class _Queued(msgspec.Struct, frozen=True):
    """A queued call, not sent before ``after``."""

    call: StoreCallId
    op: StoreOp
    after: float


class StoreAccess:
    """Rate-limits, jitters and counts the store calls of one process.

    All parts of a process share one instance. A part queues a call with
    ``submit`` and returns the calls from ``due`` among its effects, on
    each tick and after each ``submit``. ``take`` returns an answer only
    to the part that submitted the call. Failed calls are not retried
    here, because only the submitting part knows what a missing answer
    means. While the circuit is open, calls stay queued; if the queue is
    full, the oldest call is dropped.
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
        self._refilled_at: float | None = None
        self._circuit = Circuit(rng, longest_pause_s)
        self._queue: collections.deque[_Queued] = collections.deque()
        self._pending: dict[StoreCallId, tuple[Part, float]] = {}
        self._last_call = 0
        self.sent: collections.Counter[Part] = collections.Counter()

    @property
    def failing(self) -> bool:
        """Whether the store is considered failing."""
        return self._circuit.is_open

    def submit(
        self, now: Seconds, part: Part, op: StoreOp, spread_s: float = JITTER_S
    ) -> StoreCallId:
        """Queue a call, delayed by a random time of up to ``spread_s``."""
        self._last_call += 1
        call = StoreCallId(self._last_call)
        after = now + self._rng.random() * spread_s
        if len(self._queue) >= QUEUE_LIMIT:
            dropped = self._queue.popleft()
            self._pending.pop(dropped.call, None)
        self._queue.append(_Queued(call, op, after))
        self._pending[call] = (part, float("inf"))
        return call

    def is_pending(self, call: StoreCallId) -> bool:
        """Return whether a call is queued or not yet answered."""
        return call in self._pending

    def cancel(self, call: StoreCallId) -> None:
        """Remove a queued call; ignore the answer of a call already sent."""
        self._pending.pop(call, None)
        kept = [queued for queued in self._queue if queued.call != call]
        self._queue = collections.deque(kept)

    def due(self, now: Seconds) -> list[CallStore]:
        """Return the calls of all parts to send now."""
        self._refill(now)
        self._expire(now)
        ready: list[CallStore] = []
        for _ in range(len(self._queue)):
            queued = self._queue.popleft()
            if queued.after > now or not self._may_send(now):
                self._queue.append(queued)
                continue
            self._send(now, queued)
            ready.append(CallStore(queued.call, queued.op))
        return ready

    def take(
        self, now: Seconds, part: Part, event: StoreAnswered
    ) -> StoreAnswer | None:
        """Return the answer if the part has this call pending, else None."""
        pending = self._pending.get(event.call)
        if pending is None or pending[0] is not part:
            return None
        del self._pending[event.call]
        if isinstance(event.answer, Unavailable):
            self._circuit.failed(now)
        else:
            self._circuit.succeeded()
        return event.answer

    def _may_send(self, now: Seconds) -> bool:
        return self._tokens >= 1.0 and self._circuit.allows(now)

    def _send(self, now: Seconds, queued: _Queued) -> None:
        part = self._pending[queued.call][0]
        timeout_s = CALL_LIMIT_S
        if isinstance(queued.op, Watch):
            timeout_s += queued.op.wait_s
        self._pending[queued.call] = (part, now + timeout_s)
        self._tokens -= 1.0
        self._circuit.sent(now)
        self.sent[part] += 1

    def _refill(self, now: Seconds) -> None:
        elapsed_s = (
            0.0 if self._refilled_at is None else now - self._refilled_at
        )
        self._refilled_at = now
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate)

    def _expire(self, now: Seconds) -> None:
        expired = [
            i for i, (_, deadline) in self._pending.items() if deadline <= now
        ]
        for call in expired:
            del self._pending[call]
            self._circuit.failed(now)

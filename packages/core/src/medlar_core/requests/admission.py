"""Admission control and start order for the work of one server."""

import collections
from collections.abc import Mapping
import enum

from ..config.model import Kind
from ..ids import AttemptId
from ..ids import KindName
from ..verdict import Reason
from .events import ServerLoad
from .policy import Policy
from .queues import Queues
from .queues import Work
from .shares import Shares

FLOOR_BOUND_MULTIPLE = 2.0
"""Multiple of its floor at or below which a kind relies on its floor."""


class Freed(enum.Enum):
    """How work left its slot: it ended, or the server shed it."""

    ENDED = "ended"
    SHED = "shed"


class Admission:
    """Slots of one server: running and queued work, and refusals."""

    def __init__(
        self, slots: int, kinds: Mapping[KindName, Kind], policy: Policy
    ) -> None:
        self.shares = Shares(slots, kinds, policy)
        self.queues = Queues()
        self.running: dict[AttemptId, Work] = {}
        self._policy = policy
        self._limit = slots
        self._hold_until = 0.0
        self._grow_at = 0.0

    def load(self) -> ServerLoad:
        """Return the load that is sent with per_item_s answer."""
        ranks = collections.Counter(w.kind.rank for w in self.queues)
        max_rank = max(ranks, default=-1)
        wait = 0.0
        if len(self.running) >= self._limit and self.running:
            rate = sum(1.0 / w.kind.mean_s for w in self.running.values())
            wait = 1.0 / rate
        return ServerLoad(
            busy=len(self.running),
            queued=len(self.queues),
            slots=self.shares.slots,
            wait_s=round(wait, 4),
            by_rank=tuple(ranks[rank] for rank in range(max_rank + 1)),
        )

    def refusal(self, now: float, kind: Kind, left_s: float) -> Reason | None:
        """Return why new work of a kind is refused, None if it may wait."""
        if left_s < self._policy.finish_means * kind.mean_s:
            return Reason.DEADLINE
        wait = self.wait_s(now, kind)
        spare = left_s - self._policy.finish_means * kind.mean_s
        queue_limit = max(
            self._policy.queue_share * kind.deadline_s,
            self._policy.queue_least_s,
        )
        limit = min(spare, queue_limit)
        if wait <= limit:
            return None
        if self.shares.below_floor(now, kind.name):
            return Reason.QUEUE_FULL
        return Reason.OVER_SHARE

    def wait_s(self, now: float, kind: Kind) -> float:
        """Return how long new work of a kind would wait, in seconds."""
        ahead = self.queues.length(kind.name)
        if not ahead and len(self.running) < self._limit:
            return 0.0
        open_share = self.shares.share_open_to(now, kind.name)
        per_item_s = kind.mean_s / (self._limit * open_share)
        if self.shares.below_floor(now, kind.name):
            return ahead * per_item_s
        if open_share > FLOOR_BOUND_MULTIPLE * kind.floor:
            return (ahead + 0.5) * per_item_s
        # Few slots are left, so the kind starts only below its floor again.
        below_floor_s = self.shares.floor_in_s(now, kind.name)
        return (ahead + 0.5) * per_item_s + below_floor_s

    def start_next(self, now: float) -> Work | None:
        """Start the next queued work if a slot is free, else return None."""
        if len(self.running) >= self._limit or now < self._hold_until:
            return None
        kind = self.shares.choose(now, self.queues.kinds())
        if kind is None:
            return None
        work = self.queues.take(kind)
        work.id = work.waiting[0]
        self.running[work.id] = work
        self.shares.started(now, kind)
        return work

    def free(self, now: float, id: AttemptId, how: Freed) -> Work | None:
        """Free the slot of work; return None if it is not running."""
        work = self.running.pop(id, None)
        if work is None:
            return None
        self.shares.ended(now, work.kind.name)
        if how is Freed.SHED:
            self._limit = max(1, len(self.running))
            self._hold_until = now + self._policy.shed_s
            self._grow_at = now + self._policy.share_tau_s
        return work

    def work_of(self, attempt: AttemptId) -> Work | None:
        """Return the running or queued work that an attempt waits for."""
        works: list[Work] = [*self.running.values(), *self.queues]
        held = (work for work in works if attempt in work.waiting)
        return next(held, None)

    def tick(self, now: float) -> None:
        """Restore one at a time the slots removed after the server shed."""
        if self._limit < self.shares.slots and now >= self._grow_at:
            self._limit += 1
            self._grow_at = now + self._policy.share_tau_s

    def resize(self, slots: int, kinds: Mapping[KindName, Kind]) -> None:
        """Apply the slots and kinds of a new configuration."""
        if slots != self.shares.slots:
            self._limit = slots
        self.shares.resize(slots, kinds)

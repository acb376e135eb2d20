"""Scheduling of a server's slots between kinds of work."""

from collections.abc import Collection
from collections.abc import Mapping
import math

import msgspec

from ..config.model import Kind
from ..ids import KindName
from .policy import Policy


class _Use(msgspec.Struct):
    """Slots that a kind uses now and on moving average."""

    running: int = 0
    average: float = 0.0
    at: float = 0.0


class Shares:
    """Use of a server's slots by kind, with floors and ranks."""

    def __init__(
        self, slots: int, kinds: Mapping[KindName, Kind], policy: Policy
    ) -> None:
        self.slots = slots
        self.kinds = kinds
        self._policy = policy
        self._use = {name: _Use() for name in kinds}

    def resize(self, slots: int, kinds: Mapping[KindName, Kind]) -> None:
        """Apply new slots and kinds; recorded use is kept."""
        self.slots = slots
        self.kinds = kinds
        for name in kinds:
            self._use.setdefault(name, _Use())

    def started(self, now: float, kind: KindName) -> None:
        """Record that work of a kind took a slot."""
        self._advance(now, kind)
        self._use[kind].running += 1

    def ended(self, now: float, kind: KindName) -> None:
        """Record that work of a kind left its slot."""
        self._advance(now, kind)
        self._use[kind].running -= 1

    def busy(self) -> int:
        """Return the slots in use."""
        return sum(use.running for use in self._use.values())

    def running(self, kind: KindName) -> int:
        """Return the slots that a kind holds now."""
        return self._use[kind].running

    def used(self, now: float, kind: KindName) -> float:
        """Return the moving average of a kind's share of all slots."""
        self._advance(now, kind)
        return self._use[kind].average / self.slots

    def choose(
        self, now: float, waiting: Collection[KindName]
    ) -> KindName | None:
        """Return which waiting kind may start now, None if none may.

        Kinds below their floor come first, in order of the fraction of
        the floor that they use; the others follow by rank.
        """
        below = [k for k in waiting if self.below_floor(now, k)]
        if below:
            return min(below, key=lambda kind: self._floor_usage(now, kind))
        others = [k for k in waiting if self._may_exceed_floor(k)]
        return min(others, key=self._rank, default=None)

    def below_floor(self, now: float, kind: KindName) -> bool:
        """Return whether a kind's average use is below its floor."""
        floor = self._policy.floor_margin * self.kinds[kind].floor
        return self.used(now, kind) < floor

    def floor_in_s(self, now: float, kind: KindName) -> float:
        """Return when an idle kind falls below its floor, in seconds."""
        used = self.used(now, kind)
        floor = self._policy.floor_margin * self.kinds[kind].floor
        if used <= floor or floor <= 0.0:
            return 0.0
        return self._policy.share_tau_s * math.log(used / floor)

    def share_open_to(self, now: float, kind: KindName) -> float:
        """Return the share of slots that a kind can count on now."""
        mine = self.kinds[kind]
        left = 1.0
        for other in self.kinds.values():
            if other.name == kind:
                continue
            used = self.used(now, other.name)
            if other.rank > mine.rank:
                used = min(used, other.floor)
            left -= used
        return max(left, mine.floor, 1.0 / 64)

    def _floor_usage(self, now: float, kind: KindName) -> float:
        return self.used(now, kind) / self.kinds[kind].floor

    def _rank(self, kind: KindName) -> int:
        return self.kinds[kind].rank

    def _may_exceed_floor(self, kind: KindName) -> bool:
        """Return whether work beyond its floor leaves others a slot."""
        if not self._long(kind):
            return True
        held = sum(self._use[k].running for k in self.kinds if self._long(k))
        return held < max(1, self.slots - 1)

    def _long(self, kind: KindName) -> bool:
        """Return whether work is long relative to another deadline."""
        limit = min(
            (k.deadline_s for k in self.kinds.values() if k.name != kind),
            default=math.inf,
        )
        return self.kinds[kind].mean_s > self._policy.long_share * limit

    def _advance(self, now: float, kind: KindName) -> None:
        use = self._use[kind]
        elapsed = now - use.at
        if elapsed <= 0.0:
            return
        keep = math.exp(-elapsed / self._policy.share_tau_s)
        use.average = use.running + (use.average - use.running) * keep
        use.at = now

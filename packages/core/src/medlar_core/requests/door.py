"""What a balancer refuses at its own door, before any attempt.

Each balancer learns from its agents' refusals alone how much of a kind
they take, and shares that between groups of callers. As each keeps the
same multiple of what is taken from it, many balancers settle without
talking to one another.
"""

import math
import random

import msgspec
import xxhash

from ..ids import KindName
from ..ids import ServiceName
from .policy import Policy

FREE_RATE = 2.0
"""Attempts a second that a kind may always make, to find room again."""


class _Demand(msgspec.Struct):
    """Decayed counts of one kind: by caller group, sent and refused."""

    came: list[float]
    sent: float = 0.0
    refused: float = 0.0
    level: float = math.inf


class Door:
    """Refuses a kind's surplus, the same level for all its callers."""

    def __init__(self, rng: random.Random, policy: Policy) -> None:
        self._rng = rng
        self._policy = policy
        self._demand: dict[tuple[ServiceName, KindName], _Demand] = {}
        self._last = 0.0

    def admits(self, service: ServiceName, kind: KindName, who: str) -> bool:
        """Count a request and return whether it may go on."""
        demand = self._of(service, kind)
        group = (
            xxhash.xxh32_intdigest(who.encode()) % self._policy.door_callers
        )
        demand.came[group] += 1.0
        if demand.came[group] <= demand.level:
            return True
        return self._rng.random() < demand.level / demand.came[group]

    def sent(self, service: ServiceName, kind: KindName) -> None:
        """Count an attempt."""
        self._of(service, kind).sent += 1.0

    def refused(self, service: ServiceName, kind: KindName) -> None:
        """Count an attempt that its agent had no room for."""
        self._of(service, kind).refused += 1.0

    def open_share(self, service: ServiceName, kind: KindName) -> float:
        """Return the share of a kind's requests that may go on now."""
        demand = self._of(service, kind)
        came = sum(demand.came)
        kept = sum(min(n, demand.level) for n in demand.came)
        return kept / came if came else 1.0

    def tick(self, now: float) -> None:
        """Let counts decay and set each kind's level anew."""
        keep = math.exp((self._last - now) / self._policy.door_tau_s)
        self._last = now
        for demand in self._demand.values():
            demand.came = [n * keep for n in demand.came]
            demand.sent *= keep
            demand.refused *= keep
            demand.level = self._level(demand)

    def _level(self, demand: _Demand) -> float:
        """Return the count per caller group that may go on.

        It is the level at which all groups together come to what agents
        take, with some slack: those below it lose nothing.
        """
        taken = max(demand.sent - demand.refused, 0.0)
        free = FREE_RATE * self._policy.door_tau_s
        left = self._policy.door_slack * taken + free
        if demand.refused < 1.0 or sum(demand.came) <= left:
            return math.inf
        counts = sorted(demand.came)
        for at, count in enumerate(counts):
            level = left / (len(counts) - at)
            if count >= level:
                return level
            left -= count
        return math.inf

    def _of(self, service: ServiceName, kind: KindName) -> _Demand:
        found = self._demand.get((service, kind))
        if found is None:
            found = _Demand([0.0] * self._policy.door_callers)
            self._demand[(service, kind)] = found
        return found

"""Adaptive throttling: requests that a balancer refuses by itself.

Each balancer learns only from its agents' refusals how much of a kind
they accept, and divides that between groups of callers. As each admits
the same multiple of what is accepted from it, many balancers converge
without exchanging messages.
"""

import math
import random

import msgspec
import xxhash

from ..ids import KindName
from ..ids import ServiceName
from .policy import Policy

FREE_RATE = 2.0
"""Attempts a second always admitted, to detect that capacity is back."""


class _Demand(msgspec.Struct):
    """Decayed counts of one kind; ``requests`` is by caller group."""

    requests: list[float]
    sent: float = 0.0
    refused: float = 0.0
    limit: float = math.inf


class Throttle:
    """Refuses excess requests of a kind, with one limit for all callers."""

    def __init__(self, rng: random.Random, policy: Policy) -> None:
        self._rng = rng
        self._policy = policy
        self._demand: dict[tuple[ServiceName, KindName], _Demand] = {}
        self._last = 0.0

    def admits(self, service: ServiceName, kind: KindName, who: str) -> bool:
        """Count a request and return whether it is admitted."""
        demand = self._of(service, kind)
        group = (
            xxhash.xxh32_intdigest(who.encode()) % self._policy.door_callers
        )
        demand.requests[group] += 1.0
        if demand.requests[group] <= demand.limit:
            return True
        return self._rng.random() < demand.limit / demand.requests[group]

    def sent(self, service: ServiceName, kind: KindName) -> None:
        """Count an attempt sent to an agent."""
        self._of(service, kind).sent += 1.0

    def refused(self, service: ServiceName, kind: KindName) -> None:
        """Count an attempt refused by its agent for lack of capacity."""
        self._of(service, kind).refused += 1.0

    def open_share(self, service: ServiceName, kind: KindName) -> float:
        """Return the share of a kind's requests that is admitted now."""
        demand = self._of(service, kind)
        requests = sum(demand.requests)
        kept = sum(min(n, demand.limit) for n in demand.requests)
        return kept / requests if requests else 1.0

    def tick(self, now: float) -> None:
        """Decay the counts and recompute each kind's limit."""
        keep = math.exp((self._last - now) / self._policy.door_tau_s)
        self._last = now
        for demand in self._demand.values():
            demand.requests = [n * keep for n in demand.requests]
            demand.sent *= keep
            demand.refused *= keep
            demand.limit = self._limit(demand)

    def _limit(self, demand: _Demand) -> float:
        """Return the limit per caller group (max-min fairness).

        With this limit all groups together come to what agents accept,
        with some slack; groups below it lose nothing.
        """
        accepted = max(demand.sent - demand.refused, 0.0)
        free = FREE_RATE * self._policy.door_tau_s
        left = self._policy.door_slack * accepted + free
        if demand.refused < 1.0 or sum(demand.requests) <= left:
            return math.inf
        counts = sorted(demand.requests)
        for at, count in enumerate(counts):
            limit = left / (len(counts) - at)
            if count >= limit:
                return limit
            left -= count
        return math.inf

    def _of(self, service: ServiceName, kind: KindName) -> _Demand:
        found = self._demand.get((service, kind))
        if found is None:
            found = _Demand([0.0] * self._policy.door_callers)
            self._demand[(service, kind)] = found
        return found

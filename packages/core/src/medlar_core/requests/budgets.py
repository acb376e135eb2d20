"""Limits on a balancer's resources for each service and kind."""

import collections

from ..ids import KindName
from ..ids import ServiceName
from .policy import Policy


class RetryBudget:
    """Retry budget of each kind, earned by its requests."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._earned: dict[tuple[ServiceName, KindName], float] = {}

    def earn(self, service: ServiceName, kind: KindName) -> None:
        """Credit the retry share of an admitted request."""
        earned = self._earned.get((service, kind), 0.0)
        credited = earned + self._policy.retry_share
        self._earned[(service, kind)] = min(credited, self._policy.retry_burst)

    def spend(self, service: ServiceName, kind: KindName) -> bool:
        """Spend one retry; False if the budget has none."""
        if not self.available(service, kind):
            return False
        self._earned[(service, kind)] -= 1.0
        return True

    def available(self, service: ServiceName, kind: KindName) -> bool:
        """Return whether the budget has a retry."""
        return self._earned.get((service, kind), 0.0) >= 1.0


class ServiceBounds:
    """Limits on open requests and body bytes of each service."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._requests: collections.Counter[ServiceName] = (
            collections.Counter()
        )
        self._bytes: collections.Counter[ServiceName] = collections.Counter()

    def reserve(self, service: ServiceName, body_bytes: int) -> bool:
        """Reserve room for a request; False if the service is at a limit."""
        if self._requests[service] >= self._policy.service_requests:
            return False
        total = self._bytes[service] + body_bytes
        if total > self._policy.service_bytes and self._bytes[service]:
            return False
        self._requests[service] += 1
        self._bytes[service] = total
        return True

    def release(self, service: ServiceName, body_bytes: int) -> None:
        """Release the room of a request."""
        self._requests[service] -= 1
        self._bytes[service] -= body_bytes

    def reserved_bytes(self, service: ServiceName) -> int:
        """Return the body bytes reserved for a service."""
        return self._bytes[service]

"""Bounds on what one service or kind may take of a balancer."""

import collections

from ..ids import KindName
from ..ids import ServiceName
from .policy import Policy


class RetryBudget:
    """Retries earned by requests, kind by kind."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._earned: dict[tuple[ServiceName, KindName], float] = {}

    def earn(self, service: ServiceName, kind: KindName) -> None:
        """Count a request that was sent on."""
        earned = self._earned.get((service, kind), 0.0)
        grown = earned + self._policy.retry_share
        self._earned[(service, kind)] = min(grown, self._policy.retry_burst)

    def spend(self, service: ServiceName, kind: KindName) -> bool:
        """Take one retry, if one was earned."""
        if not self.left(service, kind):
            return False
        self._earned[(service, kind)] -= 1.0
        return True

    def left(self, service: ServiceName, kind: KindName) -> bool:
        """Return whether a retry was earned and not yet taken."""
        return self._earned.get((service, kind), 0.0) >= 1.0


class ServiceBounds:
    """Open requests and unread bytes of each service at a balancer."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._requests: collections.Counter[ServiceName] = (
            collections.Counter()
        )
        self._bytes: collections.Counter[ServiceName] = collections.Counter()

    def take(self, service: ServiceName, body_bytes: int) -> bool:
        """Take room for a request; False if the service has none left."""
        if self._requests[service] >= self._policy.service_requests:
            return False
        total = self._bytes[service] + body_bytes
        if total > self._policy.service_bytes and self._bytes[service]:
            return False
        self._requests[service] += 1
        self._bytes[service] = total
        return True

    def give(self, service: ServiceName, body_bytes: int) -> None:
        """Give the room of a request back."""
        self._requests[service] -= 1
        self._bytes[service] -= body_bytes

    def held(self, service: ServiceName) -> int:
        """Return the bytes of requests that a service holds here."""
        return self._bytes[service]

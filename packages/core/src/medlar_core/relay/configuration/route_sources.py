"""Choice of the balancer that a newer configuration is fetched from."""

import math

import xxhash

from ...ids import NodeId
from ...ids import Seconds
from ..known_balancer import KnownBalancer
from ..members import Members

AVOIDED_S = 1.0
"""A balancer that did not give what it told of is not asked again before."""
HEARD_S = 5.0
"""Balancers that were not heard for longer are not asked."""
FETCH_LIMIT_S = 10.0
"""A fetch without a result counts as failed after this."""
UNKNOWN_LINK_MBPS = 1.0

_HASH_RANGE = 2**64


class RouteSources:
    """Tells whom to ask, one at a time, by what hello messages have told.

    Balancers with wide links are chosen more often. The choice differs from
    process to process, so that a start of all does not meet at one.
    """

    def __init__(self, node: NodeId, members: Members) -> None:
        self._node = node
        self._members = members
        self._avoided_until: dict[NodeId, float] = {}
        self._asked = NodeId("")
        self._asked_at = float("-inf")

    def fetching_from(self, now: Seconds) -> NodeId | None:
        """Return the balancer that a fetch is under way from."""
        if not self._asked or now - self._asked_at > FETCH_LIMIT_S:
            return None
        return self._asked

    def next(self, now: Seconds, version: int) -> NodeId | None:
        """Return whom to ask now for a newer version than the known one."""
        if self.fetching_from(now) is not None:
            return None
        self._expire(now)
        found = {
            node: balancer
            for node, balancer in self._members.balancers.items()
            if balancer.version > version
            and now - balancer.heard_at <= HEARD_S
            and node not in self._avoided_until
        }
        if not found:
            return None
        newest = max(balancer.version for balancer in found.values())
        self._asked_at = now
        self._asked = max(
            (n for n in found if found[n].version == newest),
            key=lambda n: self._preference(n, found[n]),
        )
        return self._asked

    def record_result(
        self, now: Seconds, source: NodeId, is_newer: bool
    ) -> None:
        """Record the end of a fetch, and whether it gave a newer version."""
        if source == self._asked:
            self._asked = NodeId("")
        if not is_newer:
            self._avoided_until[source] = now + AVOIDED_S

    def _expire(self, now: Seconds) -> None:
        self._avoided_until = {
            node: until
            for node, until in self._avoided_until.items()
            if until > now
        }

    def _preference(self, node: NodeId, balancer: KnownBalancer) -> float:
        """Return a value that is the highest in proportion to the link."""
        digest = xxhash.xxh3_64_intdigest(f"{self._node} {node}".encode())
        link_mbps = balancer.link_mbps or UNKNOWN_LINK_MBPS
        return link_mbps / -math.log((digest + 1) / (_HASH_RANGE + 1))

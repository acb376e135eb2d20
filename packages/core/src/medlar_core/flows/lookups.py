"""Pending lookups of flows whose holder is unknown."""

import msgspec

from ..ids import FlowKey
from ..ids import NodeId
from ..ids import Seconds
from .limits import DENIAL_INTERVAL_S
from .limits import DENIALS_LIMIT
from .limits import KEYS_PER_BATCH
from .limits import LOOKUP_INTERVAL_S
from .limits import LOOKUP_TIMEOUT_S
from .limits import MAX_LOOKUPS


class Lookup(msgspec.Struct):
    """A query to all members that may hold a flow.

    ``pending`` are the members that have not replied yet. ``conclusive``
    stays true while every reply came from a member with the same members
    and configuration. ``sent_at`` is None until the query is sent.
    """

    caller: str
    address: str
    pending: set[NodeId]
    conclusive: bool
    sent_at: float | None = None


class _Denial(msgspec.Struct, frozen=True):
    """Denial of a flow by all members that agreed on ``state_digest``."""

    at: float
    state_digest: int


class Denials:
    """First denials of flows, each to be confirmed by a second one.

    A flow may have been opened through members or a configuration that
    some process here has not received yet; it is found in the time between
    the two denials.
    """

    def __init__(self) -> None:
        self._first: dict[FlowKey, _Denial] = {}

    def too_early(self, now: Seconds, key: FlowKey, state_digest: int) -> bool:
        """Return whether it is too early to look up a denied flow again."""
        first = self._first.get(key)
        if first is None or first.state_digest != state_digest:
            return False
        return now - first.at < DENIAL_INTERVAL_S

    def confirm(self, now: Seconds, key: FlowKey, state_digest: int) -> bool:
        """Record a denial; return whether it confirms an earlier one."""
        first = self._first.pop(key, None)
        if first is not None and first.state_digest == state_digest:
            if now - first.at >= DENIAL_INTERVAL_S:
                return True
            self._first[key] = first
            return False
        if len(self._first) >= DENIALS_LIMIT:
            del self._first[next(iter(self._first))]
        self._first[key] = _Denial(now, state_digest)
        return False


class PendingLookups:
    """A bounded number of pending lookups, sent together in rounds.

    The interval between two rounds grows with the number of members asked,
    so that packets of unknown flows cannot raise the control traffic.
    """

    def __init__(self) -> None:
        self._pending: dict[FlowKey, Lookup] = {}
        self._next_at = 0.0

    def __len__(self) -> int:
        return len(self._pending)

    def can_start(self, key: FlowKey) -> bool:
        """Return whether a lookup of a flow may be started."""
        return key not in self._pending and len(self._pending) < MAX_LOOKUPS

    def start(self, key: FlowKey, lookup: Lookup) -> None:
        """Add a lookup; its queries are sent in the next round."""
        self._pending[key] = lookup

    def complete(self, key: FlowKey) -> None:
        """Remove a lookup after a holder has replied."""
        self._pending.pop(key, None)

    def record_denial(
        self, key: FlowKey, src: NodeId, agrees: bool
    ) -> Lookup | None:
        """Record that a member does not hold the flow.

        Remove and return the lookup if that was the last reply.
        """
        lookup = self._pending.get(key)
        if lookup is None:
            return None
        lookup.pending.discard(src)
        lookup.conclusive = lookup.conclusive and agrees
        if lookup.pending:
            return None
        return self._pending.pop(key)

    def due(self, now: Seconds) -> dict[NodeId, list[FlowKey]]:
        """Return the flows to ask for now, by member."""
        self._expire(now)
        if now < self._next_at:
            return {}
        queries: dict[NodeId, list[FlowKey]] = {}
        waiting = [i for i in self._pending.items() if i[1].sent_at is None]
        for key, lookup in waiting[:KEYS_PER_BATCH]:
            lookup.sent_at = now
            for node in sorted(lookup.pending):
                queries.setdefault(node, []).append(key)
        self._next_at = now + LOOKUP_INTERVAL_S * len(queries)
        return queries

    def _expire(self, now: Seconds) -> None:
        for key, lookup in list(self._pending.items()):
            sent_at = lookup.sent_at
            if sent_at is not None and now - sent_at > LOOKUP_TIMEOUT_S:
                del self._pending[key]

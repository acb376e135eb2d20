"""Configuration that a balancer has received and that is not in force yet."""

import msgspec

from ...ids import Seconds
from .routes import RouteTable
from .scope_store import ScopeStore

RECORD_LIMIT_S = 1.0
"""A configuration is in force after this even if its services could not be
recorded, as it has to be everywhere within seconds."""

FROM_STORE = "the store"


class _Pending(msgspec.Struct):
    table: RouteTable
    source: str
    since: float


class PendingRoutes:
    """Holds each new configuration until its services are recorded.

    No balancer sends a flow to a service that others would not search for
    it: whoever has read the record lately knows where the flow may be. A
    configuration that a peer gives is in use already.
    """

    def __init__(self, scopes: ScopeStore) -> None:
        self._scopes = scopes
        self._pending: list[_Pending] = []
        """Oldest first. Each waits for itself, so that one that follows
        does not cut the wait short, nor prolong it."""

    @property
    def version(self) -> int:
        """The newest version that was offered, 0 if none waits."""
        return self._pending[-1].table.version if self._pending else 0

    def offer(self, now: Seconds, table: RouteTable, source: str) -> None:
        """Add a configuration that is newer than the one in force."""
        if self._pending and table.version <= self._pending[-1].table.version:
            return
        self._pending.append(_Pending(table, source, now))
        self._scopes.require(table)

    def pop_ready(self, now: Seconds) -> tuple[RouteTable, str, bool] | None:
        """Return a configuration to put in force, and where it came from.

        It is the newest that is ready. The last item tells whether its
        services are recorded.
        """
        for number in reversed(range(len(self._pending))):
            pending = self._pending[number]
            is_recorded = self._scopes.has_services_of(pending.table)
            if not is_recorded:
                self._scopes.hasten(now)
            if self._is_ready(now, pending, is_recorded):
                del self._pending[: number + 1]
                return pending.table, pending.source, is_recorded
        return None

    def _is_ready(
        self, now: Seconds, pending: _Pending, is_recorded: bool
    ) -> bool:
        if not is_recorded:
            return now - pending.since >= RECORD_LIMIT_S
        if pending.source != FROM_STORE:
            return True
        return self._scopes.may_use(now, pending.table)

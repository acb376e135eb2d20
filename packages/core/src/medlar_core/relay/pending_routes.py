"""Configuration that a balancer has received and that is not in force yet."""

import msgspec

from ..ids import Seconds
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
    """Holds the newest configuration until its services are recorded.

    No balancer sends a flow to a service that others would not search for
    it: whoever has read the record lately knows where the flow may be. A
    configuration that a peer gives is in use already.
    """

    def __init__(self, scopes: ScopeStore) -> None:
        self._scopes = scopes
        self._pending: _Pending | None = None

    def offer(self, now: Seconds, table: RouteTable, source: str) -> None:
        """Add a configuration that is newer than the one in force."""
        pending = self._pending
        if pending is not None and table.version <= pending.table.version:
            return
        # A further change does not prolong the wait.
        since = pending.since if pending is not None else now
        self._pending = _Pending(table, source, since)
        self._scopes.require(table)

    def pop_ready(self, now: Seconds) -> tuple[RouteTable, str, bool] | None:
        """Return a configuration to put in force, and where it came from.

        The last item tells whether its services are recorded.
        """
        pending = self._pending
        if pending is None:
            return None
        is_recorded = self._scopes.has_services_of(pending.table)
        if not is_recorded:
            self._scopes.hasten(now)
        may_use = self._scopes.may_use(now, pending.table)
        is_in_use = is_recorded and pending.source != FROM_STORE
        if not (may_use or is_in_use or now - pending.since >= RECORD_LIMIT_S):
            return None
        self._pending = None
        return pending.table, pending.source, is_recorded

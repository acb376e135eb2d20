"""State that an agent caches of the servers of its service."""

import random

from ..ids import Incarnation
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from ..ids import ServiceName
from .load import Grid
from .load import Load
from .load import load_key
from .messages import Ack
from .places import Places
from .record import Record
from .record import unpack
from .table import Table
from .view import Balancer
from .view import View
from .view_builder import ViewBuilder

OMISSION_GRACE_S = 5.0
"""A server received this recently is kept if another balancer omits it."""


class Peers:
    """Servers of one service, as received from the agent's watchers."""

    def __init__(self, places: Places, rng: random.Random) -> None:
        self._table = Table(rng)
        self._grid = Grid()
        self._view_builder = ViewBuilder(self._table, self._grid, places)
        self._received_at: dict[NodeId, float] = {}
        self._down: tuple[PlaceName, ...] = ()
        self._suspended = False
        self._me = NodeId("")

    @property
    def view(self) -> View:
        """The last view that was published."""
        return self._view_builder.view

    def set_own(self, now: Seconds, record: Record, load: Load) -> None:
        """Store the record and load of the local server."""
        self._me = record.id
        if self._table.apply(now, record):
            self._view_builder.refresh_server(record.id)
        if self._grid.of(record.id) != load:
            self._grid.loads[load_key(record.id)] = load
            self._view_builder.refresh_loads([load_key(record.id)])

    def apply_ack(self, now: Seconds, ack: Ack) -> None:
        """Apply the records in an ack.

        :raises RecordDecodeError: if they can't be read.
        """
        records = [r for r in unpack(ack.packed) if r.id != self._me]
        for record in records:
            self._received_at[record.id] = now
            if self._table.apply(now, record):
                self._view_builder.refresh_server(record.id)
        if ack.whole:
            self._drop_others(now, {record.id for record in records})

    def digest(self, service: ServiceName) -> int:
        """Return the hash of the cached records of the service."""
        return self._table.service_digest(service)

    def due(
        self,
        now: Seconds,
        watchers: tuple[NodeId, ...],
        down: tuple[PlaceName, ...],
        suspended: bool,
    ) -> View | None:
        """Return the new view if one is to be published now."""
        if (down, suspended) != (self._down, self._suspended):
            self._down, self._suspended = down, suspended
            self._view_builder.refresh_all()
        balancers = tuple(
            Balancer(node, Incarnation(0), PlaceName("")) for node in watchers
        )
        return self._view_builder.due(now, balancers, down, suspended)

    def _drop_others(self, now: Seconds, kept: set[NodeId]) -> None:
        for node in sorted(self._table.live):
            fresh = now - self._received_at.get(node, 0.0) < OMISSION_GRACE_S
            if node != self._me and node not in kept and not fresh:
                self._table.remove(node)
                self._received_at.pop(node, None)
                self._view_builder.refresh_server(node)

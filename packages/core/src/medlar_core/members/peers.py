"""What an agent knows of the servers of its service."""

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
from .view_builder import Viewer

TRUST_S = 5.0
"""A server told of so recently stays when another balancer omits it."""


class Peers:
    """Servers of one service, as the agent's watchers tell them."""

    def __init__(self, places: Places, rng: random.Random) -> None:
        self._table = Table(rng)
        self._grid = Grid()
        self._viewer = Viewer(self._table, self._grid, places)
        self._told: dict[NodeId, float] = {}
        self._down: tuple[PlaceName, ...] = ()
        self._closed = False
        self._me = NodeId("")

    @property
    def view(self) -> View:
        """The last view that was told."""
        return self._viewer.view

    def own(self, now: Seconds, record: Record, load: Load) -> None:
        """Take what the agent says of its own server."""
        self._me = record.id
        if self._table.apply(now, record):
            self._viewer.server_now(record.id)
        if self._grid.of(record.id) != load:
            self._grid.loads[load_key(record.id)] = load
            self._viewer.load_later([load_key(record.id)])

    def learn(self, now: Seconds, ack: Ack) -> None:
        """Take the records in an answer.

        :raises BadPack: if they can't be read.
        """
        records = [r for r in unpack(ack.packed) if r.id != self._me]
        for record in records:
            self._told[record.id] = now
            if self._table.apply(now, record):
                self._viewer.server_now(record.id)
        if ack.whole:
            self._drop_others(now, {record.id for record in records})

    def digest(self, service: ServiceName) -> int:
        """Return the hash of what is known of the service."""
        return self._table.service_digest(service)

    def due(
        self,
        now: Seconds,
        watchers: tuple[NodeId, ...],
        down: tuple[PlaceName, ...],
        closed: bool,
    ) -> View | None:
        """Return the new view if there is one to tell now."""
        if (down, closed) != (self._down, self._closed):
            self._down, self._closed = down, closed
            self._viewer.all_now()
        balancers = tuple(
            Balancer(node, Incarnation(0), PlaceName("")) for node in watchers
        )
        return self._viewer.due(now, balancers, down, closed)

    def _drop_others(self, now: Seconds, kept: set[NodeId]) -> None:
        for node in sorted(self._table.live):
            fresh = now - self._told.get(node, 0.0) < TRUST_S
            if node != self._me and node not in kept and not fresh:
                self._table.forget(node)
                self._told.pop(node, None)
                self._viewer.server_now(node)

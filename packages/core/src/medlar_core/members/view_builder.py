"""Builds the view for the other parts from the table."""

import math

from ..ids import Incarnation
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from .load import Grid
from .load import load_key
from .places import Places
from .record import Record
from .record import Role
from .table import Table
from .view import Balancer
from .view import Server
from .view import ServerState
from .view import View

FIRST_WARMTH = 0.1
WARMTH_STEPS = 10
SERVERS_PER_S = 1000.0
"""Limit of the rate at which loads are published, in servers a second."""
MIN_INTERVAL_S = 0.5
WARMING_INTERVAL_S = 1.0
"""Longest interval between updates of the warmth of warming servers."""


class ViewBuilder:
    """Keeps the servers of the view and rebuilds only those that changed.

    Changes of state are published at the next tick, changes of load or
    warmth later, so that their cost does not grow with the fleet.
    """

    def __init__(self, table: Table, grid: Grid, places: Places) -> None:
        self._table = table
        self._grid = grid
        self._places = places
        self._servers: dict[NodeId, Server] = {}
        self._keys: dict[int, NodeId] = {}
        self._warming: dict[NodeId, tuple[Incarnation, float]] = {}
        self._stale: dict[NodeId, None] = {}
        self._urgent = True
        self._next_slow = 0.0
        self._order: list[NodeId] = []
        self.view = View(0, (), ())

    def refresh_server(self, server: NodeId) -> None:
        """Update or remove a server in the next view."""
        self._stale[server] = None
        self._urgent = True

    def refresh_all(self) -> None:
        """Update all servers in the next view."""
        self._stale.update(dict.fromkeys(self._table.live))
        self._urgent = True

    def refresh_loads(self, keys: list[int]) -> None:
        """Update servers whose load changed in a later view."""
        found = (self._keys.get(key) for key in keys)
        self._stale.update({node: None for node in found if node})

    def due(
        self,
        now: Seconds,
        balancers: tuple[Balancer, ...],
        down: tuple[PlaceName, ...],
        suspended: bool,
    ) -> View | None:
        """Return the new view if one is to be published now.

        Servers of the places ``down`` get warmth 0; if ``suspended``, all
        servers do, so that this process places nothing.
        """
        if not self._urgent and now < self._next_slow:
            return None
        self._stale.update(dict.fromkeys(self._warming))
        if not self._urgent and not self._stale:
            return None
        interval = len(self._table.live) / SERVERS_PER_S
        longest = WARMING_INTERVAL_S if self._warming else interval
        self._next_slow = now + max(MIN_INTERVAL_S, min(interval, longest))
        changed = self._refresh(now, frozenset(down), suspended)
        return self._build(balancers) if changed else None

    def _refresh(
        self, now: Seconds, down: frozenset[PlaceName], suspended: bool
    ) -> bool:
        changed = self._urgent
        for node in self._stale:
            record = self._table.live.get(node)
            unusable = suspended or (
                record is not None and record.place in down
            )
            changed = self._refresh_one(now, node, record, unusable) or changed
        self._stale = {}
        self._urgent = False
        return changed

    def _build(self, balancers: tuple[Balancer, ...]) -> View | None:
        if len(self._order) != len(self._servers):
            self._order = sorted(self._servers)
        servers = tuple(self._servers[node] for node in self._order)
        if (servers, balancers) == (self.view.servers, self.view.balancers):
            return None
        self.view = View(self.view.version + 1, servers, balancers)
        return self.view

    def _refresh_one(
        self, now: Seconds, node: NodeId, record: Record | None, unusable: bool
    ) -> bool:
        held = self._servers.get(node)
        if record is None or record.role is not Role.SERVER:
            if held is not None:
                del self._servers[node]
                self._order = []
                self._warming.pop(node, None)
            return held is not None
        server = self._server(now, record, unusable)
        if held is None:
            self._order = []
            self._keys[load_key(node)] = node
        self._servers[node] = server
        return server != held

    def _server(self, now: Seconds, record: Record, unusable: bool) -> Server:
        load = self._grid.of(record.id)
        warmth = self._warmth(now, record)
        return Server(
            record.id,
            record.incarnation,
            record.service,
            record.place,
            record.state,
            record.weight,
            0.0 if unusable else warmth,
            load.flows if load else 0,
            load.busy if load else 0,
            record.slots,
        )

    def _warmth(self, now: Seconds, record: Record) -> float:
        if record.state is not ServerState.WARMING:
            self._warming.pop(record.id, None)
            return 1.0 if record.state is ServerState.READY else 0.0
        held = self._warming.get(record.id)
        if held is None or held[0] != record.incarnation:
            held = (record.incarnation, now)
            self._warming[record.id] = held
        ramp = self._places.warm_s(record.service)
        share = (now - held[1]) / ramp if ramp > 0 else 1.0
        steps = math.floor(min(1.0, share) * WARMTH_STEPS)
        return max(FIRST_WARMTH, steps / WARMTH_STEPS)

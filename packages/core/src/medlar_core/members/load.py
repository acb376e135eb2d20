"""Distribution of server loads over a grid of balancers.

Balancers form a square grid in the order of the hashes of their ids. Each
sends the loads that its agents reported to its row, and then what it
received from its row to its column. Every load reaches every balancer in
two hops and about once; gossip would deliver it many times. A lost message
delays a load by one cycle.
"""

import math
import struct

from ..effects import Send
from ..ids import NodeId
from ..ids import Seconds
from .messages import Loads
from .record import id_hash
from .record import Record

BYTES_S = 350.0
"""Send rate limit: a cycle is made as long as the cost of the last needs."""
SHORTEST_CYCLE_S = 1.0
REFRESH_CYCLES = 8
"""An unchanged load is sent again after this many cycles."""
CHANGED_SHARE = 0.3
"""Expected share of the loads that a cycle sends."""
MESSAGE_BYTES = 130.0
ENTRY_BYTES = 8.0
ENTRIES_PER_MESSAGE = 120
FLOW_STEP = 1.125
_ENTRY = struct.Struct("<IBB")
_BYTE = 255
_ID_MASK = 0xFFFFFFFF


def load_key(node: NodeId) -> int:
    """Return the 32-bit key of a server in load messages."""
    return id_hash(node) & _ID_MASK


class Load(tuple[int, int]):
    """Quantised open flows and busy slots of a server."""

    __slots__ = ()

    @classmethod
    def of(cls, flows: int, busy: int) -> "Load":
        """Return a load rounded to the nearest step."""
        step = round(math.log(flows, FLOW_STEP)) + 1 if flows > 0 else 0
        return cls((min(step, _BYTE), min(max(busy, 0), _BYTE)))

    @property
    def flows(self) -> int:
        """Open flows, within half a step."""
        return round(FLOW_STEP ** (self[0] - 1)) if self[0] else 0

    @property
    def busy(self) -> int:
        """Busy slots."""
        return self[1]


class _LoadSum:
    """Sum of the reports of one server in a cycle."""

    def __init__(self) -> None:
        self._flows = 0
        self._busy = 0
        self._count = 0

    def add(self, flows: int, busy: int) -> None:
        """Add a report."""
        self._flows += flows
        self._busy += busy
        self._count += 1

    def mean(self) -> Load:
        """Return the mean load."""
        count = max(1, self._count)
        flows = round(self._flows / count)
        return Load.of(flows, round(self._busy / count))


class Grid:
    """Cached loads and the messages that distribute them."""

    def __init__(self) -> None:
        self.loads: dict[int, Load] = {}
        self._reported: dict[int, _LoadSum] = {}
        self._sent_loads: dict[int, Load] = {}
        self._row: dict[int, Load] = {}
        self._plan: list[tuple[int, NodeId]] = []
        self._batch: dict[int, bytes] = {}
        self._cycle_start = 0.0
        self._cycle_s = SHORTEST_CYCLE_S
        self._count = 0
        self._sent = 0
        self._cost = 0.0

    def of(self, node: NodeId) -> Load | None:
        """Return the last known load of a server."""
        return self.loads.get(load_key(node))

    def remove(self, node: NodeId) -> None:
        """Remove the load of a server that is gone."""
        key = load_key(node)
        self._reported.pop(key, None)
        for held in (self.loads, self._sent_loads, self._row):
            held.pop(key, None)

    def reported(self, node: NodeId, flows: int, busy: int) -> bool:
        """Store a load reported by an agent; return whether it changed."""
        key = load_key(node)
        self._reported.setdefault(key, _LoadSum()).add(flows, busy)
        load = Load.of(flows, busy)
        changed = self.loads.get(key) != load
        self.loads[key] = load
        return changed

    def received(self, msg: Loads) -> list[int]:
        """Store loads from another balancer; return the keys that changed."""
        changed: list[int] = []
        complete_bytes = len(msg.packed) - len(msg.packed) % _ENTRY.size
        for key, flows, busy in _ENTRY.iter_unpack(
            msg.packed[:complete_bytes]
        ):
            load = Load((flows, busy))
            if self.loads.get(key) != load:
                changed.append(key)
                self.loads[key] = load
            if msg.hop == 1:
                self._row[key] = load
        return changed

    def messages_now(self, hop: int) -> list[Loads]:
        """Return messages of all loads reported since the last call."""
        self._batch = {hop: self._fresh(refresh_turn=None)}
        return self._messages(hop)

    def due(
        self,
        now: Seconds,
        me: NodeId,
        balancers: tuple[Record, ...],
        servers: int,
    ) -> list[Send]:
        """Return the messages of this tick; a batch is spread over a cycle."""
        if now >= self._cycle_start + self._cycle_s:
            self._start_cycle(now, me, balancers, servers)
        share = (now - self._cycle_start) / self._cycle_s
        upto = min(len(self._plan), math.ceil(share * len(self._plan)))
        sent: list[Send] = []
        for hop, node in self._plan[self._sent : upto]:
            sent += [Send(node, msg) for msg in self._messages(hop)]
        self._sent = max(self._sent, upto)
        for effect in sent:
            entries = len(effect.msg.packed) / _ENTRY.size
            self._cost += MESSAGE_BYTES + entries * ENTRY_BYTES
        return sent

    def _start_cycle(
        self,
        now: Seconds,
        me: NodeId,
        balancers: tuple[Record, ...],
        servers: int,
    ) -> None:
        ids = tuple(record.id for record in balancers)
        row, column = grid_neighbours(me, ids)
        first = cycle_s(len(balancers), servers)
        last = max(SHORTEST_CYCLE_S, self._cost / BYTES_S)
        self._cycle_s = last if self._cost else first
        self._cost = 0.0
        self._cycle_start = now
        self._sent = 0
        self._plan = [(1, node) for node in row]
        self._plan += [(2, node) for node in column]
        refresh_turn = self._count % REFRESH_CYCLES
        self._count += 1
        own = self._fresh(refresh_turn)
        self._batch = {1: own, 2: own + self._pack(self._row)}
        self._row = {}

    def _fresh(self, refresh_turn: int | None) -> bytes:
        """Return the loads to send: changed ones and those due for a refresh.

        A load is the mean over the cycle, which leaves few changes to send
        at scale D.
        """
        loads = {k: v.mean() for k, v in self._reported.items()}
        fresh = {
            k: v
            for k, v in loads.items()
            if self._sent_loads.get(k) != v
            or k % REFRESH_CYCLES == refresh_turn
        }
        self._sent_loads.update(loads)
        self._reported = {}
        return self._pack(fresh)

    def _pack(self, loads: dict[int, Load]) -> bytes:
        return b"".join(_ENTRY.pack(k, *v) for k, v in sorted(loads.items()))

    def _messages(self, hop: int) -> list[Loads]:
        batch = self._batch.get(hop, b"")
        step = ENTRIES_PER_MESSAGE * _ENTRY.size
        starts = range(0, len(batch), step)
        return [Loads(hop, batch[i : i + step]) for i in starts]


def cycle_s(balancers: int, servers: int) -> float:
    """Return the time in which all loads cross the grid once, in seconds."""
    side = math.sqrt(max(1, balancers))
    entries = (side + 1) * servers / max(1.0, side)
    sent_entries = entries * CHANGED_SHARE
    cost = 2 * side * MESSAGE_BYTES + sent_entries * ENTRY_BYTES
    return max(SHORTEST_CYCLE_S, cost / BYTES_S)


def grid_neighbours(
    me: NodeId, balancers: tuple[NodeId, ...]
) -> tuple[list[NodeId], list[NodeId]]:
    """Return the other balancers of the row and column of ``me``.

    If the last row is short, its members also send to the columns that it
    does not reach.
    """
    if me not in balancers:
        return [], []
    side = math.ceil(math.sqrt(len(balancers)))
    row, place = divmod(balancers.index(me), side)
    own = balancers[row * side : (row + 1) * side]
    row_peers = [node for node in own if node != me]
    columns = range(place, side, len(own))
    column_peers = [
        node
        for column in columns
        for node in balancers[column::side]
        if node not in own
    ]
    return row_peers, column_peers

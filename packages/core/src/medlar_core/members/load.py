"""Spreading the servers' loads over a grid of balancers.

Balancers stand in a square grid by the order of their ids' hashes. Each
tells its row what its agents reported, and then its column what its row
told. So every load comes to every balancer in two hops and about once,
where gossip would bring it many times. A lost message costs one cycle.
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
"""Bytes per second to which a cycle is stretched, by what the last cost."""
SHORTEST_CYCLE_S = 1.0
REFRESH_CYCLES = 8
"""A load that stays the same is told again after so many cycles."""
CHANGED_SHARE = 0.3
"""Share of the loads that a cycle is planned to tell."""
MESSAGE_BYTES = 130.0
ENTRY_BYTES = 8.0
ENTRIES_PER_MESSAGE = 120
FLOW_STEP = 1.125
_ENTRY = struct.Struct("<IBB")
_BYTE = 255
_ID_MASK = 0xFFFFFFFF


def load_key(node: NodeId) -> int:
    """Return the 32 bits that stand for a server in load messages."""
    return id_hash(node) & _ID_MASK


class Load(tuple[int, int]):
    """Quantised open flows and busy slots of a server."""

    __slots__ = ()

    @classmethod
    def of(cls, flows: int, busy: int) -> "Load":
        """Return the nearest step to a load."""
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


class _Sum:
    """Reports of one server in a cycle."""

    def __init__(self) -> None:
        self._flows = 0
        self._busy = 0
        self._count = 0

    def add(self, flows: int, busy: int) -> None:
        """Take a report."""
        self._flows += flows
        self._busy += busy
        self._count += 1

    def mean(self) -> Load:
        """Return the mean load."""
        count = max(1, self._count)
        flows = round(self._flows / count)
        return Load.of(flows, round(self._busy / count))


class Grid:
    """Loads known here and the messages that spread them."""

    def __init__(self) -> None:
        self.loads: dict[int, Load] = {}
        self._reported: dict[int, _Sum] = {}
        self._told: dict[int, Load] = {}
        self._row: dict[int, Load] = {}
        self._plan: list[tuple[int, NodeId]] = []
        self._batch: dict[int, bytes] = {}
        self._starts = 0.0
        self._cycle_s = SHORTEST_CYCLE_S
        self._count = 0
        self._sent = 0
        self._cost = 0.0

    def of(self, node: NodeId) -> Load | None:
        """Return the last known load of a server."""
        return self.loads.get(load_key(node))

    def forget(self, node: NodeId) -> None:
        """Drop the load of a server that is gone."""
        key = load_key(node)
        self._reported.pop(key, None)
        for held in (self.loads, self._told, self._row):
            held.pop(key, None)

    def reported(self, node: NodeId, flows: int, busy: int) -> bool:
        """Take what an agent reports; return whether it changed."""
        key = load_key(node)
        self._reported.setdefault(key, _Sum()).add(flows, busy)
        load = Load.of(flows, busy)
        changed = self.loads.get(key) != load
        self.loads[key] = load
        return changed

    def received(self, msg: Loads) -> list[int]:
        """Take loads by another balancer; return the keys that changed."""
        changed: list[int] = []
        whole = len(msg.packed) - len(msg.packed) % _ENTRY.size
        for key, flows, busy in _ENTRY.iter_unpack(msg.packed[:whole]):
            load = Load((flows, busy))
            if self.loads.get(key) != load:
                changed.append(key)
                self.loads[key] = load
            if msg.hop == 1:
                self._row[key] = load
        return changed

    def messages_now(self, hop: int) -> list[Loads]:
        """Return messages of all that was reported since the last."""
        self._batch = {hop: self._fresh(turn=None)}
        return self._messages(hop)

    def due(
        self,
        now: Seconds,
        me: NodeId,
        balancers: tuple[Record, ...],
        servers: int,
    ) -> list[Send]:
        """Return the messages of this tick; all are spread over a cycle."""
        if now >= self._starts + self._cycle_s:
            self._begin(now, me, balancers, servers)
        share = (now - self._starts) / self._cycle_s
        upto = min(len(self._plan), math.ceil(share * len(self._plan)))
        sent: list[Send] = []
        for hop, node in self._plan[self._sent : upto]:
            sent += [Send(node, msg) for msg in self._messages(hop)]
        self._sent = max(self._sent, upto)
        for effect in sent:
            entries = len(effect.msg.packed) / _ENTRY.size
            self._cost += MESSAGE_BYTES + entries * ENTRY_BYTES
        return sent

    def _begin(
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
        self._starts = now
        self._sent = 0
        self._plan = [(1, node) for node in row]
        self._plan += [(2, node) for node in column]
        turn = self._count % REFRESH_CYCLES
        self._count += 1
        own = self._fresh(turn)
        self._batch = {1: own, 2: own + self._pack(self._row)}
        self._row = {}

    def _fresh(self, turn: int | None) -> bytes:
        """Return the loads to tell: new ones and those whose turn it is.

        A load is the mean over the cycle: at D that leaves little to tell.
        """
        loads = {k: v.mean() for k, v in self._reported.items()}
        fresh = {
            k: v
            for k, v in loads.items()
            if self._told.get(k) != v or k % REFRESH_CYCLES == turn
        }
        self._told.update(loads)
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
    """Return the time in which all loads go over the grid once."""
    side = math.sqrt(max(1, balancers))
    entries = (side + 1) * servers / max(1.0, side)
    told = entries * CHANGED_SHARE
    cost = 2 * side * MESSAGE_BYTES + told * ENTRY_BYTES
    return max(SHORTEST_CYCLE_S, cost / BYTES_S)


def grid_neighbours(
    me: NodeId, balancers: tuple[NodeId, ...]
) -> tuple[list[NodeId], list[NodeId]]:
    """Return the balancers of one's row and column.

    Where the last row is short, its members also tell the columns that
    it does not reach.
    """
    if me not in balancers:
        return [], []
    side = math.ceil(math.sqrt(len(balancers)))
    row, place = divmod(balancers.index(me), side)
    mine = balancers[row * side : (row + 1) * side]
    row_mates = [node for node in mine if node != me]
    columns = range(place, side, len(mine))
    column_mates = [
        node
        for column in columns
        for node in balancers[column::side]
        if node not in mine
    ]
    return row_mates, column_mates

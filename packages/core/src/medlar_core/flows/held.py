"""The flows that an agent's server holds."""

import collections

import msgspec

from ..ids import FlowKey
from ..ids import NodeId
from ..ids import Seconds
from ..packets import Flag
from .limits import CLOSING_LIMIT
from .limits import CLOSING_S
from .limits import HALF_OPEN_LIMIT
from .limits import HALF_OPEN_S
from .limits import IDLE_S
from .limits import SWEEP_S

_FIN = int(Flag.FIN)
_FIN_IN = 1
_FIN_OUT = 2
_BOTH = _FIN_IN | _FIN_OUT


class Held(msgspec.Struct, gc=False):
    """A flow held here.

    ``seen`` is the time of the last packet in whole seconds, ``marks``
    tells which ends closed it and ``told`` is the bucket's owner that
    was told of it, empty for none. While a flow is unproved, ``told`` is
    the agent that passed it on to this one.
    """

    caller: str
    address: str
    seen: int
    marks: int = 0
    told: NodeId = NodeId("")


class FlowTable:
    """Established flows, and apart from them unproved and closed ones.

    Unproved flows live in a bounded queue: a flood of new flows pushes
    out the oldest of them and never an established one. Flows that both
    ends closed stay a while for late packets and count no more.
    """

    def __init__(self) -> None:
        self.established: dict[FlowKey, Held] = {}
        self.half_open: dict[FlowKey, Held] = {}
        self.closing: dict[FlowKey, Held] = {}
        self.evicted = 0
        self._closing: collections.deque[tuple[float, FlowKey]] = (
            collections.deque()
        )
        self._sweep_at = 0.0
        self._second = 0

    def get(self, key: FlowKey, caller: str, address: str) -> Held | None:
        """Return the flow of this caller and address if it is held."""
        held = self.established.get(key) or self.half_open.get(key)
        held = held or self.closing.get(key)
        if held is None or held.caller != caller or held.address != address:
            return None
        return held

    def taken(self, key: FlowKey) -> bool:
        """Return whether an open flow with this key is held."""
        return key in self.established or key in self.half_open

    def open(self, now: Seconds, key: FlowKey, held: Held) -> None:
        """Take an unproved flow in; the oldest one may have to go."""
        if len(self.half_open) >= HALF_OPEN_LIMIT:
            del self.half_open[next(iter(self.half_open))]
            self.evicted += 1
        held.seen = self.stamp(now)
        self.closing.pop(key, None)
        self.half_open[key] = held

    def adopt(self, now: Seconds, key: FlowKey, held: Held) -> None:
        """Take a flow in that the server is known to have open."""
        held.seen = self.stamp(now)
        self.half_open.pop(key, None)
        self.closing.pop(key, None)
        self.established[key] = held

    def prove(self, key: FlowKey) -> bool:
        """Make an unproved flow established; False if it already was."""
        held = self.half_open.pop(key, None)
        if held is None:
            return False
        self.established[key] = held
        return True

    def note(
        self, now: Seconds, key: FlowKey, held: Held, flags: int, inward: bool
    ) -> bool:
        """Note a packet of a flow; return whether it closes the flow."""
        held.seen = self.stamp(now)
        if not flags & _FIN or held.marks == _BOTH:
            return False
        held.marks |= _FIN_IN if inward else _FIN_OUT
        if held.marks != _BOTH or not self.remove(key):
            return False
        if len(self.closing) >= CLOSING_LIMIT:
            del self.closing[next(iter(self.closing))]
        self.closing[key] = held
        self._closing.append((now + CLOSING_S, key))
        return True

    def remove(self, key: FlowKey) -> Held | None:
        """Forget a flow and return it."""
        held = self.established.pop(key, None)
        return held or self.half_open.pop(key, None)

    def expire(self, now: Seconds) -> list[tuple[FlowKey, Held]]:
        """Forget what ended or stays unproved; return idle flows."""
        while self._closing and self._closing[0][0] <= now:
            self.closing.pop(self._closing.popleft()[1], None)
        for key, held in list(self.half_open.items()):
            if now - held.seen <= HALF_OPEN_S:
                break
            del self.half_open[key]
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_S
            return self._idle(now)
        return []

    def _idle(self, now: Seconds) -> list[tuple[FlowKey, Held]]:
        oldest = now - IDLE_S
        idle = [(k, h) for k, h in self.established.items() if h.seen < oldest]
        for key, _ in idle:
            del self.established[key]
        return idle

    def stamp(self, now: Seconds) -> int:
        """Return the time in whole seconds, one object per second."""
        if int(now) != self._second:
            self._second = int(now)
        return self._second

"""Table of the flows that the local server holds."""

import collections

import msgspec

from ..ids import FlowKey
from ..ids import NodeId
from ..ids import Seconds
from ..packets import Flag
from .limits import CLOSING_LIFETIME_S
from .limits import CLOSING_LIMIT
from .limits import HALF_OPEN_LIMIT
from .limits import HALF_OPEN_TIMEOUT_S
from .limits import IDLE_SWEEP_INTERVAL_S
from .limits import IDLE_TIMEOUT_S

_FIN = int(Flag.FIN)
_FIN_IN = 1
_FIN_OUT = 2
_FIN_BOTH = _FIN_IN | _FIN_OUT


class HeldFlow(msgspec.Struct, gc=False):
    """A flow of the local server.

    ``last_packet_s`` is the time of the last packet in whole seconds.
    ``fin_bits`` records which ends sent a FIN. ``announced_to`` is the
    bucket owner to which the flow was announced, empty for none; while the
    flow is half open, it is the agent that forwarded the SYN to this one.
    """

    caller: str
    address: str
    last_packet_s: int
    fin_bits: int = 0
    announced_to: NodeId = NodeId("")


class FlowTable:
    """Half-open, established and closed flows, kept apart.

    Half-open flows are bounded in number: a SYN flood evicts the oldest of
    them and never an established flow. Flows that both ends closed are
    kept for a while for late packets but no longer count as open.
    """

    def __init__(self) -> None:
        self.established: dict[FlowKey, HeldFlow] = {}
        self.half_open: dict[FlowKey, HeldFlow] = {}
        self.closing: dict[FlowKey, HeldFlow] = {}
        self.evicted = 0
        self._closing: collections.deque[tuple[float, FlowKey]] = (
            collections.deque()
        )
        self._next_sweep_at = 0.0
        self._now_s = 0

    def get(self, key: FlowKey, caller: str, address: str) -> HeldFlow | None:
        """Return the flow of this caller and address if it is held."""
        held = self.established.get(key) or self.half_open.get(key)
        held = held or self.closing.get(key)
        if held is None or held.caller != caller or held.address != address:
            return None
        return held

    def is_open(self, key: FlowKey) -> bool:
        """Return whether an open flow with this key is held."""
        return key in self.established or key in self.half_open

    def open(self, now: Seconds, key: FlowKey, held: HeldFlow) -> None:
        """Add a half-open flow; evict the oldest one if the table is full."""
        if len(self.half_open) >= HALF_OPEN_LIMIT:
            del self.half_open[next(iter(self.half_open))]
            self.evicted += 1
        held.last_packet_s = self.whole_seconds(now)
        self.closing.pop(key, None)
        self.half_open[key] = held

    def adopt(self, now: Seconds, key: FlowKey, held: HeldFlow) -> None:
        """Add a flow that the server is known to have open."""
        held.last_packet_s = self.whole_seconds(now)
        self.half_open.pop(key, None)
        self.closing.pop(key, None)
        self.established[key] = held

    def establish(self, key: FlowKey) -> bool:
        """Establish a half-open flow; return False if it was not half open."""
        held = self.half_open.pop(key, None)
        if held is None:
            return False
        self.established[key] = held
        return True

    def record_packet(
        self,
        now: Seconds,
        key: FlowKey,
        held: HeldFlow,
        flags: int,
        inward: bool,
    ) -> bool:
        """Record a packet of a flow; return whether it closes the flow."""
        held.last_packet_s = self.whole_seconds(now)
        if not flags & _FIN or held.fin_bits == _FIN_BOTH:
            return False
        held.fin_bits |= _FIN_IN if inward else _FIN_OUT
        if held.fin_bits != _FIN_BOTH or not self.remove(key):
            return False
        if len(self.closing) >= CLOSING_LIMIT:
            del self.closing[next(iter(self.closing))]
        self.closing[key] = held
        self._closing.append((now + CLOSING_LIFETIME_S, key))
        return True

    def remove(self, key: FlowKey) -> HeldFlow | None:
        """Remove an open flow and return it."""
        held = self.established.pop(key, None)
        return held or self.half_open.pop(key, None)

    def expire(self, now: Seconds) -> list[tuple[FlowKey, HeldFlow]]:
        """Remove closed, half-open and idle flows that timed out.

        Only the idle ones are returned.
        """
        while self._closing and self._closing[0][0] <= now:
            self.closing.pop(self._closing.popleft()[1], None)
        for key, held in list(self.half_open.items()):
            if now - held.last_packet_s <= HALF_OPEN_TIMEOUT_S:
                break
            del self.half_open[key]
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + IDLE_SWEEP_INTERVAL_S
            return self._remove_idle(now)
        return []

    def _remove_idle(self, now: Seconds) -> list[tuple[FlowKey, HeldFlow]]:
        oldest = now - IDLE_TIMEOUT_S
        idle = [
            (k, h)
            for k, h in self.established.items()
            if h.last_packet_s < oldest
        ]
        for key, _ in idle:
            del self.established[key]
        return idle

    def whole_seconds(self, now: Seconds) -> int:
        """Return the time in whole seconds, one shared object per second."""
        if int(now) != self._now_s:
            self._now_s = int(now)
        return self._now_s

"""Simulated network: delay, loss, reordering, duplicates, partitions."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

import msgspec

from medlar_core.effects import CallStore
from medlar_core.effects import Forward
from medlar_core.effects import Send
from medlar_core.events import PacketArrived
from medlar_core.events import Received
from medlar_core.events import Reducer
from medlar_core.events import StoreAnswered
from medlar_core.events import Tick
from medlar_core.ids import NodeId

from .clock import Clock
from .store import Store

TICK_S = 0.1
DATAGRAM_LIMIT_BYTES = 1200
DATAGRAM_OVERHEAD_BYTES = 90
"""IP and UDP headers, key ID, timestamp and MAC of one datagram."""
HTTP_OVERHEAD_BYTES = 400
"""Headers of the HTTP request and response and of the TCP segments."""


class Faults(msgspec.Struct):
    """Injected network faults; loss and duplicates are shares 0 to 1."""

    loss: float = 0.0
    duplicate: float = 0.0
    delay_s: float = 0.0015
    jitter_s: float = 0.001


def wire_bytes(msg: Any) -> int:
    """Return the size of a control message on the wire, with headers."""
    size = len(msgspec.json.encode(msg))
    if size <= DATAGRAM_LIMIT_BYTES:
        return size + DATAGRAM_OVERHEAD_BYTES
    return size + HTTP_OVERHEAD_BYTES


class Net:
    """Executes the effects of attached reducers and delivers their messages.

    ``other`` is called with (node, effect) for effects not handled here,
    ``late`` returns the extra delay of an event in seconds. If ``metered``,
    control bytes are counted per node and ``messages`` by type name.
    """

    def __init__(
        self,
        clock: Clock,
        seed: int,
        store: Store | None = None,
        other: Callable[[NodeId, Any], None] | None = None,
        metered: bool = False,
    ) -> None:
        self.clock = clock
        self.rng = random.Random(seed)
        self.store = store
        self.faults = Faults()
        self.hosts: dict[NodeId, Reducer] = {}
        self.cut: Callable[[NodeId, NodeId], bool] = lambda a, b: False
        self.late: Callable[[Any], float] = lambda event: 0.0
        self.other = other or (lambda node, effect: None)
        self.metered = metered
        self.bytes_sent: collections.Counter[NodeId] = collections.Counter()
        self.bytes_recv: collections.Counter[NodeId] = collections.Counter()
        self.messages: collections.Counter[str] = collections.Counter()
        self._paused: dict[NodeId, list[Any]] = {}

    def attach(
        self, node: NodeId, host: Reducer, tick_s: float = TICK_S
    ) -> None:
        """Start a process: it receives ticks and the messages sent to it."""
        self.hosts[node] = host

        def tick() -> bool:
            if self.hosts.get(node) is not host:
                return False
            if node not in self._paused:
                self.dispatch(node, Tick())
            return True

        first = self.rng.random() * tick_s
        self.clock.after(first, lambda: self.clock.every(tick_s, tick))

    def kill(self, node: NodeId) -> None:
        """End a process at once; messages in transit to it are lost."""
        self.hosts.pop(node, None)
        self._paused.pop(node, None)

    def pause(self, node: NodeId) -> None:
        """Suspend a process; events are queued until it resumes."""
        self._paused.setdefault(node, [])

    def resume(self, node: NodeId) -> None:
        """Resume a paused process and dispatch its queued events."""
        for event in self._paused.pop(node, []):
            self.dispatch(node, event)

    def dispatch(self, node: NodeId, event: Any) -> None:
        """Reduce an event at a process now and execute the effects."""
        if node in self._paused:
            self._paused[node].append(event)
            return
        host = self.hosts.get(node)
        if host is not None:
            self.execute(node, host.reduce(self.clock.now, event))

    def execute(self, src: NodeId, effects: Iterable[Any]) -> None:
        """Execute the effects of a process."""
        for effect in effects:
            match effect:
                case Send(dst=dst, msg=msg):
                    self._meter(src, dst, msg)
                    self._send(src, dst, Received(src, msg))
                case Forward(dst=dst, packet=packet):
                    self._send(src, dst, PacketArrived(packet))
                case CallStore(call=call, op=op):
                    self._call(src, call, op)
                case _:
                    self.other(src, effect)

    def _meter(self, src: NodeId, dst: NodeId, msg: Any) -> None:
        if not self.metered:
            return
        size = wire_bytes(msg)
        self.bytes_sent[src] += size
        self.bytes_recv[dst] += size
        self.messages[type(msg).__name__] += 1

    def _send(self, src: NodeId, dst: NodeId, event: Any) -> None:
        if self.cut(src, dst) or self.rng.random() < self.faults.loss:
            return
        self._later(dst, event)
        if self.rng.random() < self.faults.duplicate:
            self._later(dst, event)

    def _later(self, node: NodeId, event: Any) -> None:
        jitter = self.rng.random() * self.faults.jitter_s + self.late(event)
        host = self.hosts.get(node)

        def arrive() -> None:
            if self.hosts.get(node) is host:
                self.dispatch(node, event)

        self.clock.after(self.faults.delay_s + jitter, arrive)

    def _call(self, src: NodeId, call: Any, op: Any) -> None:
        if self.store is None:
            raise RuntimeError("expected a store, got None; pass one to Net")
        self.store.call(
            op, lambda answer: self._later(src, StoreAnswered(call, answer))
        )

"""Simulation of relay processes, servers and callers in virtual time."""

from collections.abc import Callable
import random
from typing import Any

import msgspec

from medlar_core.effects import CallStore
from medlar_core.effects import Record
from medlar_core.effects import Send
from medlar_core.events import Received
from medlar_core.events import Reducer
from medlar_core.events import StoreAnswered
from medlar_core.events import Tick
from medlar_core.ids import NodeId
from medlar_core.ids import StoreCallId
from medlar_core.packets import Flag
from medlar_core.relay.access import CALL_LIMIT_S
from medlar_core.relay.effects import DeliverToServer
from medlar_core.relay.effects import FetchRoutes
from medlar_core.relay.effects import ForwardToAgent
from medlar_core.relay.effects import SendToCaller
from medlar_core.relay.events import CallerPacketReceived
from medlar_core.relay.events import PacketForwarded
from medlar_core.relay.events import RoutesFetched
from medlar_core.relay.events import ServerPacketReceived
from medlar_core.relay.routes import RouteTable
from medlar_core.relay.segment import FlowId
from medlar_core.relay.segment import Segment
from medlar_core.store import StoreAnswer
from medlar_core.store import StoreOp
from medlar_core.store import Unavailable
from medlar_core.store import Watch
from medlar_core.timeline.events import TimelineEvent

from .clock import Clock
from .store import Store

TICK_S = 0.1
HOP_S = 0.001


class FakeCodec:
    """Encodes segments as MessagePack."""

    def decode(self, data: bytes) -> Segment:
        """Return the segment of a datagram."""
        found = msgspec.msgpack.decode(data, type=Segment)
        return msgspec.structs.replace(found, data=data)

    def without_bounce_marks(self, data: bytes) -> bytes:
        """Return the datagram with its bounce flag cleared."""
        segment = self.decode(data)
        return write(segment, flags=segment.flags & ~Flag.BOUNCED)

    def reset(self, flow: FlowId, seq: int) -> bytes:
        """Return the datagram of a reset for a flow."""
        found = Segment(b"", Flag.RST, flow.address, flow.caller, 0, seq, 0)
        return write(found)


def write(segment: Segment, **changes: Any) -> bytes:
    """Encode a segment, with some fields replaced, as a datagram."""
    plain = msgspec.structs.replace(segment, data=b"", **changes)
    return msgspec.msgpack.encode(plain)


class FakeServer:
    """Accepts up to ``capacity`` flows and bounces packets of others."""

    def __init__(self, capacity: int = 1_000) -> None:
        self.capacity = capacity
        self.ignores_data = False
        self.flows: set[FlowId] = set()
        self.accepted: list[FlowId] = []

    def receive(self, segment: Segment) -> list[Segment]:
        """Return the packets that the server sends in response to a packet."""
        flow = segment.inward
        if segment.flags & Flag.SYN and len(self.flows) < self.capacity:
            self.flows.add(flow)
            self.accepted.append(flow)
            return [self._response(flow, Flag.SYN | Flag.ACK)]
        if flow not in self.flows:
            bounced = int(segment.flags | Flag.BOUNCED)
            return [msgspec.structs.replace(segment, flags=bounced)]
        if not segment.size or self.ignores_data:
            return []
        return [self._response(flow, Flag.ACK, 100)]

    def _response(self, flow: FlowId, flags: Flag, size: int = 0) -> Segment:
        return Segment(b"", int(flags), *flow[::-1], size, 500, 7)


class RelaySimulation:
    """Executes effects of reducers; ``offline`` nodes receive no events."""

    def __init__(self, seed: int = 1) -> None:
        self.clock = Clock()
        self.store = Store(self.clock, seed)
        self.rng = random.Random(seed)
        self.nodes: dict[NodeId, Reducer] = {}
        self.servers: dict[NodeId, FakeServer] = {}
        self.routes: Callable[[NodeId], RouteTable | None] = lambda _: None
        self.offline: set[NodeId] = set()
        self.without_store: set[NodeId] = set()
        self.sent_to_callers: list[Segment] = []
        self.events: list[TimelineEvent] = []
        self.forward_count = 0
        self._codec = FakeCodec()
        self.clock.after(TICK_S, self._tick)

    def dispatch(self, node: NodeId, event: Any) -> None:
        """Reduce an event at a node unless the node is offline."""
        reducer = self.nodes.get(node)
        if reducer is None or node in self.offline:
            return
        for effect in reducer.reduce(self.clock.now, event):
            self._execute(node, effect)

    def call(self, balancer: NodeId, segment: Segment) -> None:
        """Send a caller's packet through a balancer."""
        data = write(segment)
        self.dispatch(balancer, CallerPacketReceived(self._codec.decode(data)))

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.clock.run_until(self.clock.now + seconds)

    def _tick(self) -> None:
        for node in list(self.nodes):
            self.dispatch(node, Tick())
        self.clock.after(TICK_S, self._tick)

    def _execute(self, src: NodeId, effect: Any) -> None:
        match effect:
            case ForwardToAgent(dst=dst, wrapped=wrapped):
                self.forward_count += 1
                segment = self._codec.decode(wrapped.data)
                self._later(dst, PacketForwarded(src, wrapped, segment))
            case Send(dst=dst, msg=msg):
                self._later(dst, Received(src, msg))
            case DeliverToServer(data=data):
                for segment in self.servers[src].receive(
                    self._codec.decode(data)
                ):
                    sent = self._codec.decode(write(segment))
                    self._later(src, ServerPacketReceived(sent))
            case SendToCaller(data=data):
                self.sent_to_callers.append(self._codec.decode(data))
            case CallStore(call=call, op=op):
                self._call_store(src, call, op)
            case FetchRoutes(src=peer):
                if (table := self.routes(peer)) and peer not in self.offline:
                    self._later(src, RoutesFetched(peer, table))
            case Record(event=event):
                self.events.append(event)

    def _call_store(self, src: NodeId, call: StoreCallId, op: StoreOp) -> None:
        """Call the store; respond as unavailable after the time limit."""
        answers: list[StoreAnswer] = []

        def answered(answer: StoreAnswer) -> None:
            if not answers:
                answers.append(answer)
                self.dispatch(src, StoreAnswered(call, answer))

        wait_s = op.wait_s if isinstance(op, Watch) else 0.0
        timed_out = Unavailable("no answer")
        self.clock.after(CALL_LIMIT_S + wait_s, lambda: answered(timed_out))
        if src not in self.without_store:
            self.store.call(op, answered)

    def _later(self, dst: NodeId, event: Any) -> None:
        self.clock.after(HOP_S, lambda: self.dispatch(dst, event))

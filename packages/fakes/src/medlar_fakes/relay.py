"""Relay processes, their servers and callers in virtual time."""

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
    """Writes segments as MessagePack."""

    def decode(self, data: bytes) -> Segment:
        """Return the segment in a datagram."""
        found = msgspec.msgpack.decode(data, type=Segment)
        return msgspec.structs.replace(found, data=data)

    def without_bounce_marks(self, data: bytes) -> bytes:
        """Return the datagram without the mark of a bounce."""
        segment = self.decode(data)
        return write(segment, flags=segment.flags & ~Flag.BOUNCED)

    def reset(self, flow: FlowId, seq: int) -> bytes:
        """Return a reset of a flow."""
        found = Segment(b"", Flag.RST, flow.address, flow.caller, 0, seq, 0)
        return write(found)


def write(segment: Segment, **changes: Any) -> bytes:
    """Return the datagram of a segment with changed fields."""
    plain = msgspec.structs.replace(segment, data=b"", **changes)
    return msgspec.msgpack.encode(plain)


class FakeServer:
    """Takes up to ``room`` flows; bounces others; mute, answers none."""

    def __init__(self, room: int = 1_000) -> None:
        self.room = room
        self.mute = False
        self.flows: set[FlowId] = set()
        self.taken: list[FlowId] = []

    def take(self, segment: Segment) -> list[Segment]:
        """Return what the server sends for a packet."""
        flow = segment.inward
        if segment.flags & Flag.SYN and len(self.flows) < self.room:
            self.flows.add(flow)
            self.taken.append(flow)
            return [self._answer(flow, Flag.SYN | Flag.ACK)]
        if flow not in self.flows:
            back = int(segment.flags | Flag.BOUNCED)
            return [msgspec.structs.replace(segment, flags=back)]
        if not segment.size or self.mute:
            return []
        return [self._answer(flow, Flag.ACK, 100)]

    def _answer(self, flow: FlowId, flags: Flag, size: int = 0) -> Segment:
        return Segment(b"", int(flags), *flow[::-1], size, 500, 7)


class RelayWorld:
    """Carries effects between reducers; ``away`` nodes hear nothing."""

    def __init__(self, seed: int = 1) -> None:
        self.clock = Clock()
        self.store = Store(self.clock, seed)
        self.rng = random.Random(seed)
        self.nodes: dict[NodeId, Reducer] = {}
        self.servers: dict[NodeId, FakeServer] = {}
        self.tables: Callable[[NodeId], RouteTable | None] = lambda _: None
        self.away: set[NodeId] = set()
        self.storeless: set[NodeId] = set()
        self.answers: list[Segment] = []
        self.events: list[TimelineEvent] = []
        self.passes = 0
        self._codec = FakeCodec()
        self.clock.after(TICK_S, self._tick)

    def give(self, node: NodeId, event: Any) -> None:
        """Let a node take an event unless it is away."""
        reducer = self.nodes.get(node)
        if reducer is None or node in self.away:
            return
        for effect in reducer.reduce(self.clock.now, event):
            self._carry(node, effect)

    def call(self, balancer: NodeId, segment: Segment) -> None:
        """Send a caller's packet through a balancer."""
        data = write(segment)
        self.give(balancer, CallerPacketReceived(self._codec.decode(data)))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.run_until(self.clock.now + seconds)

    def _tick(self) -> None:
        for node in list(self.nodes):
            self.give(node, Tick())
        self.clock.after(TICK_S, self._tick)

    def _carry(self, src: NodeId, effect: Any) -> None:
        match effect:
            case ForwardToAgent(dst=dst, wrapped=wrapped):
                self.passes += 1
                segment = self._codec.decode(wrapped.data)
                self._later(dst, PacketForwarded(src, wrapped, segment))
            case Send(dst=dst, msg=msg):
                self._later(dst, Received(src, msg))
            case DeliverToServer(data=data):
                for segment in self.servers[src].take(
                    self._codec.decode(data)
                ):
                    sent = self._codec.decode(write(segment))
                    self._later(src, ServerPacketReceived(sent))
            case SendToCaller(data=data):
                self.answers.append(self._codec.decode(data))
            case CallStore(call=call, op=op):
                self._ask_store(src, call, op)
            case FetchRoutes(src=peer):
                if (table := self.tables(peer)) and peer not in self.away:
                    self._later(src, RoutesFetched(peer, table))
            case Record(event=event):
                self.events.append(event)

    def _ask_store(self, src: NodeId, call: StoreCallId, op: StoreOp) -> None:
        """Call the store; give up after the limit of a call."""
        answers: list[StoreAnswer] = []

        def answered(answer: StoreAnswer) -> None:
            if not answers:
                answers.append(answer)
                self.give(src, StoreAnswered(call, answer))

        wait_s = op.wait_s if isinstance(op, Watch) else 0.0
        late = Unavailable("no answer")
        self.clock.after(CALL_LIMIT_S + wait_s, lambda: answered(late))
        if src not in self.storeless:
            self.store.call(op, answered)

    def _later(self, dst: NodeId, event: Any) -> None:
        self.clock.after(HOP_S, lambda: self.give(dst, event))

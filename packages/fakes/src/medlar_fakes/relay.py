"""Simulation of relay processes, their servers and callers."""

import collections
from collections.abc import Callable
import functools
import random
from typing import Any

import msgspec

from medlar_core.effects import CallStore
from medlar_core.effects import Record
from medlar_core.effects import Send
from medlar_core.events import Received
from medlar_core.events import Reducer
from medlar_core.events import ServerProbed
from medlar_core.events import StoreAnswered
from medlar_core.events import Tick
from medlar_core.ids import NodeId
from medlar_core.ids import StoreCallId
from medlar_core.packets import Flag
from medlar_core.relay.access import CALL_LIMIT_S
from medlar_core.relay.configuration.compact import CompactRoutes
from medlar_core.relay.configuration.scope_record import SharedRoutes
from medlar_core.relay.effects import DeliverToServer
from medlar_core.relay.effects import FetchRoutes
from medlar_core.relay.effects import ForwardToAgent
from medlar_core.relay.effects import ProbeServer
from medlar_core.relay.effects import SendToCaller
from medlar_core.relay.events import CallerPacketReceived
from medlar_core.relay.events import PacketForwarded
from medlar_core.relay.events import RoutesFetched
from medlar_core.relay.events import RoutesFetchFailed
from medlar_core.relay.events import ServerPacketReceived
from medlar_core.relay.segment import FlowId
from medlar_core.relay.segment import Segment
from medlar_core.store import Changed
from medlar_core.store import Found
from medlar_core.store import StoreAnswer
from medlar_core.store import StoreOp
from medlar_core.store import Unavailable
from medlar_core.store import Watch
from medlar_core.timeline.events import TimelineEvent

from .clock import Clock
from .store import Store

TICK_S = 0.1
HOP_S = 0.001
STALL_S = 0.6
"""A fetch from a balancer that sends nothing fails after this."""
ITEM_OVERHEAD_BYTES = 150
"""Key, revision and lease of an item, as the store answers it."""


class FakeCodec:
    """Encodes segments as MessagePack."""

    def decode(self, data: bytes) -> Segment:
        """Return the segment in a datagram."""
        segment = msgspec.msgpack.decode(data, type=Segment)
        return msgspec.structs.replace(segment, data=data)

    def without_bounce_marks(self, data: bytes) -> bytes:
        """Return the datagram without the mark of a bounce."""
        segment = self.decode(data)
        return encode(segment, flags=segment.flags & ~Flag.BOUNCED)

    def reset(self, flow: FlowId, seq: int) -> bytes:
        """Return a reset of a flow."""
        segment = Segment(b"", Flag.RST, flow.address, flow.caller, 0, seq, 0)
        return encode(segment)


def encode(segment: Segment, **changes: Any) -> bytes:
    """Return the datagram of a segment with changed fields."""
    plain = msgspec.structs.replace(segment, data=b"", **changes)
    return msgspec.msgpack.encode(plain)


class FakeServer:
    """Accepts up to ``capacity`` flows and bounces packets of others.

    While ``ignores_data`` is set, it accepts flows but sends no responses.
    """

    def __init__(self, capacity: int = 1_000) -> None:
        self.capacity = capacity
        self.ignores_data = False
        self.flows: set[FlowId] = set()
        self.accepted: list[FlowId] = []

    def handle(self, segment: Segment) -> list[Segment]:
        """Return the packets that the server sends in reply to a packet."""
        flow = segment.inward
        if segment.flags & Flag.SYN and len(self.flows) < self.capacity:
            self.flows.add(flow)
            self.accepted.append(flow)
            return [self._response(flow, Flag.SYN | Flag.ACK)]
        if flow not in self.flows:
            flags = int(segment.flags | Flag.BOUNCED)
            return [msgspec.structs.replace(segment, flags=flags)]
        if not segment.size or self.ignores_data:
            return []
        return [self._response(flow, Flag.ACK, 100)]

    def _response(self, flow: FlowId, flags: Flag, size: int = 0) -> Segment:
        return Segment(b"", int(flags), *flow[::-1], size, 500, 7)


class RelaySimulation:
    """Executes the effects of reducers in virtual time.

    Events for nodes in ``paused``, ticks included, are dropped. Nodes in
    ``without_store`` cannot reach the store: their calls time out.
    ``cut_links`` holds pairs of nodes: what the first sends to the second
    is lost. Fetches of routes by nodes in ``without_fetches`` fail.
    ``links`` holds the bytes a second of nodes whose link is limited; it
    delays answers of the store and fetched routes, one after the other.
    ``transferred`` counts the bytes of these by receiver.
    ``forward_count`` counts packets forwarded to agents.
    """

    def __init__(self, seed: int = 1) -> None:
        self.clock = Clock()
        self.store = Store(self.clock, seed)
        self.rng = random.Random(seed)
        self.nodes: dict[NodeId, Reducer] = {}
        self.servers: dict[NodeId, FakeServer] = {}
        self.routes_of: Callable[[NodeId], SharedRoutes | None] = lambda _: (
            None
        )
        self.paused: set[NodeId] = set()
        self.without_store: set[NodeId] = set()
        self.cut_links: set[tuple[NodeId, NodeId]] = set()
        self.without_fetches: set[NodeId] = set()
        self.links: dict[NodeId, float] = {}
        self.transferred: collections.Counter[NodeId] = collections.Counter()
        self._link_free_at: dict[NodeId, float] = {}
        self.caller_packets: list[Segment] = []
        self.events: list[TimelineEvent] = []
        self.forward_count = 0
        self._codec = FakeCodec()
        self.clock.after(TICK_S, self._tick)

    def dispatch(self, node: NodeId, event: Any) -> None:
        """Pass an event to the reducer of a node unless it is paused."""
        reducer = self.nodes.get(node)
        if reducer is None or node in self.paused:
            return
        for effect in reducer.reduce(self.clock.now, event):
            self._apply_effect(node, effect)

    def send_packet(self, balancer: NodeId, segment: Segment) -> None:
        """Send a caller's packet through a balancer."""
        data = encode(segment)
        self.dispatch(balancer, CallerPacketReceived(self._codec.decode(data)))

    def run(self, seconds: float) -> None:
        """Run for a time in virtual seconds."""
        self.clock.run_until(self.clock.now + seconds)

    def _tick(self) -> None:
        for node in list(self.nodes):
            self.dispatch(node, Tick())
        self.clock.after(TICK_S, self._tick)

    def _apply_effect(self, src: NodeId, effect: Any) -> None:
        match effect:
            case ForwardToAgent(dst=dst, packet=packet):
                self.forward_count += 1
                segment = self._codec.decode(packet.data)
                self._send(src, dst, PacketForwarded(src, packet, segment))
            case Send(dst=dst, msg=msg):
                self._send(src, dst, Received(src, msg))
            case DeliverToServer(data=data) if src in self.servers:
                for segment in self.servers[src].handle(
                    self._codec.decode(data)
                ):
                    sent = self._codec.decode(encode(segment))
                    self._dispatch_later(src, ServerPacketReceived(sent))
            case SendToCaller(data=data):
                self.caller_packets.append(self._codec.decode(data))
            case ProbeServer():
                alive = src in self.servers
                self._dispatch_later(src, ServerProbed(alive, ready=False))
            case CallStore(call=call, op=op):
                self._call_store(src, call, op)
            case FetchRoutes(src=peer):
                self._fetch_routes(src, peer)
            case Record(event=event):
                self.events.append(event)

    def _call_store(self, src: NodeId, call: StoreCallId, op: StoreOp) -> None:
        """Call the store; the call times out as in a real process."""
        answers: list[StoreAnswer] = []

        def answered(answer: StoreAnswer) -> None:
            if not answers:
                answers.append(answer)
                event = StoreAnswered(call, answer)
                arrive = functools.partial(self.dispatch, src, event)
                self._transfer((src,), _answer_bytes(answer), arrive)

        wait_s = op.wait_s if isinstance(op, Watch) else 0.0
        late = Unavailable("no answer")
        self.clock.after(CALL_LIMIT_S + wait_s, lambda: answered(late))
        if src not in self.without_store:
            self.store.call(op, answered)

    def _fetch_routes(self, src: NodeId, peer: NodeId) -> None:
        failed = RoutesFetchFailed(peer)
        source = self.nodes.get(peer)
        found = self.routes_of(peer)
        is_cut = src in self.without_fetches or (peer, src) in self.cut_links
        if is_cut or peer in self.paused or found is None or source is None:
            self.clock.after(STALL_S, lambda: self.dispatch(src, failed))
            return
        fetched = RoutesFetched(
            peer, found.table, found.record, found.evacuated
        )

        def arrive() -> None:
            is_whole = self.nodes.get(peer) is source
            self._dispatch_later(src, fetched if is_whole else failed)

        data = CompactRoutes().encode(
            found.table, found.record, found.evacuated
        )
        size = len(data)
        self._transfer((peer, src), size, arrive)

    def _transfer(
        self, nodes: tuple[NodeId, ...], size: int, arrive: Callable[[], None]
    ) -> None:
        """Call ``arrive`` once bytes have passed the links of all nodes."""
        self.transferred[nodes[-1]] += size
        end_at: float = self.clock.now
        for node in nodes:
            if node in self.links:
                free_at = self._link_free_at.get(node, 0.0)
                end_at = max(end_at, free_at) + size / self.links[node]
                self._link_free_at[node] = end_at
        if end_at > self.clock.now:
            self.clock.at(end_at, arrive)
        else:
            arrive()

    def _send(self, src: NodeId, dst: NodeId, event: Any) -> None:
        if (src, dst) not in self.cut_links:
            self._dispatch_later(dst, event)

    def _dispatch_later(self, dst: NodeId, event: Any) -> None:
        self.clock.after(HOP_S, lambda: self.dispatch(dst, event))


def _answer_bytes(answer: StoreAnswer) -> int:
    """Return the size of an answer, whose values are Base64 text."""
    if not isinstance(answer, Found | Changed):
        return ITEM_OVERHEAD_BYTES
    return ITEM_OVERHEAD_BYTES + sum(
        ITEM_OVERHEAD_BYTES + len(item.value) * 4 // 3 for item in answer.items
    )

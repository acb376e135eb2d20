"""Callers with feeds and short flows, and what became of them."""

from collections.abc import Callable
import enum

import msgspec

from medlar_core.ids import NodeId
from medlar_core.ids import ServiceName
from medlar_core.packets import Flag
from medlar_core.packets import Packet

from .world import World

RETRY_S = 1.0
TRIES = 12
"""Times a packet is sent before its caller gives the flow up."""

FEED_S = 5.0
"""Time between two packets of a feed, in seconds."""


class FlowState(enum.Enum):
    """What became of a flow."""

    OPENING = "opening"
    OPEN = "open"
    ENDED = "ended"
    REFUSED = "refused"
    RESET = "reset"
    STALLED = "stalled"
    MOVED = "moved"


BROKEN = (FlowState.RESET, FlowState.STALLED, FlowState.MOVED)


class Flow(msgspec.Struct):
    """A caller's flow; ``server`` is the one that answered first."""

    caller: str
    address: str
    packets: int
    state: FlowState = FlowState.OPENING
    server: NodeId = NodeId("")
    service: ServiceName = ServiceName("")
    answers: int = 0
    sent: int = 0


class Callers:
    """Opens flows to addresses and follows each of them.

    A flow breaks when it is reset, when its packets reach another server
    than the one that opened it, or when no packet gets an answer.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.flows: dict[tuple[str, str], Flow] = {}
        self.ended: list[Flow] = []
        self.misdelivered = 0
        self.delivered = 0
        self.extra = 0
        self.opened: Callable[[NodeId, Packet], None] = lambda i, p: None
        self._count = 0
        self._services: dict[NodeId, ServiceName] = {}
        world.to_caller = self._answered
        world.delivered = self._delivered

    def open(self, address: str, packets: int = 0) -> Flow:
        """Open a flow; it sends so many packets, or for ever if 0."""
        self._count += 1
        number = self._count
        caller = f"198.18.{number >> 16}.{number >> 8 & 255}:{number & 255}"
        flow = Flow(caller, address, packets)
        self.flows[caller, address] = flow
        self._send(flow, Flag.SYN)
        return flow

    def broken(self, excused: set[NodeId] | None = None) -> int:
        """Return the flows that broke, but those of excused servers."""
        lost = excused or set()
        flows = [*self.flows.values(), *self.ended]
        return sum(f.state in BROKEN and f.server not in lost for f in flows)

    def count(self, *states: FlowState) -> int:
        """Return how many flows came to one of these states."""
        flows = [*self.flows.values(), *self.ended]
        return sum(f.state in states for f in flows)

    def _send(self, flow: Flow, flags: Flag, tries: int = 1) -> None:
        """Send a packet again until it is answered."""
        payload = b"" if flags & Flag.SYN else b"data"
        packet = Packet(flow.caller, flow.address, int(flags), payload)
        self.world.send(packet)
        before = flow.answers

        def again() -> None:
            if flow.answers > before or not _alive(flow):
                return
            if tries < TRIES:
                self._send(flow, flags, tries + 1)
                return
            opening = flow.state is FlowState.OPENING
            self._end(
                flow, FlowState.REFUSED if opening else FlowState.STALLED
            )

        self.world.clock.after(RETRY_S, again)

    def _answered(self, packet: Packet) -> None:
        flow = self.flows.get((packet.caller, packet.address))
        if flow is None or not _alive(flow):
            return
        if packet.flags & Flag.RST:
            opening = flow.state is FlowState.OPENING
            self._end(flow, FlowState.REFUSED if opening else FlowState.RESET)
            return
        flow.answers += 1
        if packet.flags & Flag.SYN:
            if flow.state is FlowState.OPENING:
                flow.state = FlowState.OPEN
                self._go_on(flow, first=True)
        elif packet.flags & Flag.FIN:
            self._end(flow, FlowState.ENDED)

    def _go_on(self, flow: Flow, first: bool = False) -> None:
        if not _alive(flow):
            return
        flow.sent += 1
        last = bool(flow.packets) and flow.sent >= flow.packets
        self._send(flow, Flag.FIN | Flag.ACK if last else Flag.ACK)
        if last:
            return
        gap = FEED_S if flow.packets == 0 else 0.5
        if first:
            gap *= self.world.rng.random()
        self.world.clock.after(gap, lambda: self._go_on(flow))

    def _delivered(self, node: NodeId, packet: Packet) -> None:
        self.delivered += 1
        self.extra += packet.hops > 0
        flow = self.flows.get((packet.caller, packet.address))
        if packet.flags & Flag.SYN:
            self.opened(node, packet)
        service = self.world.servers[node].service
        if flow is None or not flow.server:
            allowed = self.world.services_of(packet.address)
            self.misdelivered += service not in allowed
        elif flow.service != service:
            self.misdelivered += 1
        if flow is None:
            return
        if not flow.server:
            flow.server = node
            flow.service = service
        if flow.server != node and flow.state is not FlowState.OPENING:
            self._end(flow, FlowState.MOVED)

    def _end(self, flow: Flow, state: FlowState) -> None:
        flow.state = state
        self.flows.pop((flow.caller, flow.address), None)
        self.ended.append(flow)


def _alive(flow: Flow) -> bool:
    return flow.state in (FlowState.OPENING, FlowState.OPEN)

"""Callers with long-lived and short flows, and the state of each flow."""

from collections.abc import Callable
import enum

import msgspec

from medlar_core.ids import NodeId
from medlar_core.ids import ServiceName
from medlar_core.packets import Flag
from medlar_core.packets import Packet

from .world import World

RETRANSMIT_S = 1.0
MAX_ATTEMPTS = 12
"""Number of times a packet is sent before its caller ends the flow."""

FEED_INTERVAL_S = 5.0
"""Interval between two packets of a long-lived flow, in seconds."""


class FlowState(enum.Enum):
    """State of a flow as its caller sees it."""

    OPENING = "opening"
    OPEN = "open"
    ENDED = "ended"
    REFUSED = "refused"
    RESET = "reset"
    STALLED = "stalled"
    MOVED = "moved"


BROKEN = (FlowState.RESET, FlowState.STALLED, FlowState.MOVED)


class Flow(msgspec.Struct):
    """A caller's flow; ``server`` is the first to receive its packets."""

    caller: str
    address: str
    packets: int
    state: FlowState = FlowState.OPENING
    server: NodeId = NodeId("")
    service: ServiceName = ServiceName("")
    responses: int = 0
    sent: int = 0


class Callers:
    """Opens flows to addresses and tracks the state of each.

    A flow breaks when it is reset, when its packets reach a server other
    than the one that opened it, or when its packets get no response.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.flows: dict[tuple[str, str], Flow] = {}
        self.ended: list[Flow] = []
        self.misdelivered = 0
        self.delivered = 0
        self.extra_hops = 0
        self.opened: Callable[[NodeId, Packet], None] = lambda i, p: None
        self._count = 0
        self._services: dict[NodeId, ServiceName] = {}
        world.to_caller = self._received
        world.delivered = self._delivered

    def open(self, address: str, packets: int = 0) -> Flow:
        """Open a flow that sends ``packets`` packets, 0 for no limit."""
        self._count += 1
        number = self._count
        caller = f"198.18.{number >> 16}.{number >> 8 & 255}:{number & 255}"
        flow = Flow(caller, address, packets)
        self.flows[caller, address] = flow
        self._send(flow, Flag.SYN)
        return flow

    def broken(self, excused: set[NodeId] | None = None) -> int:
        """Return the number of broken flows, without those on ``excused``."""
        ignored = excused or set()
        flows = [*self.flows.values(), *self.ended]
        return sum(
            f.state in BROKEN and f.server not in ignored for f in flows
        )

    def count(self, *states: FlowState) -> int:
        """Return the number of flows in any of these states."""
        flows = [*self.flows.values(), *self.ended]
        return sum(f.state in states for f in flows)

    def _send(self, flow: Flow, flags: Flag, attempt: int = 1) -> None:
        """Send a packet and retransmit it until a response is received."""
        payload = b"" if flags & Flag.SYN else b"data"
        packet = Packet(flow.caller, flow.address, int(flags), payload)
        self.world.send(packet)
        before = flow.responses

        def retransmit() -> None:
            if flow.responses > before or not _is_active(flow):
                return
            if attempt < MAX_ATTEMPTS:
                self._send(flow, flags, attempt + 1)
                return
            opening = flow.state is FlowState.OPENING
            self._end(
                flow, FlowState.REFUSED if opening else FlowState.STALLED
            )

        self.world.clock.after(RETRANSMIT_S, retransmit)

    def _received(self, packet: Packet) -> None:
        flow = self.flows.get((packet.caller, packet.address))
        if flow is None or not _is_active(flow):
            return
        if packet.flags & Flag.RST:
            opening = flow.state is FlowState.OPENING
            self._end(flow, FlowState.REFUSED if opening else FlowState.RESET)
            return
        flow.responses += 1
        if packet.flags & Flag.SYN:
            if flow.state is FlowState.OPENING:
                flow.state = FlowState.OPEN
                self._send_next(flow, first=True)
        elif packet.flags & Flag.FIN:
            self._end(flow, FlowState.ENDED)

    def _send_next(self, flow: Flow, first: bool = False) -> None:
        if not _is_active(flow):
            return
        flow.sent += 1
        last = bool(flow.packets) and flow.sent >= flow.packets
        self._send(flow, Flag.FIN | Flag.ACK if last else Flag.ACK)
        if last:
            return
        interval_s = FEED_INTERVAL_S if flow.packets == 0 else 0.5
        if first:
            interval_s *= self.world.rng.random()
        self.world.clock.after(interval_s, lambda: self._send_next(flow))

    def _delivered(self, node: NodeId, packet: Packet) -> None:
        self.delivered += 1
        self.extra_hops += packet.hops > 0
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


def _is_active(flow: Flow) -> bool:
    return flow.state in (FlowState.OPENING, FlowState.OPEN)

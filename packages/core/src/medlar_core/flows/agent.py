"""Flow reducer of an agent: tracks the flows of its local server.

Flow state is kept only at agents. Balancers keep none: a packet that
reaches the wrong agent is forwarded to the holder of its flow.
"""

import random
import sys
from typing import Any

from ..effects import Deliver
from ..effects import Effect
from ..effects import Forward
from ..effects import Publish
from ..effects import Return
from ..effects import Send
from ..events import ConfigurationChanged
from ..events import DrainAsked
from ..events import LoadMeasured
from ..events import PacketArrived
from ..events import Received
from ..events import ServerConnections
from ..events import ServerProbed
from ..events import ServerSent
from ..events import Tick
from ..events import ViewChanged
from ..ids import FlowKey
from ..ids import Incarnation
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from ..ids import ServiceName
from ..ids import Version
from ..members.view import View
from ..packets import Flag
from ..packets import flow_key
from ..packets import Packet
from ..timeline.events import Topic
from ..verdict import Reason
from .announce import Announcer
from .displaced import DisplacedFlows
from .event_recorder import EventRecorder
from .explain import AgentAnswer
from .held import FlowTable
from .held import HeldFlow
from .holder_locator import HolderLocator
from .introduction import Introduction
from .limits import DEAD_PROBES
from .limits import LOAD_REPORT_INTERVAL_S
from .limits import MAX_HOPS
from .limits import REANNOUNCE_INTERVAL_S
from .messages import HintAck
from .messages import Introduced
from .messages import IntroducedAck
from .messages import LocatedAck
from .placement import FlowPlacement
from .service_members import ServiceMembers
from .services import Services

_SYN = int(Flag.SYN)
_RST = int(Flag.RST)
_SYN_OR_FIN = int(Flag.SYN | Flag.FIN)


class AgentFlows:
    """Handles the packets, control messages and flow state of one agent."""

    def __init__(
        self,
        node: NodeId,
        service: ServiceName,
        place: PlaceName,
        incarnation: Incarnation,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._service = service
        self._services = Services()
        self._members = ServiceMembers(node, service, place)
        self._flows = FlowTable()
        self._recorder = EventRecorder(node, service)
        self._announcer = Announcer(node, incarnation)
        self._displaced = DisplacedFlows(
            node,
            self._services,
            self._flows,
            self._announcer,
            rng.uniform(0.5, 1.0) * REANNOUNCE_INTERVAL_S,
        )
        self._locator = HolderLocator(
            node,
            service,
            self._services,
            self._members,
            self._flows,
            self._recorder,
        )
        self._placement = FlowPlacement(
            node, service, self._services, self._members, self._locator
        )
        self._introduction = Introduction(incarnation)
        self._view: View | None = None
        self._view_at = float("-inf")
        self._balancers: tuple[NodeId, ...] = ()
        self._drain_ends_at: float | None = None
        self._dead_probes = 0
        self._reported_flows = -1
        self._reported_at = float("-inf")

    @property
    def open_flows(self) -> int:
        """Number of established flows of the local server."""
        return len(self._flows.established)

    @property
    def draining(self) -> bool:
        """Whether the local server is draining and accepts no new flows."""
        return self._drain_ends_at is not None or self._members.draining

    def reduce(self, now: Seconds, event: Any) -> list[Effect]:
        """Handle one event and return the effects to carry out."""
        match event:
            case PacketArrived(packet=packet):
                return self._handle_packet(now, packet)
            case ServerSent(packet=packet):
                return self._handle_server_packet(now, packet)
            case Received(src=src, msg=msg):
                return self._handle_message(now, src, msg)
            case Tick():
                return self._tick(now)
            case ViewChanged(view=view):
                self._view = view
                self._apply_view(now)
            case ConfigurationChanged(cfg=cfg, version=version):
                if self._services.apply_cfg(cfg, version):
                    self._update_members(now)
                    self._displaced.announce_all()
            case DrainAsked(limit_s=limit_s):
                return self._drain(now, limit_s)
            case ServerProbed(alive=alive):
                return self._handle_probe(alive)
            case ServerConnections(pairs=pairs):
                self._recover(now, pairs)
        return []

    # Packets from balancers and other agents

    def _handle_packet(self, now: Seconds, packet: Packet) -> list[Effect]:
        key = flow_key(packet.caller, packet.address)
        held = self._flows.get(key, packet.caller, packet.address)
        if packet.flags & _SYN:
            return self._handle_syn(now, key, held, packet)
        if held is None:
            return self._forward_to_holder(now, key, packet)
        if packet.flags & _RST:
            self._remove_flow(key)
            return [Deliver(packet)]
        if self._flows.establish(key):
            if self.open_flows > self._placement.limit:
                self._flows.remove(key)
                return self._reset(now, packet, Reason.CONNECTION_LIMIT)
            forwarded_by, held.announced_to = held.announced_to, NodeId("")
            self._displaced.flow_opened(now, key, held, forwarded_by)
        self._record_packet(now, key, held, packet.flags, inward=True)
        return [Deliver(packet)]

    def _handle_syn(
        self, now: Seconds, key: FlowKey, held: HeldFlow | None, packet: Packet
    ) -> list[Effect]:
        if self._services.addresses.get(packet.address) != self._service:
            return self._recorder.dropped(now, packet, Reason.UNKNOWN_ADDRESS)
        if self._flows.is_open(key):
            if held is not None:
                return [Deliver(packet)]
            return self._recorder.dropped(now, packet, Reason.DUPLICATE)
        closed = self.draining or not self._introduction.done
        target = self._placement.choose_agent(
            now, key, packet, self.open_flows, closed
        )
        if target == self._node:
            forwarded_by = packet.asked[-1] if packet.asked else NodeId("")
            held = HeldFlow(
                packet.caller,
                sys.intern(packet.address),
                0,
                announced_to=forwarded_by,
            )
            self._flows.open(now, key, held)
            return [Deliver(packet)]
        if target is not None and packet.hops + 1 < MAX_HOPS:
            self._locator.record_spilled(key, target)
            return self._forward(target, packet)
        if packet.hops or not self._introduction.done:
            return self._recorder.dropped(now, packet, Reason.HOP_LIMIT)
        if self.draining:
            return self._reset(now, packet, Reason.DRAINING)
        return self._reset(now, packet, Reason.CONNECTION_LIMIT)

    def _forward_to_holder(
        self, now: Seconds, key: FlowKey, packet: Packet
    ) -> list[Effect]:
        """Forward a packet to the agent that holds or may hold its flow."""
        locator = self._locator
        if locator.departed_holder(now, key):
            return self._reset(now, packet, Reason.SERVER_DIED)
        effects = locator.lookup_if_owner(now, key, packet)
        effects += locator.send_correction(now, key, packet)
        if packet.hops + 1 < MAX_HOPS:
            for node in locator.next_hops(key, packet.address):
                if node not in packet.asked:
                    return effects + self._forward(node, packet)
        return effects + locator.handle_miss(now, key, packet)

    def _forward(self, node: NodeId, packet: Packet) -> list[Effect]:
        forwarded = Packet(
            packet.caller,
            packet.address,
            packet.flags,
            packet.payload,
            packet.service,
            packet.version,
            packet.hops + 1,
            (*packet.asked, self._node),
            packet.via,
        )
        return [Forward(node, forwarded)]

    def _reset(
        self, now: Seconds, packet: Packet, why: Reason
    ) -> list[Effect]:
        return self._recorder.reset(now, packet.caller, packet.address, why)

    # Packets from the server and its state

    def _handle_server_packet(
        self, now: Seconds, packet: Packet
    ) -> list[Effect]:
        key = flow_key(packet.caller, packet.address)
        held = self._flows.get(key, packet.caller, packet.address)
        if packet.flags & _RST:
            self._remove_flow(key if held else None)
            return [Return(packet)]
        if held is None:
            held = self._adopt_from_packet(now, key, packet)
        if held is not None:
            self._record_packet(now, key, held, packet.flags, inward=False)
        return [Return(packet)]

    def _adopt_from_packet(
        self, now: Seconds, key: FlowKey, packet: Packet
    ) -> HeldFlow | None:
        """Add a flow that the server still has open after an agent restart."""
        if packet.flags & _SYN_OR_FIN or self._flows.is_open(key):
            return None
        return self._adopt(now, key, packet.caller, packet.address)

    def _adopt(
        self, now: Seconds, key: FlowKey, caller: str, address: str
    ) -> HeldFlow:
        held = HeldFlow(caller, sys.intern(address), 0)
        self._flows.adopt(now, key, held)
        self._displaced.announce_if_moved(key, held)
        return held

    def _recover(
        self, now: Seconds, pairs: tuple[tuple[str, str], ...]
    ) -> None:
        self._locator.recovered = True
        for caller, address in pairs:
            key = flow_key(caller, address)
            if key not in self._flows.established:
                self._adopt(now, key, caller, address)

    def _handle_probe(self, alive: bool) -> list[Effect]:
        self._dead_probes = 0 if alive else self._dead_probes + 1
        if self._dead_probes != DEAD_PROBES:
            return []
        return self._reset_all(Reason.SERVER_DIED, reset_server=False)

    def _record_packet(
        self,
        now: Seconds,
        key: FlowKey,
        held: HeldFlow,
        flags: int,
        inward: bool,
    ) -> None:
        if self._flows.record_packet(now, key, held, flags, inward):
            self._displaced.flow_ended(key, held)

    def _remove_flow(self, key: FlowKey | None) -> None:
        if key is not None:
            self._displaced.flow_ended(key, self._flows.remove(key))

    # Control messages, membership, draining and time

    def _handle_message(
        self, now: Seconds, src: NodeId, msg: Any
    ) -> list[Effect]:
        match msg:
            case LocatedAck(batch=batch, incarnation=incarnation):
                self._announcer.acked(batch, incarnation)
            case HintAck(batch=batch, incarnation=incarnation, holder=holder):
                if holder == self._node:
                    self._announcer.acked(batch, incarnation)
            case Introduced(incarnation=incarnation):
                self._members.add_introduced(now, src, incarnation)
                return [Send(src, IntroducedAck(incarnation))]
            case IntroducedAck():
                self._introduction.acked(src)
            case _:
                return self._locator.handle_message(now, src, msg)
        return []

    def _apply_view(self, now: Seconds) -> None:
        view = self._view
        interval_s = self._services.min_view_interval_s
        if view is None or now - self._view_at < interval_s:
            return
        self._view = None
        self._view_at = now
        self._recorder.version = Version(view.version)
        self._balancers = tuple(sorted(b.id for b in view.balancers))
        changed = self._services.apply_view(view)
        self._update_members(now)
        if changed - {self._service}:
            self._displaced.announce_all()

    def _update_members(self, now: Seconds) -> None:
        changes = self._members.update(now, self._services, self.open_flows)
        if changes.table_changed:
            self._displaced.announce_all()
        if changes.restarted:
            self._displaced.announce_to_restarted(changes.restarted)

    def _drain(self, now: Seconds, limit_s: float) -> list[Effect]:
        ends = now + limit_s
        if self._drain_ends_at is not None:
            ends = min(ends, self._drain_ends_at)
        self._drain_ends_at = ends
        text = f"drain accepted with {self.open_flows} open flows"
        return [self._recorder.event(Topic.DRAIN, text, Reason.DRAINING)]

    def _reset_all(self, why: Reason, reset_server: bool) -> list[Effect]:
        """Reset every flow to its caller, and to the server if asked."""
        effects: list[Effect] = []
        flows = self._flows
        reset_flows = {**flows.established, **flows.half_open}
        for key, held in reset_flows.items():
            reset = Packet(held.caller, held.address, int(Flag.RST))
            effects.append(Return(reset))
            if reset_server:
                effects.append(Deliver(reset))
            self._remove_flow(key)
        text = f"ended {len(reset_flows)} flows"
        effects.append(self._recorder.event(Topic.DRAIN, text, why))
        return effects

    def _tick(self, now: Seconds) -> list[Effect]:
        self._apply_view(now)
        effects: list[Effect] = []
        for key, held in self._flows.expire(now):
            self._displaced.flow_ended(key, held)
        if self._drain_ends_at is not None and now >= self._drain_ends_at:
            self._drain_ends_at = float("inf")
            effects += self._reset_all(Reason.DRAINING, reset_server=True)
        self._displaced.refresh(now)
        effects += self._locator.due(now)
        if self._members.table is not None:
            others = sorted(self._members.ids - {self._node})
            effects += self._introduction.due(now, others)
        effects += self._announcer.due(
            now, self._services.servers.keys(), self._balancers
        )
        effects += self._report_load(now)
        return effects

    def _report_load(self, now: Seconds) -> list[Effect]:
        if (
            self.open_flows == self._reported_flows
            or now - self._reported_at < LOAD_REPORT_INTERVAL_S
        ):
            return []
        self._reported_flows = self.open_flows
        self._reported_at = now
        return [Publish(LoadMeasured(flows=self._reported_flows))]

    def explain(self, caller: str, address: str) -> AgentAnswer:
        """Return what this agent does with packets of a flow, and why."""
        key = flow_key(caller, address)
        held = self._flows.get(key, caller, address)
        table = self._members.table
        hops = self._locator.next_hops(key, address)
        if held is None:
            known = self._locator.directory.get(key)
            state = "elsewhere" if known else "unknown"
            why = f"told by {known}" if known else "owner and candidates"
        else:
            state = "held" if key in self._flows.established else "half-open"
            why = "the server here holds the flow"
        return AgentAnswer(
            service=self._services.addresses.get(address, ServiceName("")),
            bucket=table.bucket(key) if table else -1,
            state=state,
            owner=self._services.owner(address, key) or NodeId(""),
            told=held.announced_to if held else NodeId(""),
            next_hops=() if held else tuple(hops),
            version=self._recorder.version,
            why=why,
        )

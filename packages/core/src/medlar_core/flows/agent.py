"""Decisions of an agent: which flows its server holds, and where others are.

Flow state lives here, where flows end. Balancers keep none: a packet
that comes to the wrong agent is passed on to the one that holds its
flow.
"""

import random
from typing import Any

from ..effects import Deliver
from ..effects import Effect
from ..effects import Forward
from ..effects import Publish
from ..effects import Record
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
from ..timeline.events import TimelineEvent
from ..timeline.events import Topic
from ..verdict import Reason
from .announce import Announcer
from .announce import pack_keys
from .announce import unpack_keys
from .directory import Directory
from .explain import AgentAnswer
from .held import FlowTable
from .held import Held
from .limits import DEAD_PROBES
from .limits import LOAD_S
from .limits import LOCATE_FANOUT
from .limits import MAX_HOPS
from .limits import MAX_SYN_HOPS
from .limits import RECORDS_PER_S
from .limits import REFRESH_S
from .limits import SPILLED_LIMIT
from .limits import VIEW_GAP_S
from .locate import Search
from .locate import Searches
from .messages import Ended
from .messages import HintAck
from .messages import Locate
from .messages import Located
from .messages import LocatedAck
from .messages import Missed
from .messages import NotHeld
from .meter import Meter
from .neighbours import Neighbours
from .services import Services

_NONE = NodeId("")


class AgentFlows:
    """Reducer of an agent's flow part."""

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
        self._rng = rng
        self._services = Services()
        self._neighbours = Neighbours(node, service, place)
        self._flows = FlowTable()
        self._directory = Directory()
        self._spilled: dict[FlowKey, NodeId] = {}
        self._announcer = Announcer(node, incarnation)
        self._searches = Searches()
        self._misses = Meter(RECORDS_PER_S, RECORDS_PER_S)
        self._records = Meter(RECORDS_PER_S, RECORDS_PER_S)
        self._view: View | None = None
        self._view_at = float("-inf")
        self._view_version = Version(0)
        self._balancers: tuple[NodeId, ...] = ()
        self._recovered = False
        self._drain_ends: float | None = None
        self._dead_probes = 0
        self._load = -1
        self._load_at = float("-inf")
        self._refresh_at = rng.uniform(0.5, 1.0) * REFRESH_S

    @property
    def open_flows(self) -> int:
        """Flows that this server holds and callers have proved."""
        return len(self._flows.established)

    @property
    def draining(self) -> bool:
        """Whether this server takes no new flows because it leaves."""
        return self._drain_ends is not None or self._neighbours.draining

    def reduce(self, now: Seconds, event: Any) -> list[Effect]:
        """Take one event and return the effects to carry out."""
        match event:
            case PacketArrived(packet=packet):
                return self._arrived(now, packet)
            case ServerSent(packet=packet):
                return self._sent(now, packet)
            case Received(src=src, msg=msg):
                return self._received(now, src, msg)
            case Tick():
                return self._tick(now)
            case ViewChanged(view=view):
                self._view = view
                if now - self._view_at >= VIEW_GAP_S:
                    self._take_view(now)
            case ConfigurationChanged(cfg=cfg, version=version):
                if self._services.take_cfg(cfg, version):
                    self._update(now)
                    self._retell_all()
            case DrainAsked(limit_s=limit_s):
                return self._drain(now, limit_s)
            case ServerProbed(alive=alive):
                return self._probed(alive)
            case ServerConnections(pairs=pairs):
                self._recover(now, pairs)
        return []

    # Packets from balancers and other agents

    def _arrived(self, now: Seconds, packet: Packet) -> list[Effect]:
        key = flow_key(packet.caller, packet.address)
        held = self._flows.get(key, packet.caller, packet.address)
        if packet.flags & Flag.SYN:
            return self._opened(now, key, held, packet)
        if held is None:
            return self._pass_on(now, key, packet)
        if packet.flags & Flag.RST:
            self._forget(key)
            return [Deliver(packet)]
        if self._flows.prove(key):
            refused = self._proved(key, held, packet)
            if refused:
                return refused
        self._flows.note(now, key, held, packet.flags, inward=True)
        return [Deliver(packet)]

    def _proved(
        self, key: FlowKey, held: Held, packet: Packet
    ) -> list[Effect]:
        limit = self._services.connections(self._service)
        if len(self._flows.established) > limit > 0:
            self._flows.remove(key)
            return self._reset(packet, Reason.CONNECTION_LIMIT)
        self._retell(key, held)
        return []

    def _opened(
        self, now: Seconds, key: FlowKey, held: Held | None, packet: Packet
    ) -> list[Effect]:
        if self._services.addresses.get(packet.address) != self._service:
            return self._record(now, packet, Reason.UNKNOWN_ADDRESS)
        if held is not None:
            return [Deliver(packet)]
        if self._flows.taken(key):
            return self._record(now, packet, Reason.DUPLICATE)
        found = self._opened_elsewhere(key, packet) or self._place(key, packet)
        if found == self._node:
            held = Held(packet.caller, packet.address, 0)
            self._flows.open(now, key, held)
            return [Deliver(packet)]
        if found is not None and packet.hops + 1 < MAX_SYN_HOPS:
            self._note_spilled(key, found)
            return self._forward(found, packet)
        if packet.hops:
            return self._record(now, packet, Reason.HOP_LIMIT)
        why = Reason.DRAINING if self.draining else Reason.CONNECTION_LIMIT
        return self._reset(packet, why)

    def _opened_elsewhere(self, key: FlowKey, packet: Packet) -> NodeId | None:
        """Return the member to which an earlier copy of a SYN went."""
        found = self._directory.get(key) or self._spilled.get(key)
        if found is None or found in packet.asked:
            return None
        return found if found in self._neighbours.ids else None

    def _place(self, key: FlowKey, packet: Packet) -> NodeId | None:
        """Return the agent that is to take a new flow, if there is one.

        Others than the bucket's owner pass it to the owner, so that a
        SYN that is sent again by another way finds the same agent.
        """
        near = self._neighbours
        owner = self._services.owner_in(self._service, key)
        if owner not in (None, self._node) and owner not in packet.asked:
            return owner
        if not self._has_room():
            return self._other(key, packet)
        if near.overloaded(self.open_flows):
            return near.roomy(key, packet.asked) or self._node
        return self._node

    def _has_room(self) -> bool:
        limit = self._services.connections(self._service)
        return not self.draining and self.open_flows < limit

    def _other(self, key: FlowKey, packet: Packet) -> NodeId | None:
        near = self._neighbours
        found = near.roomy(key, packet.asked)
        if found is not None:
            return found
        for node in near.ranked(key):
            if node == self._node or node in packet.asked:
                continue
            if near.accepting(node):
                return node
        return None

    def _note_spilled(self, key: FlowKey, node: NodeId) -> None:
        self._spilled.pop(key, None)
        if len(self._spilled) >= SPILLED_LIMIT:
            del self._spilled[next(iter(self._spilled))]
        self._spilled[key] = node

    # Packets of flows that others hold

    def _pass_on(
        self, now: Seconds, key: FlowKey, packet: Packet
    ) -> list[Effect]:
        holder = self._directory.get(key)
        if holder is not None and self._neighbours.departed(now, holder):
            self._directory.drop(key, holder)
            return self._reset(packet, Reason.SERVER_DIED)
        effects = self._correct(now, key, packet)
        if packet.hops + 1 < MAX_HOPS:
            for node in self._next_hops(key, packet.address):
                if node not in packet.asked:
                    return effects + self._forward(node, packet)
        return effects + self._missed(now, key, packet)

    def _correct(
        self, now: Seconds, key: FlowKey, packet: Packet
    ) -> list[Effect]:
        """Tell the agent before this one that the flow is not here."""
        if not packet.asked or not self._misses.passes(now):
            return []
        return [Send(packet.asked[-1], Ended(pack_keys([key])))]

    def _next_hops(self, key: FlowKey, address: str) -> list[NodeId]:
        """Return the agents that may hold a flow, the likeliest first."""
        services = self._services
        near = self._neighbours
        guesses = [
            self._directory.get(key),
            self._spilled.get(key),
            services.owner(address, key),
            *near.past_owners(key),
        ]
        for former in services.former.get(address, ()):
            guesses.append(services.owner_in(former, key))
        guesses += near.ranked(key)
        found: dict[NodeId, None] = {}
        for node in guesses:
            if node in services.servers and node != self._node:
                found[node] = None
        return list(found)

    def _forward(self, node: NodeId, packet: Packet) -> list[Effect]:
        passed = Packet(
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
        return [Forward(node, passed)]

    def _missed(
        self, now: Seconds, key: FlowKey, packet: Packet
    ) -> list[Effect]:
        """Have the owner search for a flow that no agent asked holds.

        The packet is dropped; its caller sends it again.
        """
        if packet.flags & Flag.RST:
            return []
        owner = self._services.owner(packet.address, key)
        if owner is None:
            return self._record(now, packet, Reason.NO_FLOW)
        if owner == self._node:
            return self._search(now, packet.caller, packet.address)
        if not self._misses.passes(now):
            return []
        return [Send(owner, Missed(packet.caller, packet.address))]

    def _search(self, now: Seconds, caller: str, address: str) -> list[Effect]:
        key = flow_key(caller, address)
        if self._flows.taken(key) or not self._searches.may_start(now, key):
            return []
        members = [i for i in self._neighbours.ids if i != self._node]
        asked = sorted(members)[:LOCATE_FANOUT]
        sure = len(asked) == len(members)
        for former in self._services.former.get(address, ()):
            asked += [s.id for s in self._services.members(former)]
            sure = False
        self._searches.start(
            key, Search(caller, address, now, set(asked), sure)
        )
        msg = Locate(key, self._node)
        return [Send(node, msg) for node in asked]

    # Packets from the server

    def _sent(self, now: Seconds, packet: Packet) -> list[Effect]:
        key = flow_key(packet.caller, packet.address)
        held = self._flows.get(key, packet.caller, packet.address)
        if held is None:
            held = self._adopt_sent(now, key, packet)
        elif packet.flags & Flag.RST:
            self._forget(key)
            return [Return(packet)]
        if held is not None:
            self._flows.note(now, key, held, packet.flags, inward=False)
        return [Return(packet)]

    def _adopt_sent(
        self, now: Seconds, key: FlowKey, packet: Packet
    ) -> Held | None:
        """Take in a flow that the server goes on with after a restart."""
        if packet.flags & (Flag.SYN | Flag.RST | Flag.FIN):
            return None
        if self._flows.taken(key):
            return None
        return self._adopt(now, key, packet.caller, packet.address)

    def _adopt(
        self, now: Seconds, key: FlowKey, caller: str, address: str
    ) -> Held:
        held = Held(caller, address, 0)
        self._flows.adopt(now, key, held)
        self._retell(key, held)
        return held

    def _recover(
        self, now: Seconds, pairs: tuple[tuple[str, str], ...]
    ) -> None:
        self._recovered = True
        for caller, address in pairs:
            key = flow_key(caller, address)
            if key not in self._flows.established:
                self._adopt(now, key, caller, address)

    # News of flows that stay here although their bucket moved

    def _retell(self, key: FlowKey, held: Held) -> None:
        owner = self._services.owner(held.address, key) or _NONE
        if owner == self._node:
            owner = _NONE
        if held.told == owner:
            return
        if not held.told and owner:
            self._announcer.hint(key)
        held.told = owner
        if owner:
            self._announcer.tell(owner, key)

    def _retell_all(self) -> None:
        for key, held in self._flows.established.items():
            self._retell(key, held)

    def _retell_restarted(self, restarted: frozenset[NodeId]) -> None:
        for key, held in self._flows.established.items():
            if held.told in restarted:
                self._announcer.tell(held.told, key)

    def _refresh(self, now: Seconds) -> None:
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_S
        for key, held in self._flows.established.items():
            if held.told:
                self._announcer.tell(held.told, key)
                self._announcer.hint(key)

    def _forget(self, key: FlowKey) -> None:
        held = self._flows.remove(key)
        if held is not None and held.told:
            self._announcer.tell_end(held.told, key)

    # Control messages

    def _received(self, now: Seconds, src: NodeId, msg: Any) -> list[Effect]:
        match msg:
            case Located():
                return self._located(now, src, msg)
            case LocatedAck(batch=batch, incarnation=incarnation):
                self._announcer.acked(batch, incarnation)
            case HintAck(batch=batch, incarnation=incarnation, holder=holder):
                if holder == self._node:
                    self._announcer.acked(batch, incarnation)
            case Ended(keys=keys):
                for key in unpack_keys(keys):
                    self._directory.drop(key, src)
            case Missed(caller=caller, address=address):
                return self._search(now, caller, address)
            case Locate():
                return self._asked(src, msg)
            case NotHeld():
                return self._denied(now, src, msg)
        return []

    def _located(
        self, now: Seconds, src: NodeId, msg: Located
    ) -> list[Effect]:
        for key in unpack_keys(msg.keys):
            self._spilled.pop(key, None)
            self._searches.found(key)
            if not self._flows.taken(key):
                self._directory.put(now, key, src)
        if not msg.batch:
            return []
        return [Send(src, LocatedAck(msg.batch, msg.incarnation))]

    def _asked(self, src: NodeId, msg: Locate) -> list[Effect]:
        if self._flows.taken(msg.key):
            found = Located(0, Incarnation(0), pack_keys([msg.key]))
            return [Send(msg.origin, found)]
        effects: list[Effect] = []
        if not msg.relayed:
            effects += self._relay(msg)
        if self._recovered and src == msg.origin:
            denial = NotHeld(msg.key, self._neighbours.digest)
            effects.append(Send(msg.origin, denial))
        return effects

    def _relay(self, msg: Locate) -> list[Effect]:
        owner = self._services.owner_in(self._service, msg.key)
        nodes = {self._directory.get(msg.key), owner}
        nodes -= {None, self._node, msg.origin}
        relayed = Locate(msg.key, msg.origin, relayed=True)
        return [Send(i, relayed) for i in sorted(i for i in nodes if i)]

    def _denied(self, now: Seconds, src: NodeId, msg: NotHeld) -> list[Effect]:
        near = self._neighbours
        agrees = msg.members == near.digest
        search = self._searches.denied(msg.key, src, agrees)
        if search is None or not search.sure:
            return []
        if not (near.settled(now) and self._recovered):
            return []
        if self._flows.taken(msg.key):
            return []
        lost = Packet(search.caller, search.address, 0)
        return self._reset(lost, Reason.NO_FLOW)

    # Membership, draining, the server's health

    def _take_view(self, now: Seconds) -> None:
        view = self._view
        if view is None:
            return
        self._view = None
        self._view_at = now
        self._view_version = Version(view.version)
        self._balancers = tuple(sorted(b.id for b in view.balancers))
        changed = self._services.take_view(view)
        self._update(now)
        if changed - {self._service}:
            self._retell_all()

    def _update(self, now: Seconds) -> None:
        changes = self._neighbours.update(now, self._services, self.open_flows)
        if changes.moved:
            self._retell_all()
        if changes.restarted:
            self._retell_restarted(changes.restarted)

    def _drain(self, now: Seconds, limit_s: float) -> list[Effect]:
        if self._drain_ends is None:
            self._drain_ends = now + limit_s
        else:
            self._drain_ends = min(self._drain_ends, now + limit_s)
        text = f"drain accepted with {self.open_flows} open flows"
        return [self._event(Topic.DRAIN, text, Reason.DRAINING)]

    def _probed(self, alive: bool) -> list[Effect]:
        self._dead_probes = 0 if alive else self._dead_probes + 1
        if self._dead_probes != DEAD_PROBES:
            return []
        return self._end_all(Reason.SERVER_DIED, tell_server=False)

    def _end_all(self, why: Reason, tell_server: bool) -> list[Effect]:
        """Reset every flow of the server."""
        effects: list[Effect] = []
        flows = self._flows
        for key in [*flows.established, *flows.half_open]:
            held = flows.established.get(key) or flows.half_open[key]
            reset = Packet(held.caller, held.address, int(Flag.RST))
            effects.append(Return(reset))
            if tell_server:
                effects.append(Deliver(reset))
            self._forget(key)
        text = f"ended {len(effects)} flows"
        effects.append(self._event(Topic.DRAIN, text, why))
        return effects

    def _tick(self, now: Seconds) -> list[Effect]:
        self._take_view(now)
        effects: list[Effect] = []
        for key, held in self._flows.expire(now):
            if held.told:
                self._announcer.tell_end(held.told, key)
        if self._drain_ends is not None and now >= self._drain_ends:
            self._drain_ends = float("inf")
            effects += self._end_all(Reason.DRAINING, tell_server=True)
        self._refresh(now)
        effects += self._announcer.due(
            now, set(self._services.servers), self._balancers
        )
        effects += self._report(now)
        return effects

    def _report(self, now: Seconds) -> list[Effect]:
        if self.open_flows == self._load or now - self._load_at < LOAD_S:
            return []
        self._load = self.open_flows
        self._load_at = now
        return [Publish(LoadMeasured(flows=self._load))]

    # Time line and explanations

    def _reset(self, packet: Packet, why: Reason) -> list[Effect]:
        reset = Packet(packet.caller, packet.address, int(Flag.RST))
        return [Return(reset), self._refusal(packet, why)]

    def _record(
        self, now: Seconds, packet: Packet, why: Reason
    ) -> list[Effect]:
        """Note on the time line, within a rate, that a packet ends here."""
        if not self._records.passes(now):
            return []
        return [self._refusal(packet, why)]

    def _refusal(self, packet: Packet, why: Reason) -> Record:
        flow = f"{packet.caller}>{packet.address}"
        return self._event(Topic.PACKET, "packet refused", why, flow)

    def _event(
        self, topic: Topic, text: str, why: Reason, flow: str = ""
    ) -> Record:
        return Record(
            TimelineEvent(
                topic,
                text,
                service=self._service,
                server=self._node,
                flow=flow,
                reason=why.value,
                version=self._view_version,
            )
        )

    def explain(self, caller: str, address: str) -> AgentAnswer:
        """Tell what this agent does with packets of a flow, and why."""
        key = flow_key(caller, address)
        held = self._flows.get(key, caller, address)
        table = self._neighbours.table
        hops = self._next_hops(key, address)
        if held is None:
            known = self._directory.get(key)
            state = "elsewhere" if known else "unknown"
            why = f"told by {known}" if known else "owner and candidates"
        else:
            state = "held" if key in self._flows.established else "half-open"
            why = "the server here holds the flow"
        return AgentAnswer(
            service=self._services.addresses.get(address, ServiceName("")),
            bucket=key % len(table.owners) if table else -1,
            state=state,
            owner=self._services.owner(address, key) or _NONE,
            told=held.told if held else _NONE,
            next_hops=() if held else tuple(hops),
            version=self._view_version,
            why=why,
        )

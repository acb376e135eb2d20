"""Locates the holders of flows that the local server does not hold."""

from typing import Any

from ..effects import Effect
from ..effects import Send
from ..ids import FlowKey
from ..ids import Incarnation
from ..ids import NodeId
from ..ids import Seconds
from ..ids import ServiceName
from ..packets import Flag
from ..packets import flow_key
from ..packets import Packet
from ..verdict import Reason
from .directory import Directory
from .event_recorder import EventRecorder
from .held import FlowTable
from .limits import LOOKUP_FANOUT
from .limits import MISSES_PER_S
from .limits import SPILLED_LIMIT
from .lookups import Denials
from .lookups import Lookup
from .lookups import PendingLookups
from .messages import Ended
from .messages import Locate
from .messages import Located
from .messages import LocatedAck
from .messages import Missed
from .messages import NotHeld
from .rate_limiter import RateLimiter
from .service_members import ServiceMembers
from .services import Services
from .wire import pack_keys
from .wire import unpack_keys

_RST = int(Flag.RST)


class HolderLocator:
    """Keeps or looks up the holders of flows whose buckets are owned here.

    All of it is soft state: holders announce their flows to the owners of
    the buckets, and an owner looks up an unknown flow by asking all
    members. A flow is reset only if its holder has departed or if every
    member denies holding it.
    """

    def __init__(
        self,
        node: NodeId,
        service: ServiceName,
        services: Services,
        members: ServiceMembers,
        flows: FlowTable,
        recorder: EventRecorder,
    ) -> None:
        self.recovered = False
        self.directory = Directory()
        self._node = node
        self._service = service
        self._services = services
        self._members = members
        self._flows = flows
        self._recorder = recorder
        self._spilled: dict[FlowKey, NodeId] = {}
        self._lookups = PendingLookups()
        self._denials = Denials()
        self._misses = RateLimiter(MISSES_PER_S, MISSES_PER_S)
        self._corrections = RateLimiter(MISSES_PER_S, MISSES_PER_S)

    def earlier_target(
        self, key: FlowKey, asked: tuple[NodeId, ...]
    ) -> NodeId | None:
        """Return the member to which an earlier SYN of the flow was sent."""
        found = self.directory.get(key) or self._spilled.get(key)
        if found is None or found in asked:
            return None
        return found if found in self._members.ids else None

    def record_spilled(self, key: FlowKey, node: NodeId) -> None:
        """Record the member to which a new flow was forwarded."""
        self._spilled.pop(key, None)
        if len(self._spilled) >= SPILLED_LIMIT:
            del self._spilled[next(iter(self._spilled))]
        self._spilled[key] = node

    def departed_holder(self, now: Seconds, key: FlowKey) -> NodeId | None:
        """Return the holder of a flow if it has departed for good."""
        holder = self.directory.get(key)
        if holder is None or not self._members.departed(now, holder):
            return None
        return holder

    def next_hops(self, key: FlowKey, address: str) -> list[NodeId]:
        """Return the agents that may hold a flow, the most likely first."""
        services = self._services
        members = self._members
        candidates = [
            self.directory.get(key),
            self._spilled.get(key),
            services.owner(address, key),
            *members.past_owners(key),
        ]
        for former in services.former.get(address, ()):
            candidates.append(services.owner_in(former, key))
        candidates += members.ranked(key)
        found: dict[NodeId, None] = {}
        for node in candidates:
            known = node in services.servers or node in members.ids
            if known and node is not None and node != self._node:
                found[node] = None
        return list(found)

    def send_correction(
        self, now: Seconds, key: FlowKey, packet: Packet
    ) -> list[Effect]:
        """Notify the previous agent of a packet that the flow is not here."""
        if not packet.asked or not self._corrections.try_acquire(now):
            return []
        return [Send(packet.asked[-1], Ended(pack_keys([key])))]

    def lookup_if_owner(
        self, now: Seconds, key: FlowKey, packet: Packet
    ) -> list[Effect]:
        """Start a lookup for an unknown flow if its bucket is owned here."""
        if packet.flags & _RST or self.directory.get(key):
            return []
        owner = self._services.owner(packet.address, key)
        if owner != self._node:
            return []
        return self._start_lookup(now, packet.caller, packet.address)

    def handle_miss(
        self, now: Seconds, key: FlowKey, packet: Packet
    ) -> list[Effect]:
        """Have the owner look up a flow that no agent on the path holds.

        The packet is dropped; its caller retransmits it.
        """
        if packet.flags & _RST:
            return []
        owner = self._services.owner(packet.address, key)
        if owner is None:
            return self._recorder.dropped(now, packet, Reason.NO_FLOW)
        if owner == self._node:
            return self._start_lookup(now, packet.caller, packet.address)
        if not self._misses.try_acquire(now):
            return []
        return [Send(owner, Missed(packet.caller, packet.address))]

    def handle_message(
        self, now: Seconds, src: NodeId, msg: Any
    ) -> list[Effect]:
        """Handle a message of another agent."""
        match msg:
            case Located():
                return self._handle_located(now, src, msg)
            case Ended(keys=keys):
                for key in unpack_keys(keys):
                    self.directory.remove(key, src)
            case Missed(caller=caller, address=address):
                return self._start_lookup(now, caller, address)
            case Locate():
                return self._handle_locate(msg)
            case NotHeld():
                return self._handle_not_held(now, src, msg)
        return []

    def due(self, now: Seconds) -> list[Effect]:
        """Return the lookup queries to send now."""
        return [
            Send(node, Locate(pack_keys(keys), self._node))
            for node, keys in self._lookups.due(now).items()
        ]

    @property
    def _state_digest(self) -> int:
        """Digest of the members and the configuration version.

        A denial counts only if its sender has the same digest.
        """
        return self._members.digest ^ self._services.version

    def _start_lookup(
        self, now: Seconds, caller: str, address: str
    ) -> list[Effect]:
        """Start a lookup, or decide at once if there is no member to ask."""
        key = flow_key(caller, address)
        if self._flows.is_open(key) or not self._lookups.can_start(key):
            return []
        if self._denials.too_early(now, key, self._state_digest):
            return []
        members = [i for i in self._members.ids if i != self._node]
        asked = sorted(members)[:LOOKUP_FANOUT]
        conclusive = len(asked) == len(members)
        for former in self._services.former.get(address, ()):
            asked += [s.id for s in self._services.members(former)]
            conclusive = False
        lookup = Lookup(caller, address, set(asked), conclusive)
        if not asked:
            return self._reset_if_denied(now, key, lookup)
        self._lookups.start(key, lookup)
        return []

    def _reset_if_denied(
        self, now: Seconds, key: FlowKey, lookup: Lookup
    ) -> list[Effect]:
        """Reset a flow that all members denied twice."""
        if not (lookup.conclusive and self.recovered) or self._flows.is_open(
            key
        ):
            return []
        if not self._denials.confirm(now, key, self._state_digest):
            return []
        return self._recorder.reset(
            now, lookup.caller, lookup.address, Reason.NO_FLOW
        )

    def _handle_located(
        self, now: Seconds, src: NodeId, msg: Located
    ) -> list[Effect]:
        for key in unpack_keys(msg.keys):
            self._spilled.pop(key, None)
            self._lookups.complete(key)
            if not self._flows.is_open(key):
                self.directory.put(now, key, src)
        if not msg.batch:
            return []
        return [Send(src, LocatedAck(msg.batch, msg.incarnation))]

    def _handle_locate(self, msg: Locate) -> list[Effect]:
        keys = unpack_keys(msg.keys)
        held = [key for key in keys if self._flows.is_open(key)]
        missing = [key for key in keys if not self._flows.is_open(key)]
        effects: list[Effect] = []
        if held:
            found = Located(0, Incarnation(0), pack_keys(held))
            effects.append(Send(msg.origin, found))
        if not missing or msg.relayed:
            return effects
        queries = self._relay_targets(missing, msg.origin)
        for node, node_keys in sorted(queries.items()):
            relayed_query = Locate(
                pack_keys(node_keys), msg.origin, relayed=True
            )
            effects.append(Send(node, relayed_query))
        relayed_keys = {
            key for node_keys in queries.values() for key in node_keys
        }
        denied = [key for key in missing if key not in relayed_keys]
        if self.recovered and denied:
            denial = NotHeld(pack_keys(denied), self._state_digest)
            effects.append(Send(msg.origin, denial))
        return effects

    def _relay_targets(
        self, keys: list[FlowKey], origin: NodeId
    ) -> dict[NodeId, list[FlowKey]]:
        """Return agents to relay a query to, and the keys for each of them.

        They are agents that the origin of the query may not know.
        """
        queries: dict[NodeId, list[FlowKey]] = {}
        for key in keys:
            owner = self._services.owner_in(self._service, key)
            for node in dict.fromkeys((self.directory.get(key), owner)):
                if node is not None and node not in (self._node, origin):
                    queries.setdefault(node, []).append(key)
        return queries

    def _handle_not_held(
        self, now: Seconds, src: NodeId, msg: NotHeld
    ) -> list[Effect]:
        state_digest = self._state_digest
        effects: list[Effect] = []
        for key in unpack_keys(msg.keys):
            lookup = self._lookups.record_denial(
                key, src, msg.known == state_digest
            )
            if lookup is not None:
                effects += self._reset_if_denied(now, key, lookup)
        return effects

"""Finds the agent that holds a flow which is not held here."""

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
from .held import FlowTable
from .journal import Journal
from .limits import LOCATE_FANOUT
from .limits import MISSES_PER_S
from .limits import SPILLED_LIMIT
from .locate import Denials
from .locate import Search
from .locate import Searches
from .messages import Ended
from .messages import Locate
from .messages import Located
from .messages import LocatedAck
from .messages import Missed
from .messages import NotHeld
from .meter import Meter
from .neighbours import Neighbours
from .services import Services
from .wire import pack_keys
from .wire import unpack_keys

_RST = int(Flag.RST)


class Finder:
    """Knows or learns where flows are whose buckets are owned here.

    All of it is soft state: holders tell their flows to the buckets'
    owners, and what an owner misses it asks of all members. A flow is
    reset only when its holder is gone or every member denies it.
    """

    def __init__(
        self,
        node: NodeId,
        service: ServiceName,
        services: Services,
        neighbours: Neighbours,
        flows: FlowTable,
        journal: Journal,
    ) -> None:
        self.recovered = False
        self.directory = Directory()
        self._node = node
        self._service = service
        self._services = services
        self._neighbours = neighbours
        self._flows = flows
        self._journal = journal
        self._spilled: dict[FlowKey, NodeId] = {}
        self._searches = Searches()
        self._denials = Denials()
        self._misses = Meter(MISSES_PER_S, MISSES_PER_S)
        self._corrections = Meter(MISSES_PER_S, MISSES_PER_S)

    def opened_at(
        self, key: FlowKey, asked: tuple[NodeId, ...]
    ) -> NodeId | None:
        """Return the member to which an earlier copy of a SYN went."""
        found = self.directory.get(key) or self._spilled.get(key)
        if found is None or found in asked:
            return None
        return found if found in self._neighbours.ids else None

    def note_spilled(self, key: FlowKey, node: NodeId) -> None:
        """Note to which member a new flow was passed on."""
        self._spilled.pop(key, None)
        if len(self._spilled) >= SPILLED_LIMIT:
            del self._spilled[next(iter(self._spilled))]
        self._spilled[key] = node

    def lost_with(self, now: Seconds, key: FlowKey) -> NodeId | None:
        """Return the holder of a flow if it is gone for good."""
        holder = self.directory.get(key)
        if holder is None or not self._neighbours.departed(now, holder):
            return None
        return holder

    def next_hops(self, key: FlowKey, address: str) -> list[NodeId]:
        """Return the agents that may hold a flow, the likeliest first."""
        services = self._services
        near = self._neighbours
        guesses = [
            self.directory.get(key),
            self._spilled.get(key),
            services.owner(address, key),
            *near.past_owners(key),
        ]
        for former in services.former.get(address, ()):
            guesses.append(services.owner_in(former, key))
        guesses += near.ranked(key)
        found: dict[NodeId, None] = {}
        for node in guesses:
            known = node in services.servers or node in near.ids
            if known and node is not None and node != self._node:
                found[node] = None
        return list(found)

    def correct(
        self, now: Seconds, key: FlowKey, packet: Packet
    ) -> list[Effect]:
        """Tell the agent before this one that the flow is not here."""
        if not packet.asked or not self._corrections.passes(now):
            return []
        return [Send(packet.asked[-1], Ended(pack_keys([key])))]

    def search_if_owner(
        self, now: Seconds, key: FlowKey, packet: Packet
    ) -> list[Effect]:
        """Search for an unknown flow whose bucket is owned here."""
        if packet.flags & _RST or self.directory.get(key):
            return []
        owner = self._services.owner(packet.address, key)
        if owner != self._node:
            return []
        return self._search(now, packet.caller, packet.address)

    def missed(
        self, now: Seconds, key: FlowKey, packet: Packet
    ) -> list[Effect]:
        """Have the owner search for a flow that no agent asked holds.

        The packet is dropped; its caller sends it again.
        """
        if packet.flags & _RST:
            return []
        owner = self._services.owner(packet.address, key)
        if owner is None:
            return self._journal.dropped(now, packet, Reason.NO_FLOW)
        if owner == self._node:
            return self._search(now, packet.caller, packet.address)
        if not self._misses.passes(now):
            return []
        return [Send(owner, Missed(packet.caller, packet.address))]

    def received(self, now: Seconds, src: NodeId, msg: Any) -> list[Effect]:
        """Take a message of another agent."""
        match msg:
            case Located():
                return self._located(now, src, msg)
            case Ended(keys=keys):
                for key in unpack_keys(keys):
                    self.directory.drop(key, src)
            case Missed(caller=caller, address=address):
                return self._search(now, caller, address)
            case Locate():
                return self._asked(msg)
            case NotHeld():
                return self._denied(now, src, msg)
        return []

    def due(self, now: Seconds) -> list[Effect]:
        """Return the questions to send now."""
        return [
            Send(node, Locate(pack_keys(keys), self._node))
            for node, keys in self._searches.due(now).items()
        ]

    @property
    def _known(self) -> int:
        """What members must agree on: the members and the version."""
        return self._neighbours.digest ^ self._services.version

    def _search(self, now: Seconds, caller: str, address: str) -> list[Effect]:
        """Open a search for a flow, or judge it if there is none to ask."""
        key = flow_key(caller, address)
        if self._flows.taken(key) or not self._searches.wants(key):
            return []
        if self._denials.waits(now, key, self._known):
            return []
        members = [i for i in self._neighbours.ids if i != self._node]
        asked = sorted(members)[:LOCATE_FANOUT]
        sure = len(asked) == len(members)
        for former in self._services.former.get(address, ()):
            asked += [s.id for s in self._services.members(former)]
            sure = False
        search = Search(caller, address, set(asked), sure)
        if not asked:
            return self._judge(now, key, search)
        self._searches.start(key, search)
        return []

    def _judge(
        self, now: Seconds, key: FlowKey, search: Search
    ) -> list[Effect]:
        """Reset a flow that all members denied twice."""
        if not (search.sure and self.recovered) or self._flows.taken(key):
            return []
        if not self._denials.confirm(now, key, self._known):
            return []
        return self._journal.reset(
            now, search.caller, search.address, Reason.NO_FLOW
        )

    def _located(
        self, now: Seconds, src: NodeId, msg: Located
    ) -> list[Effect]:
        for key in unpack_keys(msg.keys):
            self._spilled.pop(key, None)
            self._searches.found(key)
            if not self._flows.taken(key):
                self.directory.put(now, key, src)
        if not msg.batch:
            return []
        return [Send(src, LocatedAck(msg.batch, msg.incarnation))]

    def _asked(self, msg: Locate) -> list[Effect]:
        keys = unpack_keys(msg.keys)
        held = [key for key in keys if self._flows.taken(key)]
        missing = [key for key in keys if not self._flows.taken(key)]
        effects: list[Effect] = []
        if held:
            found = Located(0, Incarnation(0), pack_keys(held))
            effects.append(Send(msg.origin, found))
        if not missing or msg.relayed:
            return effects
        asks = self._others_to_ask(missing, msg.origin)
        for node, found_there in sorted(asks.items()):
            passed = Locate(pack_keys(found_there), msg.origin, relayed=True)
            effects.append(Send(node, passed))
        passed_on = {
            key for found_there in asks.values() for key in found_there
        }
        denied = [key for key in missing if key not in passed_on]
        if self.recovered and denied:
            denial = NotHeld(pack_keys(denied), self._known)
            effects.append(Send(msg.origin, denial))
        return effects

    def _others_to_ask(
        self, keys: list[FlowKey], origin: NodeId
    ) -> dict[NodeId, list[FlowKey]]:
        """Return agents that the asker may not know, and what to ask."""
        asks: dict[NodeId, list[FlowKey]] = {}
        for key in keys:
            owner = self._services.owner_in(self._service, key)
            for node in dict.fromkeys((self.directory.get(key), owner)):
                if node is not None and node not in (self._node, origin):
                    asks.setdefault(node, []).append(key)
        return asks

    def _denied(self, now: Seconds, src: NodeId, msg: NotHeld) -> list[Effect]:
        known = self._known
        effects: list[Effect] = []
        for key in unpack_keys(msg.keys):
            search = self._searches.denied(key, src, msg.known == known)
            if search is not None:
                effects += self._judge(now, key, search)
        return effects

"""Baseline policies that the design is compared with."""

import random
from typing import Any

import xxhash

from medlar_core.effects import Deliver
from medlar_core.effects import Effect
from medlar_core.effects import Forward
from medlar_core.effects import Publish
from medlar_core.effects import Return
from medlar_core.events import ConfigurationChanged
from medlar_core.events import LoadMeasured
from medlar_core.events import PacketArrived
from medlar_core.events import Reducer
from medlar_core.events import ServerSent
from medlar_core.events import ViewChanged
from medlar_core.flows.table import accepting
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.packets import Flag
from medlar_core.packets import flow_key
from medlar_core.packets import Packet

NO_NODE = NodeId("")


class HashBalancer:
    """Routes each packet by a rendezvous hash of the live servers."""

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self._live: dict[ServiceName, list[tuple[NodeId, bytes]]] = {}
        self._addresses: dict[str, ServiceName] = {}

    def reduce(self, now: Seconds, event: Any) -> list[Effect]:
        """Handle an event and return the effects to carry out."""
        match event:
            case PacketArrived(packet=packet):
                return self._route(packet)
            case ViewChanged(view=view):
                self._live = {}
                for s in view.servers:
                    if accepting(s):
                        live = self._live.setdefault(s.service, [])
                        live.append((s.id, s.id.encode()))
            case ConfigurationChanged(cfg=cfg):
                self._addresses = {
                    address.text: service.name
                    for service in cfg.services
                    for address in service.addresses
                }
        return []

    def _route(self, packet: Packet) -> list[Effect]:
        service = self._addresses.get(packet.address)
        key = flow_key(packet.caller, packet.address)
        dst = self.choose_server(service, key, packet) if service else NO_NODE
        if not dst:
            return []
        routed = Packet(
            packet.caller,
            packet.address,
            packet.flags,
            packet.payload,
            service or ServiceName(""),
            via=self._node,
        )
        return [Forward(dst, routed)]

    def choose_server(
        self, service: ServiceName, key: int, packet: Packet
    ) -> NodeId:
        """Return the server for a packet, or ``NO_NODE``."""
        return self.highest_score(service, key)

    def highest_score(self, service: ServiceName, key: int) -> NodeId:
        """Return the live server with the highest hash score."""
        best = -1
        found = NO_NODE
        for node, name in self._live.get(service, ()):
            score = xxhash.xxh3_64_intdigest(name, key)
            if score > best:
                best = score
                found = node
        return found


class TableBalancer(HashBalancer):
    """Keeps a flow table; flows not in the table are hashed.

    A full table evicts the least recently used flow.
    """

    def __init__(self, node: NodeId, limit: int) -> None:
        super().__init__(node)
        self._limit = limit
        self._flows: dict[int, NodeId] = {}

    def choose_server(
        self, service: ServiceName, key: int, packet: Packet
    ) -> NodeId:
        """Return the server in the table, else add the one hashed."""
        known = self._flows.pop(key, NO_NODE)
        if packet.flags & Flag.SYN or not known:
            known = self.highest_score(service, key)
        if not packet.flags & (Flag.FIN | Flag.RST):
            self._flows[key] = known
            if len(self._flows) > self._limit:
                del self._flows[next(iter(self._flows))]
        return known


class PassThroughAgent:
    """Delivers every packet; the local server resets unknown flows."""

    def __init__(self) -> None:
        self._open: set[int] = set()

    def reduce(self, now: Seconds, event: Any) -> list[Effect]:
        """Handle an event and return the effects to carry out."""
        match event:
            case PacketArrived(packet=packet):
                key = flow_key(packet.caller, packet.address)
                if packet.flags & Flag.SYN:
                    self._open.add(key)
                    return [Deliver(packet), self._load()]
                if packet.flags & (Flag.FIN | Flag.RST):
                    self._open.discard(key)
                return [Deliver(packet)]
            case ServerSent(packet=packet):
                return [Return(packet)]
        return []

    @property
    def open_flows(self) -> int:
        """Number of flows with a SYN but no FIN or RST received."""
        return len(self._open)

    def _load(self) -> Effect:
        return Publish(LoadMeasured(flows=len(self._open)))


class HashFactory:
    """Makes hashing balancers and agents that deliver every packet."""

    def balancer(
        self, node: NodeId, place: PlaceName, rng: random.Random
    ) -> Reducer:
        """Return a balancer that hashes over the live servers."""
        return HashBalancer(node)

    def agent(
        self,
        node: NodeId,
        service: ServiceName,
        place: PlaceName,
        incarnation: Incarnation,
        rng: random.Random,
    ) -> Reducer:
        """Return an agent that delivers every packet."""
        return PassThroughAgent()


class FlowTableFactory(HashFactory):
    """Makes balancers with a flow table of ``limit`` entries each."""

    def __init__(self, limit: int = 100_000) -> None:
        self.limit = limit

    def balancer(
        self, node: NodeId, place: PlaceName, rng: random.Random
    ) -> Reducer:
        """Return a balancer with a flow table."""
        return TableBalancer(node, self.limit)

"""Simple policies that the design is measured against."""

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

NONE = NodeId("")


class HashBalancer:
    """Rendezvous hash of the live servers, for each packet anew."""

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self._live: dict[ServiceName, list[tuple[NodeId, bytes]]] = {}
        self._addresses: dict[str, ServiceName] = {}

    def reduce(self, now: Seconds, event: Any) -> list[Effect]:
        """Take one event and return the effects to carry out."""
        match event:
            case PacketArrived(packet=packet):
                return self._arrived(packet)
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

    def _arrived(self, packet: Packet) -> list[Effect]:
        service = self._addresses.get(packet.address)
        key = flow_key(packet.caller, packet.address)
        dst = self.choose(service, key, packet) if service else NONE
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

    def choose(self, service: ServiceName, key: int, packet: Packet) -> NodeId:
        """Return the server for a packet, empty for none."""
        return self.highest(service, key)

    def highest(self, service: ServiceName, key: int) -> NodeId:
        """Return the live server with the highest hash."""
        best = -1
        found = NONE
        for node, name in self._live.get(service, ()):
            score = xxhash.xxh3_64_intdigest(name, key)
            if score > best:
                best = score
                found = node
        return found


class TableBalancer(HashBalancer):
    """A flow table in each balancer; unknown flows go by the hash.

    A full table evicts its oldest flow.
    """

    def __init__(self, node: NodeId, limit: int) -> None:
        super().__init__(node)
        self._limit = limit
        self._flows: dict[int, NodeId] = {}

    def choose(self, service: ServiceName, key: int, packet: Packet) -> NodeId:
        """Return the server noted for a flow, else note the hash's."""
        known = self._flows.pop(key, NONE)
        if packet.flags & Flag.SYN or not known:
            known = self.highest(service, key)
        if not packet.flags & (Flag.FIN | Flag.RST):
            self._flows[key] = known
            if len(self._flows) > self._limit:
                del self._flows[next(iter(self._flows))]
        return known


class PlainAgent:
    """Hands every packet to its server, which resets unknown flows."""

    def __init__(self) -> None:
        self._open: set[int] = set()

    def reduce(self, now: Seconds, event: Any) -> list[Effect]:
        """Take one event and return the effects to carry out."""
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
        """Flows whose packets this agent saw first and not last."""
        return len(self._open)

    def _load(self) -> Effect:
        return Publish(LoadMeasured(flows=len(self._open)))


class Hashed:
    """Balancers that hash, agents that hand on."""

    def balancer(
        self, node: NodeId, place: PlaceName, rng: random.Random
    ) -> Reducer:
        """Return a balancer that hashes live servers."""
        return HashBalancer(node)

    def agent(
        self,
        node: NodeId,
        service: ServiceName,
        place: PlaceName,
        incarnation: Incarnation,
        rng: random.Random,
    ) -> Reducer:
        """Return an agent that hands packets on."""
        return PlainAgent()


class Tabled(Hashed):
    """Balancers with a flow table of a limited size each."""

    def __init__(self, limit: int = 100_000) -> None:
        self.limit = limit

    def balancer(
        self, node: NodeId, place: PlaceName, rng: random.Random
    ) -> Reducer:
        """Return a balancer with a flow table."""
        return TableBalancer(node, self.limit)

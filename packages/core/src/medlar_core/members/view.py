"""Servers and balancers as published to the other parts."""

import enum

import msgspec

from ..ids import Incarnation
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import ServiceName


class ServerState(enum.Enum):
    """States of a server, in the order of its life cycle."""

    ANNOUNCED = "announced"
    WARMING = "warming"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Server(msgspec.Struct, frozen=True):
    """A server as membership publishes it; ``id`` is its agent's address.

    ``weight`` is its relative capacity (usually 1.0), ``warmth`` the share
    of it that may be used now (0 to 1), ``flows`` its open flows and
    ``busy`` its busy slots, as its agent last reported.
    """

    id: NodeId
    incarnation: Incarnation
    service: ServiceName
    place: PlaceName
    state: ServerState
    weight: float = 1.0
    warmth: float = 1.0
    flows: int = 0
    busy: int = 0
    slots: int = 2


class Balancer(msgspec.Struct, frozen=True):
    """A balancer as membership publishes it."""

    id: NodeId
    incarnation: Incarnation
    place: PlaceName


class View(msgspec.Struct, frozen=True):
    """All live members known to this process.

    GONE servers are left out; ``version`` increases with each change in
    this process.
    """

    version: int
    servers: tuple[Server, ...]
    balancers: tuple[Balancer, ...]

"""What the other parts are told of the servers and balancers."""

import enum

import msgspec

from ..ids import Incarnation
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import ServiceName


class ServerState(enum.Enum):
    """Life of a server, in this order."""

    ANNOUNCED = "announced"
    WARMING = "warming"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Server(msgspec.Struct, frozen=True):
    """A server as membership tells it; ``id`` is its agent's address.

    ``weight`` is its capacity beside others (1.0 usual), ``warmth`` the
    share of it that it may take now (0 to 1), ``flows`` its open flows
    and ``busy`` its busy slots by its agent's last report.
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
    """A balancer as membership tells it."""

    id: NodeId
    incarnation: Incarnation
    place: PlaceName


class View(msgspec.Struct, frozen=True):
    """Every live member as this process knows them now.

    GONE servers are left out; ``version`` grows with each change here.
    """

    version: int
    servers: tuple[Server, ...]
    balancers: tuple[Balancer, ...]

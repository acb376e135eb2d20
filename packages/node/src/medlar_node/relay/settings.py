"""Settings of the relay's processes."""

import enum

import msgspec

from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import ServiceName


class Role(enum.Enum):
    """What a process does."""

    BALANCER = "balancer"
    AGENT = "agent"


class RelaySettings(msgspec.Struct, frozen=True):
    """Settings that both roles have; addresses are ``ip:port``.

    ``node`` is where other processes reach this one, by UDP and TCP.
    ``caller_port`` is the port at which callers get their packets.
    ``grace_s`` is the time between a request to stop and a kill.
    """

    role: Role
    name: str
    place: PlaceName
    node: NodeId
    readiness: str
    store: str
    seeds: tuple[NodeId, ...]
    caller_port: int
    beat_s: float
    grace_s: float
    packets: str = ""
    """Where a balancer gets the packets of callers."""
    outbound: str = ""
    """Where an agent gets the packets of its server."""
    control: str = ""
    """Where an agent gets the announcements of its server."""
    server: str = ""
    """Where an agent's server gets its packets."""
    service: ServiceName = ServiceName("")
    metrics: str = ""
    """Where metrics are served; empty for nowhere."""

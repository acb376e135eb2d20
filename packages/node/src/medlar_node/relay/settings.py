"""Settings of relay processes."""

import enum

import msgspec

from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import ServiceName
from medlar_core.relay.zones.settings import NO_ZONE_RULES
from medlar_core.relay.zones.settings import ZoneSettings


class Role(enum.Enum):
    """Role of a relay process."""

    BALANCER = "balancer"
    AGENT = "agent"


class RelaySettings(msgspec.Struct, frozen=True):
    """Settings of both roles; addresses are ``ip:port``.

    ``node`` is the address for other relay processes, by UDP and TCP.
    ``caller_port`` is the port at which callers receive packets.
    ``beat_s`` is the interval between heartbeats of the local server.
    ``grace_s`` is the time between the signal to stop and the kill.
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
    """Address at which a balancer receives callers' packets."""
    outbound: str = ""
    """Address at which an agent receives packets of the local server."""
    control: str = ""
    """Address at which an agent receives announcements of the local server."""
    server: str = ""
    """Address to which an agent sends packets for the local server."""
    service: ServiceName = ServiceName("")
    zones: ZoneSettings = NO_ZONE_RULES
    link_mbps: float = 0.0
    """Bandwidth of the machine's link, 0 if unknown."""
    metrics: str = ""
    """Address at which metrics are served; empty to disable."""

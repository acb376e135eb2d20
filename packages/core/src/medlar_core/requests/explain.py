"""State of balancer and agent as shown to operators."""

import msgspec

from ..ids import KindName
from ..ids import ServiceName
from .events import ServerLoad


class KindExplained(msgspec.Struct, frozen=True):
    """Slots and queue of a kind at an agent; shares are of all slots."""

    kind: KindName
    rank: int
    floor: float
    used: float
    running: int
    queued: int


class AgentExplained(msgspec.Struct, frozen=True):
    """State by which an agent admits or refuses requests."""

    load: ServerLoad
    kinds: tuple[KindExplained, ...]
    keys: int
    leaving: bool


class DoorExplained(msgspec.Struct, frozen=True):
    """Share of a kind's requests that a balancer admits now."""

    service: ServiceName
    kind: KindName
    open_share: float


class BalancerExplained(msgspec.Struct, frozen=True):
    """Open requests of a balancer and its throttle by kind."""

    open_requests: int
    doors: tuple[DoorExplained, ...]

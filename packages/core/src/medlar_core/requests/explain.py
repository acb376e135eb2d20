"""What balancer and agent tell of their state to those who ask."""

import msgspec

from ..ids import KindName
from ..ids import ServiceName
from .events import ServerLoad


class KindExplained(msgspec.Struct, frozen=True):
    """How a kind of work stands at an agent; shares are of all slots."""

    kind: KindName
    rank: int
    floor: float
    used: float
    running: int
    queued: int


class AgentExplained(msgspec.Struct, frozen=True):
    """Why an agent takes or refuses requests now."""

    load: ServerLoad
    kinds: tuple[KindExplained, ...]
    keys: int
    leaving: bool


class DoorExplained(msgspec.Struct, frozen=True):
    """Share of a kind's requests that a balancer lets on now."""

    service: ServiceName
    kind: KindName
    open_share: float


class BalancerExplained(msgspec.Struct, frozen=True):
    """What a balancer holds and refuses now."""

    open_requests: int
    doors: tuple[DoorExplained, ...]

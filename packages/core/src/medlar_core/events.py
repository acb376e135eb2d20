"""Events shared by all parts of the reducers.

Every reducer has one entry point, ``reduce(now, event) -> list of
effects``, with ``now`` in monotonic seconds. Parts may add events of
their own.
"""

from typing import Any
from typing import Protocol

import msgspec

from .config.model import Configuration
from .ids import NodeId
from .ids import Seconds
from .ids import StoreCallId
from .ids import Version
from .members.view import View
from .packets import Packet
from .store import StoreAnswer


class Tick(msgspec.Struct, frozen=True):
    """Periodic timer event, every 100 ms or later under load."""


class Received(msgspec.Struct, frozen=True):
    """A control message was received; ``src`` is authenticated."""

    src: NodeId
    msg: Any


class StoreAnswered(msgspec.Struct, frozen=True):
    """The store answered a call, or the call failed."""

    call: StoreCallId
    answer: StoreAnswer


class PacketArrived(msgspec.Struct, frozen=True):
    """A packet was received from the fabric or another process."""

    packet: Packet


class ServerSent(msgspec.Struct, frozen=True):
    """The local server sent a packet to a caller."""

    packet: Packet


class ViewChanged(msgspec.Struct, frozen=True):
    """Membership published a new view."""

    view: View


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """A newer configuration is in force in this process."""

    cfg: Configuration
    version: Version


class StopAsked(msgspec.Struct, frozen=True):
    """The operator or the platform requested this process to stop."""


class DrainAsked(msgspec.Struct, frozen=True):
    """An agent was requested to drain its local server.

    Flows still open after ``limit_s`` seconds are ended.
    """

    limit_s: float


class ServerProbed(msgspec.Struct, frozen=True):
    """An agent probed its local server.

    ``ready`` is the response of the server's readiness endpoint, which
    can be outdated or wrong and therefore is only advisory.
    """

    alive: bool
    ready: bool


class ServerConnections(msgspec.Struct, frozen=True):
    """The local server's open connections, as (caller, address) pairs.

    An agent reads them when it starts, to restore its flow table.
    """

    pairs: tuple[tuple[str, str], ...]


class LoadMeasured(msgspec.Struct, frozen=True):
    """A part of an agent measured its load; None keeps the last value."""

    flows: int | None = None
    busy: int | None = None


class Reducer(Protocol):
    """State machine that does no I/O and reads no clock."""

    def reduce(self, now: Seconds, event: Any) -> list[Any]:
        """Process one event and return the effects to execute."""
        ...

"""Events shared by all parts of the reducers.

Every reducer has one entry, ``reduce(now, event) -> list of effects``,
with ``now`` in monotonic seconds. Parts may add events of their own.
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
    """Time has passed; comes every 100 ms, or later under load."""


class Received(msgspec.Struct, frozen=True):
    """A control message came; ``src`` is authenticated."""

    src: NodeId
    msg: Any


class StoreAnswered(msgspec.Struct, frozen=True):
    """The store answered a call, or the call failed."""

    call: StoreCallId
    answer: StoreAnswer


class PacketArrived(msgspec.Struct, frozen=True):
    """A packet came from the fabric or from another process."""

    packet: Packet


class ServerSent(msgspec.Struct, frozen=True):
    """The server beside this agent sent a packet to a caller."""

    packet: Packet


class ViewChanged(msgspec.Struct, frozen=True):
    """Membership tells a new view."""

    view: View


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """A newer configuration came into force in this process."""

    cfg: Configuration
    version: Version


class StopAsked(msgspec.Struct, frozen=True):
    """The operator or the platform asks this process to stop."""


class DrainAsked(msgspec.Struct, frozen=True):
    """An agent is told that its server leaves.

    Flows that outlive ``limit_s`` seconds are ended.
    """

    limit_s: float


class ServerProbed(msgspec.Struct, frozen=True):
    """An agent probed its server; ``ready`` is what its endpoint says.

    The endpoint lags or misleads: take it as a hint.
    """

    alive: bool
    ready: bool


class ServerConnections(msgspec.Struct, frozen=True):
    """The server's open connections, as (caller, address) pairs.

    An agent reads them when it starts, to find its flows again.
    """

    pairs: tuple[tuple[str, str], ...]


class LoadMeasured(msgspec.Struct, frozen=True):
    """An agent's part tells its load; None leaves a figure as it was."""

    flows: int | None = None
    busy: int | None = None


class Reducer(Protocol):
    """Decides; owns its state; does no I/O and reads no clock."""

    def reduce(self, now: Seconds, event: Any) -> list[Any]:
        """Take one event and return the effects to carry out."""
        ...

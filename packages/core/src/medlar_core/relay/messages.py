"""Messages between the processes that relay flows."""

import enum
from typing import TypeAlias

import msgspec

from ..ids import NodeId
from ..ids import PlaceName
from ..ids import ServiceName
from .segment import FlowId


class AgentState(enum.Enum):
    """What an agent says of itself and of the server beside it."""

    STARTING = "starting"
    """No server has announced itself yet."""
    READY = "ready"
    DRAINING = "draining"
    DOWN = "down"
    """The server stopped announcing itself."""
    RESTARTING = "restarting"
    """The agent stops while its server lives on."""
    GONE = "gone"
    """The server left for good."""


class AgentReport(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """What one agent says of itself.

    ``incarnation`` is of the agent's process and ``count`` grows with
    each report of it. ``busy`` counts flows whose caller waits for an
    answer, ``waiting`` those of them that have sent all that they send,
    ``flows`` all open ones. ``server_born`` tells incarnations
    of the server apart. ``knows_all_flows`` tells whether the agent knows
    every flow that its server holds; ``period_s`` how often each peer gets a
    report.
    """

    id: NodeId
    place: PlaceName
    service: ServiceName
    incarnation: int
    count: int
    state: AgentState
    slots: int = 1
    busy: int = 0
    flows: int = 0
    cold: bool = False
    knows_all_flows: bool = False
    server: str = ""
    server_born: int = 0
    period_s: float = 0.0
    waiting: int = 0

    @property
    def stamp(self) -> tuple[int, int]:
        """Order of reports of one agent."""
        return (self.incarnation, self.count)


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """The figures of an agent's report, while the rest stays as it was.

    Its sender is the agent; fields are those of :class:`AgentReport`.
    """

    incarnation: int
    count: int
    busy: int
    flows: int
    waiting: int


class ReportAsked(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """The sender knows nothing but figures of the agent that gets this."""


class Departed(msgspec.Struct, frozen=True, array_like=True):
    """An agent that is gone for good, by incarnation of its process."""

    id: NodeId
    incarnation: int


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """What a balancer tells: itself, its configuration, whom it knows.

    ``agents`` holds the latest reports, those of the receiver's service
    first; ``size`` counts those known, 0 if the store was not read.
    ``peers`` are other balancers; ``departed`` agents that went lately.
    ``idle_s`` is how long a flow may be idle; ``followed_s`` how long ago
    the store told this balancer its newest configuration.
    """

    id: NodeId
    place: PlaceName
    version: int
    agents: tuple[AgentReport, ...] = ()
    peers: tuple[NodeId, ...] = ()
    departed: tuple[Departed, ...] = ()
    idle_s: float = 0.0
    size: int = 0
    followed_s: float = float("inf")


class Goodbye(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """A balancer stops."""

    id: NodeId


class FlowAsked(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """The sender asks an agent that knows all its flows for this one."""

    flow: FlowId


class FlowHeld(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """The sender's server, or ``holder``'s, holds the flow."""

    flow: FlowId
    holder: NodeId


class FlowUnknown(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """Neither the sender nor its server holds the flow."""

    flow: FlowId


class EntryMissing(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """The store has no entry of the agent that gets this."""


class OtherService(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """A packet of ``service`` came to an agent of another service."""

    service: ServiceName
    report: AgentReport


RelayMessage: TypeAlias = (
    AgentReport
    | LoadReport
    | ReportAsked
    | Hello
    | Goodbye
    | FlowAsked
    | FlowHeld
    | FlowUnknown
    | EntryMissing
    | OtherService
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[RelayMessage] = msgspec.msgpack.Decoder(
    RelayMessage
)


def encode(msg: RelayMessage) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(msg)


def decode(data: bytes) -> RelayMessage:
    """Return the message in bytes.

    :raises msgspec.DecodeError: if it is none.
    """
    return _decoder.decode(data)

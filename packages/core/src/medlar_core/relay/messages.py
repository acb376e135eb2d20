"""Messages between the processes that relay flows."""

import enum
from typing import TypeAlias

import msgspec

from ..ids import NodeId
from ..ids import PlaceName
from ..ids import ServiceName
from .health.state import HealthState
from .scope import FlowScope
from .segment import FlowId
from .zones.evacuation import EvacuatedPlaces

UNLIMITED_ROOM = -1
FINAL_COUNT = 2**62
"""Higher than the count of any report."""


class AgentState(enum.Enum):
    """State of an agent and of its local server, as the agent reports it."""

    STARTING = "starting"
    """No server has announced itself yet."""
    READY = "ready"
    DRAINING = "draining"
    DOWN = "down"
    """The server no longer announces itself."""
    RESTARTING = "restarting"
    """The agent stops while its server keeps running."""
    GONE = "gone"
    """The server announced its end."""


class AgentReport(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Report of an agent about itself; also its entry in the store, as JSON.

    ``incarnation`` identifies the run of the agent's process; ``count``
    numbers the reports of one incarnation. ``busy`` counts flows whose
    caller waits for a response, ``waiting`` those of them whose request is
    complete, ``flows`` all open flows. ``cold`` tells that the server has
    just started and still serves slowly. ``server_born`` is the start time
    of the server in ms and tells its incarnations apart.
    ``knows_all_flows`` tells whether the agent knows every flow that its
    server holds. ``period_s`` is the time between two reports to one peer.
    ``wait_ms`` is the expected wait of a new flow before the server works on
    it, ``service_ms`` the measured mean time that the server works on one
    request, 0 if unknown. ``room`` is how many new flows a cold server
    accepts now, ``UNLIMITED_ROOM`` without a limit. ``evacuated`` tells that
    the agent's place gets no new flows.
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
    wait_ms: int = 0
    service_ms: int = 0
    room: int = UNLIMITED_ROOM
    health: HealthState = HealthState.HEALTHY
    evacuated: bool = False

    @property
    def accepts_flows(self) -> bool:
        """Whether the agent delivers new flows to its server."""
        if self.state is not AgentState.READY or self.evacuated:
            return False
        return self.room != 0

    @property
    def stamp(self) -> tuple[int, int]:
        """Orders the reports of one agent."""
        return (self.incarnation, self.count)

    @property
    def has_no_server(self) -> bool:
        """Whether nothing ran yet at the address of the agent's server."""
        return self.state is AgentState.STARTING and self.knows_all_flows


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Load figures of an agent whose last report is otherwise unchanged.

    The sender is the agent; the fields are those of :class:`AgentReport`.
    """

    incarnation: int
    count: int
    busy: int
    flows: int
    waiting: int
    wait_ms: int = 0
    service_ms: int = 0
    room: int = UNLIMITED_ROOM

    @property
    def stamp(self) -> tuple[int, int]:
        """Orders it among the reports of its agent."""
        return (self.incarnation, self.count)


class ReportAsked(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """The sender lacks the receiving agent's full report and requests it."""


class MembersAsked(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """An agent asks a balancer for the members of a service."""

    service: ServiceName


class Departed(msgspec.Struct, frozen=True, array_like=True):
    """A removed agent, the incarnation of its process and its last report.

    Reports of the incarnation with a higher ``count`` are later than the
    removal. ``FINAL_COUNT`` means that none may follow, as the agent itself
    reported the end of its server. Processes of earlier versions send none.
    """

    id: NodeId
    incarnation: int
    count: int = 0
    service: ServiceName = ServiceName("")

    @property
    def stamp(self) -> tuple[int, int]:
        """Orders the removal among the reports of the agent."""
        return (self.incarnation, self.count)

    @property
    def is_final(self) -> bool:
        """Whether the agent's server has ended."""
        return self.count == FINAL_COUNT


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Hello message: a balancer, its configuration and the members it knows.

    ``version`` is of its configuration. ``agents`` holds some of the latest
    reports, to an agent only those of its own service; ``service_size``
    counts all that the sender knows of these, 0 if it has not read the
    store yet. ``peers`` are other balancers, ``departed`` agents that were
    removed recently. ``idle_s`` is how long a flow may be idle;
    ``config_age_s`` how long ago the store confirmed to the sender that its
    configuration is the newest. ``wants_report`` asks the receiving agent
    for its report. ``period_s`` is the time between two hello messages to
    the receiver, 0 if unknown. ``unused_1`` and ``unused_2`` told of moved
    routes in messages of earlier versions, which keep their places.
    ``evacuated`` are the places that get no new flows, ``cold_per_s`` is how
    many requests a second a cold server of the receiving agent's service
    bears, 0 for any number. ``link_mbps`` is the sender's link, 0 if
    unknown.
    """

    id: NodeId
    place: PlaceName
    version: int
    agents: tuple[AgentReport, ...] = ()
    peers: tuple[NodeId, ...] = ()
    departed: tuple[Departed, ...] = ()
    idle_s: float = 0.0
    service_size: int = 0
    config_age_s: float = float("inf")
    unused_1: tuple[tuple[int, tuple[str, ...]], ...] = ()
    unused_2: bool = True
    wants_report: bool = False
    period_s: float = 0.0
    evacuated: EvacuatedPlaces = EvacuatedPlaces()
    cold_per_s: float = 0.0
    link_mbps: float = 0.0


class Goodbye(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """A balancer stops and is to be removed."""

    id: NodeId


class FlowAsked(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Lookup query: asks an agent that knows all its flows for one.

    ``idle_s`` is how long the flow may be idle, 0 from processes of earlier
    versions.
    """

    flow: FlowId
    idle_s: float = 0.0


class FlowPacketAsked(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Reply to a lookup query by an agent that may not know the flow.

    It asks for a packet of the flow, to try it at its server.
    """

    flow: FlowId


class FlowHeld(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """The server of ``holder`` holds the flow.

    Sent as a lookup reply, and to a balancer as a hint.
    """

    flow: FlowId
    holder: NodeId


class FlowUnknown(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """Lookup reply: neither the sender nor its server holds the flow.

    ``view`` is the sender's :meth:`Members.view` of its service, 0 if it
    proves nothing. ``idle_s`` is how long the flow may have been idle for
    the reply to be true, infinite if the server has bounced its packet, and
    0 from processes of earlier versions.
    """

    flow: FlowId
    view: int = 0
    idle_s: float = 0.0


class ScopeAsked(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """An agent that found no holder of a flow asks where it may be held.

    The balancer replies once it has read what the store holds since.
    """

    flow: FlowId


class ScopeTold(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Reply: all that has to be searched before the flow may be reset.

    ``scope`` names every service, the only one included. It is confirmed by
    the store since the balancer was asked.
    """

    flow: FlowId
    scope: FlowScope


class EntryMissing(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """The store has no entry of the receiver, which is to write it again."""


class OtherService(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """Reply to a SYN of ``service`` that reached an agent of another one.

    ``report`` is of that agent, with its current service.
    """

    service: ServiceName
    report: AgentReport


RelayMessage: TypeAlias = (
    AgentReport
    | LoadReport
    | ReportAsked
    | MembersAsked
    | Hello
    | Goodbye
    | FlowAsked
    | FlowPacketAsked
    | FlowHeld
    | FlowUnknown
    | ScopeAsked
    | ScopeTold
    | EntryMissing
    | OtherService
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[RelayMessage] = msgspec.msgpack.Decoder(
    RelayMessage
)


def encode(msg: RelayMessage) -> bytes:
    """Return a message as MessagePack."""
    return _encoder.encode(msg)


def decode(data: bytes) -> RelayMessage:
    """Return the message in MessagePack data.

    :raises msgspec.DecodeError: if the bytes are not a valid message.
    """
    return _decoder.decode(data)

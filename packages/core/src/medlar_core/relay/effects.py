"""Effects of the relay, beside those shared by all parts."""

from typing import TypeAlias

import msgspec

from ..effects import CallStore
from ..effects import Record
from ..effects import Send
from ..ids import NodeId
from .forwarded import ForwardedPacket
from .segment import Endpoint


class ToCaller(msgspec.Struct, frozen=True):
    """Send a datagram to the caller of a flow."""

    caller: Endpoint
    data: bytes


class ToServer(msgspec.Struct, frozen=True):
    """Hand a datagram to the server beside this agent."""

    data: bytes


class Pass(msgspec.Struct, frozen=True):
    """Hand a packet to another agent."""

    dst: NodeId
    wrapped: ForwardedPacket


class ProbeServer(msgspec.Struct, frozen=True):
    """See whether anything listens where the server would."""


class FetchRoutes(msgspec.Struct, frozen=True):
    """Read the newer configuration that a balancer holds."""

    src: NodeId


RelayEffect: TypeAlias = (
    ToCaller
    | ToServer
    | Pass
    | ProbeServer
    | FetchRoutes
    | CallStore
    | Record
    | Send
)

"""Effects of the relay, in addition to those shared by all parts."""

from typing import TypeAlias

import msgspec

from ..effects import CallStore
from ..effects import Record
from ..effects import Send
from ..ids import NodeId
from .lookup.forwarded import ForwardedPacket
from .segment import Endpoint


class SendToCaller(msgspec.Struct, frozen=True):
    """Send a datagram to the caller of a flow."""

    caller: Endpoint
    data: bytes


class DeliverToServer(msgspec.Struct, frozen=True):
    """Deliver a datagram to the local server."""

    data: bytes


class ForwardToAgent(msgspec.Struct, frozen=True):
    """Forward a packet to an agent."""

    dst: NodeId
    packet: ForwardedPacket


class ProbeServer(msgspec.Struct, frozen=True):
    """Probe whether anything listens at the local server's address."""


class FetchRoutes(msgspec.Struct, frozen=True):
    """Fetch the newer route table of a balancer."""

    src: NodeId


RelayEffect: TypeAlias = (
    SendToCaller
    | DeliverToServer
    | ForwardToAgent
    | ProbeServer
    | FetchRoutes
    | CallStore
    | Record
    | Send
)

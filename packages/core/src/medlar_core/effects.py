"""Effects shared by all parts of the reducers.

A part returns effects as data; the node package carries them out, and
tests and the benchmark hand them to small fakes.
"""

from typing import Any

import msgspec

from .ids import NodeId
from .ids import StoreCallId
from .packets import Packet
from .store import StoreOp
from .timeline.events import TimelineEvent


class Send(msgspec.Struct, frozen=True):
    """Send a control message to a process; it may be lost or doubled.

    Messages are tagged structs. The executor seals them as JSON and
    sends up to 1,200 bytes in one datagram, more by HTTP.
    """

    dst: NodeId
    msg: Any


class Forward(msgspec.Struct, frozen=True):
    """Send a packet to the packet port of a process."""

    dst: NodeId
    packet: Packet


class Deliver(msgspec.Struct, frozen=True):
    """Hand a packet to the server beside this agent."""

    packet: Packet


class Return(msgspec.Struct, frozen=True):
    """Send a packet back to its caller through the fabric."""

    packet: Packet


class CallStore(msgspec.Struct, frozen=True):
    """Call the store; the answer comes back under the same id."""

    call: StoreCallId
    op: StoreOp


class Publish(msgspec.Struct, frozen=True):
    """Hand an event to the other parts of the same process."""

    event: Any


class Record(msgspec.Struct, frozen=True):
    """Put an event on the time line."""

    event: TimelineEvent


Effect = Send | Forward | Deliver | Return | CallStore | Publish | Record
"""What the shared executor carries out; parts may add their own."""

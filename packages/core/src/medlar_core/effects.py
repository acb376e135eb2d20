"""Effects shared by all parts of the reducers.

A part returns effects as data. The node package executes them; tests and
benchmarks execute them with fakes.
"""

from typing import Any

import msgspec

from .ids import NodeId
from .ids import StoreCallId
from .packets import Packet
from .store import StoreOp
from .timeline.events import TimelineEvent


class Send(msgspec.Struct, frozen=True):
    """Send a control message to a process; it may be lost or duplicated.

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
    """Deliver a packet to the local server."""

    packet: Packet


class Return(msgspec.Struct, frozen=True):
    """Send a packet back to its caller through the fabric."""

    packet: Packet


class CallStore(msgspec.Struct, frozen=True):
    """Call the store; ``StoreAnswered`` carries the same call id."""

    call: StoreCallId
    op: StoreOp


class Publish(msgspec.Struct, frozen=True):
    """Dispatch an event to all parts of the same process."""

    event: Any


class Record(msgspec.Struct, frozen=True):
    """Record an event on the time line."""

    event: TimelineEvent


Effect = Send | Forward | Deliver | Return | CallStore | Publish | Record
"""Effects of the shared executor; parts may add their own."""

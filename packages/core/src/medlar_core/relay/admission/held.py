"""New flows whose SYN an agent holds until its server has room."""

from collections.abc import Iterator

import msgspec

from ...ids import Seconds
from ..new_flow import NewFlow
from ..segment import Endpoint
from ..segment import FlowId
from ..terms import FlowTerms

SYN_SENT_AT_S = (0.0, 0.2, 0.6)
"""When a caller sends its SYN and the retransmissions, from the first one.
In a SYN ``Segment.ack`` counts these."""
ATTEMPT_S = 1.4
"""A caller gives an attempt up after this, if no server has answered."""
TRANSIT_S = 0.05
"""Most time that a packet takes from its caller to the agent, other than on
links that are overloaded."""

_PORT_BITS = 16


class Held(msgspec.Struct):
    """One new flow that waits.

    ``first_at`` is when its first SYN came, or would have come;
    ``received_at`` when this agent first received one; ``retransmission``
    is the number of the latest one received, ``copies`` counts them, each
    once.
    """

    new_flow: NewFlow
    first_at: float
    received_at: float
    retransmission: int
    copies: int = 1

    @property
    def flow_id(self) -> FlowId:
        """The flow."""
        return self.new_flow.flow_id

    @property
    def terms(self) -> FlowTerms:
        """What the flow's route asks for."""
        return self.new_flow.terms

    @property
    def size(self) -> int:
        """Size of the SYN in bytes."""
        return len(self.new_flow.segment.data)

    @property
    def caller(self) -> int:
        """The caller's address without its port."""
        return caller_address(self.flow_id.caller)

    def age_s(self, now: Seconds) -> float:
        """Return the time since the first SYN."""
        return now - self.first_at

    def record_copy(self, retransmission: int) -> None:
        """Record a further SYN of the flow; it keeps its place."""
        if retransmission > self.retransmission:
            self.retransmission = retransmission
            self.copies += 1

    def may_be_reset(self, now: Seconds) -> bool:
        """Return whether every SYN of the flow came here, so none opened it.

        A SYN that is missing may have been delivered to another server.
        """
        latest = self.age_s(now) + TRANSIT_S
        sent = sum(at_s <= latest for at_s in SYN_SENT_AT_S)
        return self.copies >= sent


class HeldFlows:
    """The held flows of one agent by id, with their size in bytes."""

    def __init__(self) -> None:
        self._flows: dict[FlowId, Held] = {}
        self.size = 0

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> Iterator[Held]:
        return iter(list(self._flows.values()))

    def get(self, flow_id: FlowId) -> Held | None:
        """Return a held flow."""
        return self._flows.get(flow_id)

    def add(self, held: Held) -> None:
        """Add a flow that is not held yet."""
        self._flows[held.flow_id] = held
        self.size += held.size

    def remove(self, flow_id: FlowId) -> None:
        """Remove a flow, if it is held."""
        held = self._flows.pop(flow_id, None)
        if held is not None:
            self.size -= held.size


def hold(now: Seconds, new_flow: NewFlow) -> Held:
    """Return a new flow as one that waits from now on."""
    retransmission = new_flow.segment.ack
    last = len(SYN_SENT_AT_S) - 1
    first_at = now - SYN_SENT_AT_S[min(retransmission, last)]
    return Held(new_flow, first_at, now, retransmission)


def caller_address(caller: Endpoint) -> int:
    """Return the address of a caller's endpoint without its port."""
    return caller >> _PORT_BITS

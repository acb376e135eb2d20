"""Messages of a lookup to other agents, and which agents it asks."""

from ...effects import Send
from ...ids import NodeId
from ...ids import Seconds
from ..effects import ForwardToAgent
from ..effects import RelayEffect
from ..member import Member
from ..messages import FlowHeld
from ..scope import FlowScope
from ..scope import ServiceOwner
from ..segment import FlowId
from ..segment import Segment
from .forwarded import ForwardedPacket
from .forwarded import ForwardReason
from .lookup_table import Lookup


def delegations(
    segment: Segment, others: tuple[ServiceOwner, ...], scope: FlowScope
) -> list[RelayEffect]:
    """Ask an agent of each other service for a lookup in its service."""
    return [
        ForwardToAgent(
            other.owner,
            ForwardedPacket(
                reason=int(ForwardReason.DELEGATED),
                service=other.service,
                data=segment.data,
                scope=scope,
            ),
        )
        for other in others
        if other.owner
    ]


def notices(
    lookup: Lookup, flow_id: FlowId, holder: NodeId
) -> list[RelayEffect]:
    """Notify those that wait for the result of a lookup of the holder."""
    return [
        Send(node, FlowHeld(flow_id, holder))
        for node in (lookup.via, lookup.asker)
        if node
    ]


def may_hold_flows(now: Seconds, member: Member) -> bool:
    """Return whether an agent's server may hold flows.

    An agent without a server denies all flows. It is not waited for if it
    is silent, as its instance may be gone.
    """
    return not (member.report.has_no_server and member.is_silent(now))

"""Hints of a balancer: the cached holders of flows."""

import collections

from ...ids import NodeId
from ..segment import FlowId

MAX_HINTS = 20_000


class Hints:
    """Holder of each flow as last reported by an agent.

    A full cache evicts the hint that was set the longest time ago.
    """

    def __init__(self) -> None:
        self._holders: collections.OrderedDict[FlowId, NodeId] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._holders)

    def put(self, flow_id: FlowId, holder: NodeId) -> None:
        """Set the holder of a flow."""
        self._holders[flow_id] = holder
        self._holders.move_to_end(flow_id)
        if len(self._holders) > MAX_HINTS:
            self._holders.popitem(last=False)

    def get(self, flow_id: FlowId) -> NodeId | None:
        """Return the cached holder of a flow, None if there is none."""
        return self._holders.get(flow_id)

    def remove(self, flow_id: FlowId) -> None:
        """Remove the hint of a flow, if there is one."""
        self._holders.pop(flow_id, None)

"""Hints of a balancer: which agent holds a flow."""

import collections

from ..ids import NodeId
from .segment import FlowId

HINTS_KEPT = 20_000


class Hints:
    """The latest holders that agents told; the oldest give way."""

    def __init__(self) -> None:
        self._holders: collections.OrderedDict[FlowId, NodeId] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._holders)

    def take(self, flow_id: FlowId, holder: NodeId) -> None:
        """Note the holder of a flow."""
        self._holders[flow_id] = holder
        self._holders.move_to_end(flow_id)
        if len(self._holders) > HINTS_KEPT:
            self._holders.popitem(last=False)

    def get(self, flow_id: FlowId) -> NodeId | None:
        """Return the holder of a flow if it is known."""
        return self._holders.get(flow_id)

    def forget(self, flow_id: FlowId) -> None:
        """Drop the hint of a flow."""
        self._holders.pop(flow_id, None)

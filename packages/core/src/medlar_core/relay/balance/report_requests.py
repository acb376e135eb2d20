"""Requests for the reports of agents that may be down or whose load is old."""

from ...ids import NodeId
from ...ids import Seconds
from ..member import Member
from ..member import NEVER

REPEAT_REQUEST_S = 0.5
"""Time between two requests to an agent that may have to be removed."""
REPEAT_SILENT_S = 1.0
"""The same while only its reply is missing."""


class ReportRequests:
    """Requests of one process that have not been replied to."""

    def __init__(self) -> None:
        self._requested_at: dict[NodeId, float] = {}
        self._unsent: list[NodeId] = []

    def add(self, now: Seconds, member: Member) -> None:
        """Request a report; repeated after a time without a reply."""
        node = member.report.id
        if now - self._requested_at.get(node, NEVER) < REPEAT_REQUEST_S:
            return
        if member.asked_at is None:
            member.asked_at = now
        self._requested_at[node] = now
        self._unsent.append(node)

    def repeat(self, now: Seconds) -> None:
        """Repeat the request that has waited for a reply the longest.

        An agent that was cut off would else stay silent until its next
        report, which may be long in a large fleet.
        """
        requested_at = self._requested_at
        node = min(requested_at, key=requested_at.__getitem__, default=None)
        if node is None or now - requested_at[node] < REPEAT_SILENT_S:
            return
        requested_at[node] = now
        self._unsent.append(node)

    def remove(self, node: NodeId) -> None:
        """Forget the request to an agent that replied or was removed."""
        self._requested_at.pop(node, None)

    def pop_unsent(self) -> list[NodeId]:
        """Return the agents to send a request to, since the last call."""
        nodes, self._unsent = self._unsent, []
        return nodes

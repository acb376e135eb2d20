"""Agents that a process has removed from its membership."""

from ..ids import NodeId
from ..ids import Seconds
from .messages import Departed

DEPARTED_RETENTION_S = 30.0
"""For so long a removed agent is named in hello messages."""


class Departures:
    """The agents that were removed recently, by id.

    A report is outdated if the agent sent it before its removal. A later
    one, received from the agent itself, proves that it is alive.
    """

    def __init__(self) -> None:
        self._entries: dict[NodeId, tuple[Departed, float]] = {}

    def add(self, now: Seconds, departed: Departed) -> None:
        """Record a removal."""
        self._entries[departed.id] = (departed, now)

    def discard(self, node: NodeId) -> None:
        """Forget the removal of an agent that is known again."""
        self._entries.pop(node, None)

    def is_outdated(self, node: NodeId, stamp: tuple[int, int]) -> bool:
        """Return whether a report is no later than the agent's removal."""
        entry = self._entries.get(node)
        return entry is not None and stamp <= entry[0].stamp

    def has_incarnation(self, node: NodeId, incarnation: int) -> bool:
        """Return whether this incarnation or a later one was removed."""
        entry = self._entries.get(node)
        return entry is not None and incarnation <= entry[0].incarnation

    def notices(self) -> tuple[Departed, ...]:
        """Return the removals that hello messages name."""
        return tuple(departed for departed, _ in self._entries.values())

    def expire(self, now: Seconds) -> None:
        """Forget removals after ``DEPARTED_RETENTION_S``."""
        self._entries = {
            node: (departed, at)
            for node, (departed, at) in self._entries.items()
            if now - at <= DEPARTED_RETENTION_S
        }

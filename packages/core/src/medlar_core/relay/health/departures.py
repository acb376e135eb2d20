"""Agents that a process has removed from its membership."""

import msgspec

from ...ids import NodeId
from ...ids import Seconds
from ...ids import ServiceName
from ..messages import Departed

DEPARTED_RETENTION_S = 30.0
"""For so long a removed agent is named in hello messages."""
NOTED_RETENTION_S = 2 * DEPARTED_RETENTION_S
"""Longer than any process names the same removal."""


class _Removal(msgspec.Struct):
    """A removal at ``at`` of an agent that was last heard at ``heard_at``.

    ``is_own`` is unset if the agent was only named in a hello message as
    removed, and was not known here.
    """

    departed: Departed
    at: float
    heard_at: float
    is_own: bool


class Departures:
    """The agents that were removed recently, by id.

    A report is outdated if the agent sent it before its removal. A later
    one, received from the agent itself, proves that it is alive.

    An agent is lost if it was removed without a report that its server has
    ended. The server may still run and hold flows.
    """

    def __init__(self) -> None:
        self._removals: dict[NodeId, _Removal] = {}

    @property
    def lost_count(self) -> int:
        """Number of lost agents that are remembered."""
        return sum(
            not removal.departed.is_final
            for removal in self._removals.values()
        )

    def add(self, now: Seconds, departed: Departed, heard_at: float) -> None:
        """Record the removal of an agent by this process."""
        self._removals[departed.id] = _Removal(departed, now, heard_at, True)

    def note(self, now: Seconds, departed: Departed) -> None:
        """Record that another process has removed an unknown agent."""
        known = self._removals.get(departed.id)
        if known is None:
            self._removals[departed.id] = _Removal(departed, now, now, False)
        elif known.departed.stamp < departed.stamp:
            known.departed = departed

    def discard(self, node: NodeId) -> None:
        """Forget the removal of an agent that is known again."""
        self._removals.pop(node, None)

    def is_outdated(self, node: NodeId, stamp: tuple[int, int]) -> bool:
        """Return whether a report is no later than the agent's removal."""
        removal = self._own(node)
        return removal is not None and stamp <= removal.departed.stamp

    def has_incarnation(self, node: NodeId, incarnation: int) -> bool:
        """Return whether this incarnation or a later one was removed."""
        removal = self._own(node)
        return (
            removal is not None and incarnation <= removal.departed.incarnation
        )

    def notices(self, now: Seconds) -> tuple[Departed, ...]:
        """Return the recent removals, which hello messages name.

        Those that other processes have named are left out, as removals
        would be passed on without end.
        """
        return tuple(
            removal.departed
            for removal in self._removals.values()
            if removal.is_own and now - removal.at <= DEPARTED_RETENTION_S
        )

    def lost(
        self, now: Seconds, service: ServiceName, idle_s: float
    ) -> list[NodeId]:
        """Return the lost agents of a service whose servers may hold flows.

        Flows that idle for over ``idle_s`` seconds have expired, and no
        packet reaches a server without its agent.
        """
        return [
            node
            for node, removal in self._removals.items()
            if not removal.departed.is_final
            and removal.departed.service == service
            and now - removal.heard_at <= idle_s
        ]

    def expire(self, now: Seconds, idle_s: float) -> None:
        """Forget old removals; lost agents only after ``idle_s`` seconds."""
        self._removals = {
            node: removal
            for node, removal in self._removals.items()
            if now - removal.at <= max(idle_s, _retention_s(removal))
        }

    def _own(self, node: NodeId) -> _Removal | None:
        removal = self._removals.get(node)
        return removal if removal is not None and removal.is_own else None


def _retention_s(removal: _Removal) -> float:
    return DEPARTED_RETENTION_S if removal.is_own else NOTED_RETENTION_S

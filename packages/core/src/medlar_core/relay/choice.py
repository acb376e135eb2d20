"""Which server of a service gets a new flow."""

from collections.abc import Collection
import random

import msgspec

from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from .members import Member
from .messages import AgentReport
from .messages import AgentState

FRESH_S = 0.35
"""An agent whose report is older gets no new flow by choice."""
COMPARED = 3
"""Peers compared for a flow; comparing all would send the flows of a
report's lifetime to one server."""
FLOW_LOAD = 0.1
"""Load of an open flow that waits, beside one that is served."""
FAR_LOAD = 0.3
"""What a server at another place than the caller's balancer is heavier,
as answers to it and uploads cross places."""
FULL_WAITING = 3.0
"""Flows a slot whose callers wait, from which on a further caller would
wait for longer than it is worth."""
FULL_YIELDING = 2.0
"""The same for a caller that gives way: what is left is kept for urgent
ones."""
COLD_FACTOR = 1.6
"""How much heavier the load of a server is that has just started."""


class Pick(msgspec.Struct, frozen=True):
    """The agent that gets a flow, and whether its server is full too."""

    node: NodeId
    full: bool


class Choice:
    """Compares the own server with some others."""

    def __init__(self, node: NodeId, rng: random.Random) -> None:
        self._node = node
        self._rng = rng

    def pick(
        self,
        now: Seconds,
        own: AgentReport | None,
        members: list[Member],
        without: Collection[NodeId],
        near: PlaceName | None,
        limit: float = FULL_WAITING,
    ) -> Pick | None:
        """Return the agent whose server has most room, None for none.

        ``own`` is this agent's report if its server takes flows;
        ``near`` is the place of the caller's balancer if it is known;
        from ``limit`` waiting callers a slot on a server is full.
        """
        peers = [m for m in members if _takes(now, m, without)]
        if len(peers) > COMPARED:
            peers = self._rng.sample(peers, COMPARED)
        found = [(m.report, m.assigned) for m in peers]
        if own is not None and self._node not in without:
            found.insert(0, (own, 0))
        if not found:
            return None
        full, _, rank = min(
            (*_order(report, assigned, near, limit), rank)
            for rank, (report, assigned) in enumerate(found)
        )
        return Pick(found[rank][0].id, full)


def _order(
    report: AgentReport, assigned: int, near: PlaceName | None, limit: float
) -> tuple[bool, float]:
    """Return by what agents are ordered: those that are full come last."""
    full = report.waiting + assigned >= limit * report.slots
    far = 0.0 if near is None or report.place == near else FAR_LOAD
    return full, load(report, assigned) + far


def load(report: AgentReport, more: int = 0) -> float:
    """Return how loaded a server is, with some more flows, per slot."""
    work = report.busy + more + FLOW_LOAD * report.flows
    if report.cold:
        work = (work + 1.0) * COLD_FACTOR
    return work / max(1, report.slots)


def _takes(now: Seconds, member: Member, without: Collection[NodeId]) -> bool:
    report = member.report
    return (
        report.state is AgentState.READY
        and report.id not in without
        and not member.is_silent(now, FRESH_S)
    )

"""Which server of a service gets a new flow."""

from collections.abc import Collection
import random

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
COLD_FACTOR = 1.6
"""How much heavier the load of a server is that has just started."""


class Choice:
    """Compares the own server with some others."""

    def __init__(self, node: NodeId, rng: random.Random) -> None:
        self._node = node
        self._rng = rng
        self._given: dict[NodeId, list[float]] = {}

    def pick(
        self,
        now: Seconds,
        own: AgentReport | None,
        members: list[Member],
        without: Collection[NodeId],
        near: PlaceName | None,
    ) -> NodeId | None:
        """Return the agent whose server has most room, None for none.

        ``own`` is this agent's report if its server takes flows;
        ``near`` is the place of the caller's balancer if it is known.
        """
        peers = [m for m in members if _takes(now, m, without)]
        if len(peers) > COMPARED:
            peers = self._rng.sample(peers, COMPARED)
        best = None
        lowest = float("inf")
        if own is not None and self._node not in without:
            best = self._node
            lowest = load(own) + _distance(own, near)
        for member in peers:
            weight = load(member.report, self._sent_since(member))
            weight += _distance(member.report, near)
            if weight < lowest:
                best = member.report.id
                lowest = weight
        if best is not None and best != self._node:
            self._given.setdefault(best, []).append(now)
        return best

    def _sent_since(self, member: Member) -> int:
        """Return the flows given to an agent since its last report."""
        given = self._given.get(member.report.id)
        if not given:
            return 0
        given[:] = [at for at in given if at > member.heard_at]
        return len(given)


def load(report: AgentReport, more: int = 0) -> float:
    """Return how loaded a server is, with some more flows, per slot."""
    work = report.busy + more + FLOW_LOAD * report.flows
    if report.cold:
        work = (work + 1.0) * COLD_FACTOR
    return work / max(1, report.slots)


def _distance(report: AgentReport, near: PlaceName | None) -> float:
    return 0.0 if near is None or report.place == near else FAR_LOAD


def _takes(now: Seconds, member: Member, without: Collection[NodeId]) -> bool:
    report = member.report
    return (
        report.state is AgentState.READY
        and report.id not in without
        and not member.is_silent(now, FRESH_S)
    )

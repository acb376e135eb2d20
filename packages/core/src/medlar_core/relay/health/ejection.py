"""Which servers of a service are left out of new flows, and how far.

Answers servers that fail while they announce themselves: others get their
flows, but never so many servers are left out that the rest is overloaded.
"""

from collections.abc import Iterable
from typing import Protocol

import msgspec
import xxhash

from ...ids import NodeId
from ...ids import Seconds
from ..member import Member
from ..messages import AgentReport
from ..messages import AgentState
from ..segment import FlowId
from ..terms import FlowTerms
from .state import HealthState

MAX_LEFT_OUT_SHARE = 1 / 3
"""Largest share of a service's capacity that is left out."""
PANIC_SHARE = 1 / 2
"""If more of it looks bad, the cause is elsewhere, and all are used."""
SUSPECT_PERMILLE = 100
"""New flows in a thousand that may go to a suspect: they tell whether it
still fails."""
SUSPECT_UNSAFE_PERMILLE = 20
"""The same for flows whose requests callers can't repeat."""
PROBATION_PERMILLE = 400
REFRESH_S = 0.05
"""The servers to leave out are computed anew after this, not for each
flow."""
MAX_REGIONS = 64
"""Combinations of regions remembered, more than routes have."""


class LeftOut(msgspec.Struct, frozen=True):
    """The servers that get few new flows, with their states."""

    states: dict[NodeId, HealthState] = {}

    def admits(self, node: NodeId, flow: FlowId, terms: FlowTerms) -> bool:
        """Return whether a flow may go to a server.

        The result is the same in every process, for each copy of a SYN.
        """
        state = self.states.get(node)
        if state is None:
            return True
        seed = flow.key & 0xFFFFFFFF
        draw = xxhash.xxh3_64_intdigest(node.encode(), seed) % 1_000
        return draw < _permille(state, terms)


def left_out(reports: Iterable[AgentReport]) -> LeftOut:
    """Return which servers of a service to leave out, by their reports.

    Suspects go before servers on probation, up to a share of the slots of
    all servers that may get flows.
    """
    usable = [r for r in reports if _may_get_flows(r)]
    outliers = [r for r in usable if r.health is not HealthState.HEALTHY]
    if not outliers:
        return LeftOut()
    capacity = sum(r.slots for r in usable)
    if sum(r.slots for r in outliers) > PANIC_SHARE * capacity:
        return LeftOut()
    room = MAX_LEFT_OUT_SHARE * capacity
    states: dict[NodeId, HealthState] = {}
    for report in sorted(outliers, key=lambda r: (r.health.value, r.id)):
        if report.slots <= room:
            room -= report.slots
            states[report.id] = report.health
    return LeftOut(states)


class _NewFlow(Protocol):
    """What :class:`Ejection` reads of a new flow."""

    @property
    def flow_id(self) -> FlowId: ...

    @property
    def declined(self) -> tuple[NodeId, ...]: ...

    @property
    def terms(self) -> FlowTerms: ...

    @property
    def regions(self) -> tuple[str, ...]: ...


class _Computed(msgspec.Struct, frozen=True):
    left_out: LeftOut
    at: float


class Ejection:
    """Applies :func:`left_out` to the members that one agent knows."""

    def __init__(self) -> None:
        self._computed: dict[tuple[str, ...], _Computed] = {}
        """By the regions of a route: each has servers of its own."""

    def usable(
        self,
        now: Seconds,
        own: AgentReport | None,
        members: list[Member],
        new_flow: _NewFlow,
    ) -> list[Member]:
        """Return the members that a new flow may go to; all if none may.

        ``members`` are those in the flow's regions, ``own`` is the report
        of this agent if it is as well. Those that have declined the flow
        are none of them.
        """
        computed = self._computed.get(new_flow.regions)
        if computed is None or now - computed.at >= REFRESH_S:
            self._compute(now, own, members, new_flow.regions)
        if not self._left_out(new_flow).states:
            return members
        usable = [m for m in members if self.admits(m.report.id, new_flow)]
        if all(m.report.id in new_flow.declined for m in usable):
            return members
        return usable

    def admits(self, node: NodeId, new_flow: _NewFlow) -> bool:
        """Return whether a new flow may go to a server."""
        found = self._left_out(new_flow)
        if not found.states:
            return True
        return found.admits(node, new_flow.flow_id, new_flow.terms)

    def gauges(self) -> dict[str, float]:
        """Return current gauge values by metric name."""
        nodes = {n for c in self._computed.values() for n in c.left_out.states}
        return {"servers_left_out": len(nodes)}

    def _left_out(self, new_flow: _NewFlow) -> LeftOut:
        computed = self._computed.get(new_flow.regions)
        return computed.left_out if computed else LeftOut()

    def _compute(
        self,
        now: Seconds,
        own: AgentReport | None,
        members: list[Member],
        regions: tuple[str, ...],
    ) -> None:
        """Compute the servers to leave out of flows of some regions."""
        reports = [m.report for m in members if not m.is_silent(now)]
        if own is not None:
            reports.append(own)
        self._computed.pop(regions, None)
        if len(self._computed) >= MAX_REGIONS:
            del self._computed[next(iter(self._computed))]
        self._computed[regions] = _Computed(left_out(reports), now)


def _may_get_flows(report: AgentReport) -> bool:
    return report.state is AgentState.READY and not report.evacuated


def _permille(state: HealthState, terms: FlowTerms) -> int:
    match state:
        case HealthState.HEALTHY:
            return 1_000
        case HealthState.PROBATION:
            return PROBATION_PERMILLE
        case HealthState.SUSPECT:
            if terms.is_idempotent:
                return SUSPECT_PERMILLE
            return SUSPECT_UNSAFE_PERMILLE

"""Choice of the server of a service that gets a new flow."""

from collections.abc import Collection
import random

import msgspec

from ...ids import NodeId
from ...ids import PlaceName
from ...ids import Seconds
from ..member import Member
from ..messages import AgentReport

RECENT_LOAD_S = 0.2
"""Largest age of a load figure by which a flow is placed."""
REQUEST_AGE_S = 0.05
"""A figure that is older is requested anew: the flow may have to wait for
others."""
MAX_REPORT_AGE_S = 0.35
"""An agent whose last report is older is not chosen for new flows."""
MAX_COMPARED_PEERS = 3
"""Peers compared for each flow, picked at random. Comparing all of them
would send all flows to the same server until its next report."""
MAX_REQUESTS = 2
"""Peers whose load is requested for one flow."""
FLOW_LOAD = 0.1
"""Load of an open flow, relative to one with a request in progress."""
REMOTE_PLACE_LOAD = 0.3
"""Load added to a server at another place than the caller's balancer, as
uploads to it and its responses then cross between places."""
MAX_WAITING_PER_SLOT = 3.0
"""Waiting flows per slot from which on a server is full: a further caller
would wait too long for a response to be useful."""
MAX_WAITING_PER_SLOT_LOW_PRIORITY = 2.0
"""The same limit for flows of low priority; the remaining room is reserved for
flows of higher priority."""
OWN_WORK = 0.25
"""Part of a new flow's own work that counts: of idle servers the faster one
is taken, but no flow waits for it."""
COLD_FACTOR = 1.6
"""Load factor of a server that has just started."""


class Selection(msgspec.Struct, frozen=True):
    """The agent chosen for a flow, and whether its server is full."""

    node: NodeId
    full: bool


class Choice:
    """Compares the load of the local server and of some peers."""

    def __init__(self, node: NodeId, rng: random.Random) -> None:
        self._node = node
        self._rng = rng

    def sample(
        self,
        now: Seconds,
        members: list[Member],
        excluded: Collection[NodeId],
    ) -> list[Member]:
        """Return some peers to compare, picked at random.

        At most ``MAX_REQUESTS`` of them have no recent load figure.
        """
        peers = self._peers(now, members, excluded)
        outdated = [m for m in peers if not has_recent_load(now, m)]
        left_out = {m.report.id for m in outdated[MAX_REQUESTS:]}
        return [m for m in peers if m.report.id not in left_out]

    def _peers(
        self,
        now: Seconds,
        members: list[Member],
        excluded: Collection[NodeId],
    ) -> list[Member]:
        peers = [m for m in members if _is_eligible(now, m, excluded)]
        if len(peers) > MAX_COMPARED_PEERS:
            peers = self._rng.sample(peers, MAX_COMPARED_PEERS)
        return peers

    def select(
        self,
        now: Seconds,
        own_report: AgentReport | None,
        members: list[Member],
        excluded: Collection[NodeId],
        caller_place: PlaceName | None,
        limit: float = MAX_WAITING_PER_SLOT,
    ) -> Selection | None:
        """Return the agent with the least loaded server, None for none.

        Compares all members given, or some of them if these are many.

        ``own_report`` is this agent's report if its server accepts flows,
        ``caller_place`` the place of the caller's balancer if known. A
        server with ``limit`` waiting callers per slot is full.
        """
        peers = self._peers(now, members, excluded)
        candidates = [(m.report, m.assigned) for m in peers]
        if own_report is not None and self._node not in excluded:
            candidates.insert(0, (own_report, 0))
        if not candidates:
            return None
        typical_ms = _typical_service_ms([r for r, _ in candidates])
        full, _, rank = min(
            (
                *_sort_key(
                    report, recent_flows, caller_place, limit, typical_ms
                ),
                rank,
            )
            for rank, (report, recent_flows) in enumerate(candidates)
        )
        return Selection(candidates[rank][0].id, full)


def _sort_key(
    report: AgentReport,
    recent_flows: int,
    caller_place: PlaceName | None,
    limit: float,
    typical_ms: float,
) -> tuple[bool, float]:
    """Return the sort key of an agent: full ones last, then by cost.

    ``recent_flows`` counts the flows forwarded to it since its report. The
    cost is the time until a new flow is served, relative to the mean service
    time of the compared servers, ``typical_ms``.
    """
    full = report.waiting + recent_flows >= limit * report.slots
    penalty = (
        0.0
        if caller_place is None or report.place == caller_place
        else REMOTE_PLACE_LOAD
    )
    slowness = 1.0
    if typical_ms and report.service_ms:
        slowness = report.service_ms / typical_ms
    work = load(report, recent_flows) + OWN_WORK
    return full, work * slowness + penalty


def _typical_service_ms(reports: list[AgentReport]) -> float:
    """Return the mean service time of some servers, 0 if none is known."""
    known = [r.service_ms for r in reports if r.service_ms]
    return sum(known) / len(known) if known else 0.0


def load(report: AgentReport, extra_flows: int = 0) -> float:
    """Return the load per slot of a server with ``extra_flows`` added."""
    work = report.busy + extra_flows + FLOW_LOAD * report.flows
    if report.cold:
        work = (work + 1.0) * COLD_FACTOR
    return work / max(1, report.slots)


def has_recent_load(now: Seconds, member: Member) -> bool:
    """Return whether a member's load is known well enough to decide.

    True for one that reports often: another report is on its way.
    """
    if member.report.period_s <= RECENT_LOAD_S:
        return True
    return now - member.last_report_at <= REQUEST_AGE_S


def _is_eligible(
    now: Seconds, member: Member, excluded: Collection[NodeId]
) -> bool:
    report = member.report
    return (
        report.accepts_flows
        and report.id not in excluded
        and not member.is_silent(now, MAX_REPORT_AGE_S)
    )

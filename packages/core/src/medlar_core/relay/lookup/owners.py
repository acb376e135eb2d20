"""Owners: the agents that receive the packets of flows without a hint.

Every process ranks the agents of a service for each bucket of flows by
rendezvous hashing. Processes with the same membership choose the same
owner, so that retransmissions reach one agent, and adding or removing an
agent moves few buckets.
"""

from collections.abc import Sequence

import xxhash

from ...ids import NodeId
from ...ids import Seconds
from ...ids import ServiceName
from ..member import Member
from ..member import recently_reporting
from ..members import Members
from ..messages import AgentState

BUCKETS = 256
OWNERS_PER_BUCKET = 2
"""The owner and its backup owner."""

CUT_OFF_S = 1.5
"""A process that hears no agent for longer is taken to be cut off."""
MISSED_REPORTS = 12.0
"""The same in reports that it should have received, if these take longer."""

_ACCEPTING = (AgentState.READY,)
_ALIVE = (AgentState.READY, AgentState.DRAINING, AgentState.DOWN)


class Owners:
    """Owners of all buckets of one service, ranked when first used."""

    def __init__(self, ids: Sequence[NodeId]) -> None:
        self.ids = tuple(sorted(ids))
        self._unsorted = list(ids)
        self._ranked: dict[int, tuple[NodeId, ...]] = {}

    def are(self, ids: list[NodeId]) -> bool:
        """Return whether the owners are chosen among just these agents."""
        return ids == self._unsorted or tuple(sorted(ids)) == self.ids

    def ranked(self, key: int) -> tuple[NodeId, ...]:
        """Return the owner of a flow's bucket, then its backup owner.

        ``key`` is the hash of the flow. There is no backup owner if there
        is only one agent, and the result is empty if there is none.
        """
        bucket = key % BUCKETS
        known = self._ranked.get(bucket)
        if known is None:
            known = tuple(
                sorted(self.ids, key=lambda node: _score(node, bucket))[
                    :OWNERS_PER_BUCKET
                ]
            )
            self._ranked[bucket] = known
        return known


class OwnerRanking:
    """Owners of all services, from the membership of one process.

    ``has_agent_reports`` tells whether enough agents are heard to forward
    packets: a process that is cut off from them hears none.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self.by_service: dict[ServiceName, Owners] = {}
        self.has_agent_reports = False

    def update(self, now: Seconds) -> None:
        """Rank the agents of each service anew.

        Cached rankings are kept while the eligible agents stay the same.
        """
        by_service: dict[ServiceName, list[Member]] = {}
        ready: list[Member] = []
        for member in self._members.agents.values():
            by_service.setdefault(member.report.service, []).append(member)
            if member.report.state is AgentState.READY:
                ready.append(member)
        self.has_agent_reports = self._are_heard(now, ready)
        owners: dict[ServiceName, Owners] = {}
        for service, members in by_service.items():
            ids = eligible(now, members)
            known = self.by_service.get(service)
            if known is None or not known.are(ids):
                known = Owners(ids)
            owners[service] = known
        self.by_service = owners

    def _are_heard(self, now: Seconds, ready: list[Member]) -> bool:
        if not ready:
            return False
        if 2 * len(recently_reporting(ready, now)) < len(ready):
            return False
        period_s = max(member.report.period_s for member in ready)
        limit_s = max(CUT_OFF_S, MISSED_REPORTS * period_s / len(ready))
        return now - self._members.heard_at <= limit_s


def eligible(now: Seconds, members: list[Member]) -> list[NodeId]:
    """Return the agents that may own buckets.

    These are the agents that accept new flows and have reported recently.
    If that is less than half of those that accept new flows, silent ones
    are eligible too: it is more likely that this process receives no
    messages than that so many agents are down. If none accepts new flows,
    agents with open flows are eligible, and in the last resort all.
    """
    accepting = [
        m
        for m in members
        if m.report.state in _ACCEPTING and not m.report.evacuated
    ]
    reporting = recently_reporting(accepting, now)
    if accepting:
        chosen = (
            reporting if 2 * len(reporting) >= len(accepting) else accepting
        )
    else:
        alive = [m for m in members if m.report.state in _ALIVE]
        chosen = recently_reporting(alive, now) or alive or members
    return [member.report.id for member in chosen]


def _score(node: NodeId, bucket: int) -> int:
    return xxhash.xxh3_64_intdigest(node.encode(), seed=bucket)

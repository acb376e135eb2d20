"""Which agents of a service are asked first about a flow.

Every process ranks the agents of a service for a bucket of flows by
rendezvous hashing, so that equal beliefs lead all copies of a packet to
one agent, and a change of one agent moves few buckets.
"""

from collections.abc import Sequence

import xxhash

from ..ids import NodeId
from ..ids import Seconds
from .members import heard
from .members import Member
from .messages import AgentState

BUCKETS = 256
RANKS = 2
"""Agents kept for each bucket: the owner and its stand-in."""

_TAKING = (AgentState.READY,)
_ALIVE = (AgentState.READY, AgentState.DRAINING, AgentState.DOWN)


class Owners:
    """Ranks agents for each bucket, as far as buckets are used."""

    def __init__(self, ids: Sequence[NodeId]) -> None:
        self.ids = tuple(sorted(ids))
        self._ranked: dict[int, tuple[NodeId, ...]] = {}

    def ranked(self, key: int) -> tuple[NodeId, ...]:
        """Return the owner of a flow's bucket and who stands in for it."""
        bucket = key % BUCKETS
        known = self._ranked.get(bucket)
        if known is None:
            known = tuple(
                sorted(self.ids, key=lambda node: _score(node, bucket))[:RANKS]
            )
            self._ranked[bucket] = known
        return known


def eligible(now: Seconds, members: list[Member]) -> list[NodeId]:
    """Return the agents that own buckets.

    Those that take new flows and were heard lately; where they are less
    than half of those that say they take flows, the own hearing is in
    doubt rather than they, and silence does not count.
    """
    taking = [m for m in members if m.report.state in _TAKING]
    spoken = heard(taking, now)
    if taking:
        chosen = spoken if 2 * len(spoken) >= len(taking) else taking
    else:
        alive = [m for m in members if m.report.state in _ALIVE]
        chosen = heard(alive, now) or alive or members
    return [member.report.id for member in chosen]


def _score(node: NodeId, bucket: int) -> int:
    return xxhash.xxh3_64_intdigest(node.encode(), seed=bucket)

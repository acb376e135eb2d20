"""Which agents a balancer tells first of a change of evacuated places."""

from collections.abc import Collection
from collections.abc import Iterable

from ...ids import NodeId
from ..member import Member
from .known_evacuation import EvacuationChange

COPIES = 8
"""Balancers that tell each agent, as some may be cut off or not know yet."""


def first_to_tell(
    node: NodeId,
    balancers: Collection[NodeId],
    agents: Iterable[Member],
    change: EvacuationChange,
) -> list[NodeId]:
    """Return this balancer's share of the agents.

    Those of the changed places come first. Balancers that know the same
    processes start evenly spread, so that each agent is told by
    ``COPIES`` of them, and by the first one at once.
    """
    changed = {*change.evacuated, *change.taken_back}
    places = {m.report.id: m.report.place for m in agents}
    order = sorted(places)
    affected = [n for n in order if places[n] in changed]
    others = [n for n in order if places[n] not in changed]
    rank = sum(other < node for other in balancers)
    count = len(balancers) + 1
    return [
        *_part(affected, rank, count),
        *_part(others, rank, count),
    ]


def _part(nodes: list[NodeId], rank: int, count: int) -> list[NodeId]:
    """Return one of ``count`` overlapping parts of a list."""
    size = min(len(nodes), -(-len(nodes) * COPIES // count))
    start = rank * len(nodes) // count
    return (nodes[start:] + nodes[:start])[:size]

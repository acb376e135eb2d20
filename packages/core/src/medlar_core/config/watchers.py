"""Choice of the balancers that watch the store: one in each place."""

import xxhash

from ..ids import NodeId
from ..members.view import View


def is_watcher(view: View, node: NodeId) -> bool:
    """Return whether a balancer has the lowest hash in its place."""
    places = [
        balancer.place for balancer in view.balancers if balancer.id == node
    ]
    if not places:
        return False
    same_place = [
        balancer.id
        for balancer in view.balancers
        if balancer.place == places[0]
    ]
    return min(same_place, key=_rank) == node


def _rank(node: NodeId) -> int:
    return xxhash.xxh3_64_intdigest(f"watch>{node}".encode())

"""Who watches the store: one balancer in each place, by hash."""

import xxhash

from ..ids import NodeId
from ..members.view import View


def is_watcher(view: View, node: NodeId) -> bool:
    """Return whether a balancer ranks first among those of its place."""
    places = [held.place for held in view.balancers if held.id == node]
    if not places:
        return False
    near = [held.id for held in view.balancers if held.place == places[0]]
    return min(near, key=_rank) == node


def _rank(node: NodeId) -> int:
    return xxhash.xxh3_64_intdigest(f"watch>{node}".encode())

"""When and to which peers a process sends its version."""

import random

import msgspec

from ..effects import Send
from ..ids import NodeId
from ..ids import Seconds
from ..members.view import View
from .messages import Have

PERIOD_S = 2.0
BURST_PERIOD_S = 0.5
BURST_ROUNDS = 4
BURST_FANOUT = 3
MAX_BURST_FANOUT = 8
JITTER = 0.25


class Peers(msgspec.Struct, frozen=True):
    """The processes that gossip may be sent to.

    These are the members of the view, or the seeds if there is no view
    yet. ``fanout`` is the number of peers in each round after a change.
    Agents know few other processes, so a balancer's fanout covers its
    share of the agents. ``balancers`` are the known balancers in ``ids``.
    """

    ids: tuple[NodeId, ...]
    fanout: int = BURST_FANOUT
    balancers: tuple[NodeId, ...] = ()

    def sample(self, rng: random.Random, count: int) -> list[NodeId]:
        """Return at most ``count`` distinct random peers."""
        return rng.sample(self.ids, min(count, len(self.ids)))

    def sample_balancers(self, rng: random.Random, count: int) -> list[NodeId]:
        """Return at most ``count`` distinct random balancers."""
        return rng.sample(self.balancers, min(count, len(self.balancers)))


def peers_of(view: View | None, seeds: Peers, node: NodeId) -> Peers:
    """Return the peers of a process, without itself."""
    if view is None:
        return seeds
    balancer_ids = (member.id for member in view.balancers)
    balancers = tuple(peer for peer in balancer_ids if peer != node)
    servers = (member.id for member in view.servers if member.id != node)
    ids = (*balancers, *servers)
    share = len(view.servers) // max(1, len(view.balancers))
    fanout = min(MAX_BURST_FANOUT, max(BURST_FANOUT, share))
    return Peers(ids, fanout, balancers) if ids else seeds


class Gossip:
    """Anti-entropy: one peer a period, a burst to several after a change."""

    def __init__(self, rng: random.Random, seeds: Peers) -> None:
        self._rng = rng
        self.peers = seeds
        self._burst: list[NodeId] = []
        self._due: Seconds | None = None

    def start_burst(self, now: Seconds) -> None:
        """Send to distinct peers in the next rounds, starting at once."""
        count = self.peers.fanout * BURST_ROUNDS
        self._burst = self.peers.sample(self._rng, count)
        self._due = now

    def tick(self, now: Seconds, have: Have) -> list[Send]:
        """Return the messages that are due."""
        if self._due is None:
            self._due = Seconds(now + self._rng.random() * PERIOD_S)
        if now < self._due:
            return []
        chosen = self._burst[: self.peers.fanout]
        self._burst = self._burst[self.peers.fanout :]
        period = BURST_PERIOD_S if self._burst else PERIOD_S
        factor = self._rng.uniform(1 - JITTER, 1 + JITTER)
        self._due = Seconds(now + period * factor)
        if not chosen:
            chosen = self.peers.sample(self._rng, 1)
        return [Send(peer, have) for peer in chosen]

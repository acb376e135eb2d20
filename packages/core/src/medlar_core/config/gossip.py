"""Whom a process tells its version, and when."""

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
    """Every process that may be told; seeds stand in for a view.

    ``fanout`` is how many are told in a round after a change. Agents
    know few others, so balancers tell as many agents as each has.
    ``balancers`` are those of ``ids`` that are known to be balancers.
    """

    ids: tuple[NodeId, ...]
    fanout: int = BURST_FANOUT
    balancers: tuple[NodeId, ...] = ()

    def some(self, rng: random.Random, count: int) -> list[NodeId]:
        """Return up to so many different peers."""
        return rng.sample(self.ids, min(count, len(self.ids)))

    def some_balancers(self, rng: random.Random, count: int) -> list[NodeId]:
        """Return up to so many different balancers."""
        return rng.sample(self.balancers, min(count, len(self.balancers)))


def peers_of(view: View | None, seeds: Peers, node: NodeId) -> Peers:
    """Return the peers of a process, itself left out."""
    if view is None:
        return seeds
    known = (held.id for held in view.balancers)
    balancers = tuple(peer for peer in known if peer != node)
    servers = (held.id for held in view.servers if held.id != node)
    found = (*balancers, *servers)
    share = len(view.servers) // max(1, len(view.balancers))
    fanout = min(MAX_BURST_FANOUT, max(BURST_FANOUT, share))
    return Peers(found, fanout, balancers) if found else seeds


class Gossip:
    """Anti-entropy: one peer a period, several soon after a change."""

    def __init__(self, rng: random.Random, seeds: Peers) -> None:
        self._rng = rng
        self.peers = seeds
        self._hot: list[NodeId] = []
        self._due: Seconds | None = None

    def heat(self, now: Seconds) -> None:
        """Tell different peers in some rounds at once: there is news."""
        count = self.peers.fanout * BURST_ROUNDS
        self._hot = self.peers.some(self._rng, count)
        self._due = now

    def tick(self, now: Seconds, have: Have) -> list[Send]:
        """Return what is due to be told."""
        if self._due is None:
            self._due = Seconds(now + self._rng.random() * PERIOD_S)
        if now < self._due:
            return []
        chosen = self._hot[: self.peers.fanout]
        self._hot = self._hot[self.peers.fanout :]
        period = BURST_PERIOD_S if self._hot else PERIOD_S
        spread = self._rng.uniform(1 - JITTER, 1 + JITTER)
        self._due = Seconds(now + period * spread)
        if not chosen:
            chosen = self.peers.some(self._rng, 1)
        return [Send(peer, have) for peer in chosen]

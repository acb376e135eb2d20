"""How a process without a configuration finds the newest one."""

import random

import msgspec

from ..ids import NodeId
from ..ids import Seconds
from .messages import Have

ENOUGH = 3
"""Peers that must tell their version before the newest is taken."""
ASK = 5
ROUND_S = 1.0
ALONE_S = 2.0


class Choice(msgspec.Struct, frozen=True):
    """The newest version told, who told it and how many answered."""

    peer: NodeId
    have: Have
    answers: int


class Bootstrap:
    """Collects what peers hold; the newest of several is taken."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.fanout = ASK
        self._heard: dict[NodeId, Have] = {}
        self._began: Seconds | None = None
        self._ask_at = 0.0
        self._alone_s = ALONE_S * rng.uniform(1, 2)

    def heard(self, src: NodeId, have: Have) -> None:
        """Take what a peer says that it holds."""
        self._heard[src] = have

    @property
    def answers(self) -> int:
        """Return how many peers have told their version."""
        return len(self._heard)

    @property
    def hurry(self) -> bool:
        """Return whether others start too: the fleet needs all soon."""
        return any(not have.version for have in self._heard.values())

    def due(self, now: Seconds) -> bool:
        """Return whether peers should be asked now."""
        if self._began is None:
            self._began = now
        if now < self._ask_at:
            return False
        self._ask_at = now + ROUND_S * self._rng.uniform(0.75, 1.25)
        return True

    def alone(self, now: Seconds) -> bool:
        """Return whether no peer has answered for a while."""
        waited = self._began is not None and now > self._began + self._alone_s
        return waited and not self._heard

    def choice(self, now: Seconds) -> Choice | None:
        """Return the newest once several have told, or time has passed."""
        if self._began is None or not self._heard:
            return None
        waited = now > self._began + self._alone_s
        if len(self._heard) < ENOUGH and not waited:
            return None
        newest = max(have.version for have in self._heard.values())
        if not newest:
            return None
        # One peer for all who start at once would be asked too much.
        holders = [
            src for src, have in self._heard.items() if have.version == newest
        ]
        peer = self._rng.choice(holders)
        have = self._heard[peer]
        return Choice(peer, have, len(self._heard))

"""Choice of the first configuration of a process that has none."""

import random

import msgspec

from ..ids import NodeId
from ..ids import Seconds
from .messages import Have

MIN_RESPONSES = 3
"""Peers that must respond before the newest version is chosen."""
FANOUT = 5
ROUND_S = 1.0
RESPONSE_WAIT_S = 2.0


class Choice(msgspec.Struct, frozen=True):
    """The newest reported version, a peer that holds it, and a count.

    ``responses`` is the number of peers that responded.
    """

    peer: NodeId
    have: Have
    responses: int


class Bootstrap:
    """Collects the versions of peers and chooses the newest."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.fanout = FANOUT
        self._responses: dict[NodeId, Have] = {}
        self._started_at: Seconds | None = None
        self._next_round_at = 0.0
        self._response_wait_s = RESPONSE_WAIT_S * rng.uniform(1, 2)

    def add_response(self, src: NodeId, have: Have) -> None:
        """Record the version that a peer reported."""
        self._responses[src] = have

    @property
    def responses(self) -> int:
        """Return the number of peers that reported their version."""
        return len(self._responses)

    @property
    def fleet_starting(self) -> bool:
        """Return whether peers have no configuration either.

        Then the whole fleet starts and shards may be requested faster.
        """
        return any(not have.version for have in self._responses.values())

    def due(self, now: Seconds) -> bool:
        """Return whether a round of requests is due, and schedule the next."""
        if self._started_at is None:
            self._started_at = now
        if now < self._next_round_at:
            return False
        self._next_round_at = now + ROUND_S * self._rng.uniform(0.75, 1.25)
        return True

    def no_responses(self, now: Seconds) -> bool:
        """Return whether no peer responded within the waiting time."""
        wait_over = (
            self._started_at is not None
            and now > self._started_at + self._response_wait_s
        )
        return wait_over and not self._responses

    def choice(self, now: Seconds) -> Choice | None:
        """Return the newest version once it can be chosen, or None.

        This needs ``MIN_RESPONSES`` responses, or fewer once the waiting
        time is over.
        """
        if self._started_at is None or not self._responses:
            return None
        wait_over = now > self._started_at + self._response_wait_s
        if len(self._responses) < MIN_RESPONSES and not wait_over:
            return None
        newest = max(have.version for have in self._responses.values())
        if not newest:
            return None
        # A random holder, so that processes that start at the same time
        # don't overload a single peer.
        holders = [
            src
            for src, have in self._responses.items()
            if have.version == newest
        ]
        peer = self._rng.choice(holders)
        have = self._responses[peer]
        return Choice(peer, have, len(self._responses))

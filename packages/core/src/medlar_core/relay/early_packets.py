"""Packets that reach a balancer before it can forward them.

Answers the start of all balancers at once: routers then send packets to those
that are not ready yet, and a caller repeats a packet only after 200 ms or
more.
"""

import collections

from ..ids import Seconds
from .segment import Segment

MAX_AGE_S = 1.0
"""The callers of older packets have sent them again."""
MAX_PACKETS = 1_000


class EarlyPackets:
    """Holds the latest packets until the balancer can forward them."""

    def __init__(self) -> None:
        self._packets: collections.deque[tuple[float, Segment]] = (
            collections.deque()
        )
        self._dropped = 0

    def __len__(self) -> int:
        return len(self._packets)

    def add(self, now: Seconds, segment: Segment) -> None:
        """Hold a packet; the oldest is dropped if there are too many."""
        self._packets.append((now, segment))
        if len(self._packets) > MAX_PACKETS:
            self._packets.popleft()
            self._dropped += 1

    def pop_all(self, now: Seconds) -> list[Segment]:
        """Return the packets that are not too old, in their order."""
        packets = [seg for at, seg in self._packets if now - at <= MAX_AGE_S]
        self._dropped += len(self._packets) - len(packets)
        self._packets.clear()
        return packets

    def pop_dropped(self) -> int:
        """Return how many packets were dropped since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped

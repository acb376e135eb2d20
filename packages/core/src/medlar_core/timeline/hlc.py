"""Hybrid logical clock: wall time that keeps the order of causality.

Each message carries its sender's stamp. The receiver advances its clock
to at least that stamp, so that its later events have later stamps than
the sender's earlier events even if the wall clocks of the two differ.
"""

import msgspec

from ..ids import NodeId
from .events import TimelineEvent

MAX_DRIFT_MS = 2_000
"""Stamps further ahead of the local wall clock are rejected."""


class Stamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A hybrid logical time: wall clock milliseconds, then a counter."""

    ms: int = 0
    counter: int = 0


class StampedEvent(msgspec.Struct, frozen=True):
    """An event with its stamp and the process that recorded it.

    Stamps of one process are unique, so ``(node, stamp)`` identifies the
    event.
    """

    node: NodeId
    stamp: Stamp
    event: TimelineEvent


class Hlc:
    """The hybrid logical clock of one process.

    ``refused`` counts rejected stamps of peers. Stamps too far ahead are
    rejected so that one process with a wrong wall clock does not advance
    the clocks of the whole fleet.
    """

    def __init__(self, max_drift_ms: int = MAX_DRIFT_MS) -> None:
        self.last = Stamp()
        self.refused = 0
        self._max_drift_ms = max_drift_ms

    def tick(self, wall_ms: int) -> Stamp:
        """Advance the clock and return its new stamp."""
        if wall_ms > self.last.ms:
            self.last = Stamp(wall_ms, 0)
        else:
            self.last = Stamp(self.last.ms, self.last.counter + 1)
        return self.last

    def observe(self, wall_ms: int, stamp: Stamp) -> bool:
        """Advance the clock to the stamp of a received message.

        Returns False if the stamp is too far ahead and was rejected.
        """
        if stamp.ms > wall_ms + self._max_drift_ms:
            self.refused += 1
            return False
        self.last = max(self.last, stamp)
        return True

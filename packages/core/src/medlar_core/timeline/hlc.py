"""Hybrid logical clock: wall time that never sorts effect before cause.

Each message carries its sender's stamp. The receiver moves its clock
past it, so that whatever it does next has a later stamp than what the
sender did before, also when the wall clocks of the two differ.
"""

import msgspec

from ..ids import NodeId
from .events import TimelineEvent

MAX_DRIFT_MS = 2_000
"""A stamp further ahead of this process's wall clock is not followed."""


class Stamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A time on the hybrid clock: wall milliseconds, then a counter."""

    ms: int = 0
    counter: int = 0


class StampedEvent(msgspec.Struct, frozen=True):
    """An event with the process that recorded it and when.

    Stamps of one process never repeat, so ``(node, stamp)`` names the
    event.
    """

    node: NodeId
    stamp: Stamp
    event: TimelineEvent


class Hlc:
    """The hybrid clock of one process.

    ``refused`` counts stamps of peers that were too far ahead: one
    process with a wrong wall clock must not drag the fleet along.
    """

    def __init__(self, max_drift_ms: int = MAX_DRIFT_MS) -> None:
        self.last = Stamp()
        self.refused = 0
        self._max_drift_ms = max_drift_ms

    def tick(self, wall_ms: int) -> Stamp:
        """Return a new stamp, later than all before it."""
        if wall_ms > self.last.ms:
            self.last = Stamp(wall_ms, 0)
        else:
            self.last = Stamp(self.last.ms, self.last.counter + 1)
        return self.last

    def observe(self, wall_ms: int, stamp: Stamp) -> bool:
        """Move past the stamp of a message that came.

        Returns False if the stamp is too far ahead to be followed.
        """
        if stamp.ms > wall_ms + self._max_drift_ms:
            self.refused += 1
            return False
        self.last = max(self.last, stamp)
        return True

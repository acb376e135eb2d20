"""Reachability of places from this balancer.

If no process of a place replies, its servers are not declared dead: they
stay in the table, and get no new work from balancers that can't reach them.
Each balancer decides by its own probes; a report of another balancer only
starts a check.
"""

import enum
import random

import msgspec

from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds

CHECK_S = 0.5
PROBE_S = 0.15
TARGETS = 3
"""Processes of a place that are probed in each round of a check."""
RETRY_S = 2.0
"""Interval of probes to an unreachable place, one process each time."""
FRESH_S = 0.3
"""A place with a message this recent needs no check."""
EXPIRE_AFTER_S = 3600.0
"""Processes of a place unreachable for this long are removed."""


class Reached(enum.Enum):
    """Reachability of a place."""

    YES = "yes"
    CHECKING = "checking"
    NO = "no"


class _Place(msgspec.Struct):
    """State of one place.

    ``reconciled`` is False from the time the place becomes unreachable until
    it is reachable again and its records have been compared.
    """

    last_message_at: float
    reached: Reached = Reached.YES
    reconciled: bool = True
    since: float = 0.0
    probed: float = 0.0


class Reachability:
    """Tracks which places are reachable from this balancer."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._places: dict[PlaceName, _Place] = {}
        self.unreachable_places: tuple[PlaceName, ...] = ()

    def record_message(self, now: Seconds, place: PlaceName) -> bool:
        """Record a message; return whether its place is reachable again."""
        held = self._places.setdefault(place, _Place(now))
        held.last_message_at = now
        back = held.reached is Reached.NO
        held.reached = Reached.YES
        if back:
            self._update_unreachable()
        return back

    def reconciled(self, place: PlaceName) -> None:
        """Mark the records of a reachable place as compared."""
        held = self._places.get(place)
        if held is not None and held.reached is not Reached.NO:
            held.reconciled = True

    def received_since(self, place: PlaceName, since: Seconds) -> bool:
        """Return whether a message of the place was received since then."""
        held = self._places.get(place)
        return held is not None and held.last_message_at >= since

    def check(
        self, now: Seconds, place: PlaceName, since: Seconds | None = None
    ) -> None:
        """Start a check of whether a place is reachable.

        No check is needed after a message received since ``since``, or,
        without it, within the last ``FRESH_S``.
        """
        start = Seconds(now - FRESH_S) if since is None else since
        held = self._places.setdefault(place, _Place(start - FRESH_S))
        if held.reached is Reached.YES and held.last_message_at < start:
            held.reached = Reached.CHECKING
            held.since = now

    def down(self) -> tuple[PlaceName, ...]:
        """Return the places that get no new work from here, sorted."""
        off = [p for p, v in self._places.items() if not v.reconciled]
        return tuple(sorted(off))

    def is_unreachable(self, place: PlaceName) -> bool:
        """Return whether a place is unreachable."""
        return place in self.unreachable_places

    def is_reachable(self, place: PlaceName) -> bool:
        """Return whether a place is neither unreachable nor being checked."""
        held = self._places.get(place)
        return held is None or held.reached is Reached.YES

    def unreconciled(self) -> list[PlaceName]:
        """Return the reachable places that are not reconciled, sorted."""
        return sorted(
            place
            for place, held in self._places.items()
            if not held.reconciled and held.reached is not Reached.NO
        )

    def expired(self, now: Seconds) -> list[PlaceName]:
        """Remove and return the expired unreachable places, sorted."""
        ended = [
            place
            for place, held in self._places.items()
            if held.reached is Reached.NO
            and now - held.since >= EXPIRE_AFTER_S
        ]
        for place in ended:
            del self._places[place]
            self._update_unreachable()
        return sorted(ended)

    def paused(self, now: Seconds) -> None:
        """Cancel checks: this process received nothing during its pause."""
        for held in self._places.values():
            if held.reached is Reached.CHECKING:
                held.reached = Reached.YES
            held.last_message_at = max(held.last_message_at, now - FRESH_S)

    def tick(self, now: Seconds) -> tuple[list[PlaceName], list[PlaceName]]:
        """Return the places to probe, and those that became unreachable."""
        probe: list[PlaceName] = []
        silent: list[PlaceName] = []
        for place, held in sorted(self._places.items()):
            match held.reached:
                case Reached.CHECKING if now - held.since >= CHECK_S:
                    held.reached = Reached.NO
                    held.reconciled = False
                    silent.append(place)
                case Reached.CHECKING if now - held.probed >= PROBE_S:
                    held.probed = now
                    probe.append(place)
                case Reached.NO if now - held.probed >= RETRY_S:
                    held.probed = now
                    probe.append(place)
        if silent:
            self._update_unreachable()
        return probe, silent

    def _update_unreachable(self) -> None:
        held = self._places.items()
        unreachable = [p for p, v in held if v.reached is Reached.NO]
        self.unreachable_places = tuple(sorted(unreachable))

    def pick(self, place: PlaceName, nodes: list[NodeId]) -> list[NodeId]:
        """Return the processes of a place to probe in this round."""
        count = 1 if self.is_unreachable(place) else TARGETS
        return self._rng.sample(nodes, min(count, len(nodes)))

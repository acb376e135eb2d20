"""Which places can be reached from this balancer.

A place that falls silent as a whole is not taken for dead servers: its
servers stay in the table, and get no new work from those who can't reach
them. Each balancer finds out for itself; a hint by another only makes it
look.
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
"""A silent place is probed at one process each time."""
FRESH_S = 0.3
"""A place heard of so recently needs no check."""
FORGET_S = 3600.0
"""Processes of a place silent for so long are dropped."""


class Reached(enum.Enum):
    """How a place stands."""

    YES = "yes"
    CHECKING = "checking"
    NO = "no"


class _Place(msgspec.Struct):
    """What is known of one place.

    ``reconciled`` is False from when the place is found silent until it
    was heard again and its records were compared.
    """

    heard: float
    reached: Reached = Reached.YES
    reconciled: bool = True
    since: float = 0.0
    probed: float = 0.0


class Reach:
    """Whether places can be reached from here."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._places: dict[PlaceName, _Place] = {}
        self.cut_places: tuple[PlaceName, ...] = ()

    def heard(self, now: Seconds, place: PlaceName) -> bool:
        """Note a message from a place; return whether it is back."""
        held = self._places.setdefault(place, _Place(now))
        held.heard = now
        back = held.reached is Reached.NO
        held.reached = Reached.YES
        if back:
            self._list_cut()
        return back

    def reconciled(self, place: PlaceName) -> None:
        """Note that what changed in a place that is back is known."""
        held = self._places.get(place)
        if held is not None and held.reached is not Reached.NO:
            held.reconciled = True

    def heard_since(self, place: PlaceName, since: Seconds) -> bool:
        """Return whether anything of a place was heard since then."""
        held = self._places.get(place)
        return held is not None and held.heard >= since

    def check(
        self, now: Seconds, place: PlaceName, since: Seconds | None = None
    ) -> None:
        """Find out whether a place can be reached.

        It need not be probed if it was heard of after ``since``, or just
        now.
        """
        start = Seconds(now - FRESH_S) if since is None else since
        held = self._places.setdefault(place, _Place(start - FRESH_S))
        if held.reached is Reached.YES and held.heard < start:
            held.reached = Reached.CHECKING
            held.since = now

    def down(self) -> tuple[PlaceName, ...]:
        """Return the places that get no new work from here, sorted."""
        off = [p for p, v in self._places.items() if not v.reconciled]
        return tuple(sorted(off))

    def cut(self, place: PlaceName) -> bool:
        """Return whether a place is silent."""
        return place in self.cut_places

    def open(self, place: PlaceName) -> bool:
        """Return whether a place is neither silent nor being looked at."""
        held = self._places.get(place)
        return held is None or held.reached is Reached.YES

    def awaited(self) -> list[PlaceName]:
        """Return the places that are back but not reconciled, sorted."""
        return sorted(
            place
            for place, held in self._places.items()
            if not held.reconciled and held.reached is not Reached.NO
        )

    def over(self, now: Seconds) -> list[PlaceName]:
        """Return the places silent for so long that they are dropped."""
        ended = [
            place
            for place, held in self._places.items()
            if held.reached is Reached.NO and now - held.since >= FORGET_S
        ]
        for place in ended:
            del self._places[place]
            self._list_cut()
        return sorted(ended)

    def paused(self, now: Seconds) -> None:
        """Drop checks: this process itself did not listen."""
        for held in self._places.values():
            if held.reached is Reached.CHECKING:
                held.reached = Reached.YES
            held.heard = max(held.heard, now - FRESH_S)

    def tick(self, now: Seconds) -> tuple[list[PlaceName], list[PlaceName]]:
        """Return the places to probe, and those just found silent."""
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
            self._list_cut()
        return probe, silent

    def _list_cut(self) -> None:
        held = self._places.items()
        cut = [p for p, v in held if v.reached is Reached.NO]
        self.cut_places = tuple(sorted(cut))

    def pick(self, place: PlaceName, nodes: list[NodeId]) -> list[NodeId]:
        """Return the processes of a place to probe in this round."""
        count = 1 if self.cut(place) else TARGETS
        return self._rng.sample(nodes, min(count, len(nodes)))

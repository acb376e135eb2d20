"""Fair shares of a server's starts among the callers that wait for it.

Answers one caller with many connections beside many with one: who had least
starts lately goes first (max-min).
"""

import collections
from collections.abc import Iterable

from ...ids import Seconds
from .held import Held

HALF_LIFE_S = 1.0
"""Starts count half after this, a time in which waiting callers compete."""
MAX_CALLERS = 1_024
"""Callers remembered by one agent; the one without a start for the longest
time is left out first, as its count has faded most."""


class CallerShares:
    """Recent starts of each caller at one server."""

    def __init__(self) -> None:
        self._starts: collections.OrderedDict[int, tuple[float, Seconds]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._starts)

    def record_start(self, now: Seconds, caller: int) -> None:
        """Count the start of a flow of a caller."""
        self._starts[caller] = (self.starts(now, caller) + 1.0, now)
        self._starts.move_to_end(caller)
        if len(self._starts) > MAX_CALLERS:
            self._starts.popitem(last=False)

    def starts(self, now: Seconds, caller: int) -> float:
        """Return a caller's recent starts, older ones counted less."""
        count, at = self._starts.get(caller, (0.0, now))
        return float(count * 0.5 ** ((now - at) / HALF_LIFE_S))

    def turns(self, now: Seconds, flows: Iterable[Held]) -> list[int]:
        """Return in which turn each flow starts, 0 for the first ones.

        In one turn each caller starts one flow. ``flows`` come in the order
        in which those of one caller are to start.
        """
        taken: dict[int, float] = {}
        turns = []
        for held in flows:
            caller = held.caller
            if caller not in taken:
                taken[caller] = self.starts(now, caller)
            turns.append(int(taken[caller]))
            taken[caller] += 1.0
        return turns

"""Judging whether watched processes live, by talking to them."""

from collections.abc import Iterable

import msgspec

from ..ids import NodeId
from ..ids import Seconds
from .reporter import HEARTBEAT_S

HEARTBEAT_TIMEOUT_S = HEARTBEAT_S + 0.1
"""Time after a beat when the next one is missing."""
NEVER = float("-inf")
PROBE_S = 0.1
HALF_TICK_S = 0.05
SUSPICION_TIMEOUT_S = 1.0
"""Time in which a suspect may answer any probe.

A process that pauses for less is never taken for dead.
"""
QUICK_ROUNDS = 3
"""Rounds of probing in a row; then each other tick has one."""
CHECK_ROUND = 1
"""Round from which on others of its place must be heard of too."""
INDIRECT_PROBE_ROUNDS = (2, 4, 6)
"""Rounds of probing in which other balancers are asked to probe too."""
GRACE_S = 0.5
"""A process is given so long to beat to a balancer new to it."""


class Round(msgspec.Struct, frozen=True):
    """Probe a suspect in round ``number``, from 0."""

    node: NodeId
    since: Seconds
    number: int


class Silent(msgspec.Struct, frozen=True):
    """A suspect answered no probe since ``since`` seconds."""

    node: NodeId
    since: Seconds


class _Watched(msgspec.Struct):
    """What is known of one process; times are monotonic seconds."""

    heard: float
    due: float
    beats: bool = False
    leaving: bool = False
    suspect_since: float = 0.0
    next_round: float = 0.0
    rounds: int = 0


class Watch:
    """Silence of the processes that this balancer is to watch.

    A beat that is missing makes a suspect, whatever else was heard just
    before: the rhythms of the two watchers are apart, so one of them
    misses a beat within a second of a death.
    """

    def __init__(self) -> None:
        self._watched: dict[NodeId, _Watched] = {}

    def assign(self, now: Seconds, nodes: Iterable[NodeId]) -> None:
        """Watch these processes, and suspects until they are judged."""
        wanted = set(nodes)
        for node, watched in self._watched.items():
            watched.leaving = node not in wanted
        suspects = {n for n, w in self._watched.items() if w.rounds}
        self._watched = {
            node: self._watched.get(node) or _Watched(NEVER, now + GRACE_S)
            for node in sorted(wanted | suspects)
        }

    def drop(self, node: NodeId) -> None:
        """No longer watch a process: it was judged."""
        self._watched.pop(node, None)

    def nodes(self) -> list[NodeId]:
        """Return the processes watched, sorted."""
        return list(self._watched)

    def beaten(self, now: Seconds, node: NodeId) -> None:
        """Note a beat: the next one is due after its period."""
        watched = self._watched.get(node)
        if watched is not None:
            watched.heard = now
            watched.due = now + HEARTBEAT_TIMEOUT_S
            watched.beats = True
            watched.rounds = 0

    def heard(self, now: Seconds, node: NodeId, age: float = 0.0) -> None:
        """Note that a process lived ``age`` seconds ago."""
        watched = self._watched.get(node)
        if watched is None or now - age < watched.heard:
            return
        watched.heard = now - age
        if watched.rounds and watched.heard >= watched.suspect_since:
            watched.rounds = 0
            # One whose rhythm is not known yet may fall silent any time.
            period = HEARTBEAT_S if watched.beats else HEARTBEAT_S / 2
            while watched.due <= now:
                watched.due += period
            if watched.leaving:
                self.drop(node)

    def age(self, now: Seconds, node: NodeId) -> float:
        """Return how long ago a watched process was heard of, in seconds."""
        watched = self._watched.get(node)
        return now - watched.heard if watched else float("inf")

    def excuse(self, now: Seconds, nodes: Iterable[NodeId]) -> None:
        """Start anew with processes that could not be heard."""
        for node in nodes:
            self.beaten(now, node)

    def paused(self, now: Seconds) -> None:
        """Start anew with all: this process itself did not listen."""
        self.excuse(now, self._watched)

    def tick(self, now: Seconds) -> list[Round | Silent]:
        """Return the probes to send and the processes found silent."""
        found: list[Round | Silent] = []
        for node, watched in self._watched.items():
            if now >= watched.due:
                step = self._suspect(now, node, watched)
                found += [step] if step else []
        return found

    def _suspect(
        self, now: Seconds, node: NodeId, watched: _Watched
    ) -> Round | Silent | None:
        if watched.rounds == 0:
            watched.suspect_since = now
        since = Seconds(watched.suspect_since)
        if (
            now - since >= SUSPICION_TIMEOUT_S
            and watched.rounds >= max(INDIRECT_PROBE_ROUNDS) + 1
        ):
            return Silent(node, since)
        if watched.rounds >= QUICK_ROUNDS and now < watched.next_round:
            return None
        watched.next_round = now + 2 * PROBE_S - HALF_TICK_S
        watched.rounds += 1
        return Round(node, since, watched.rounds - 1)

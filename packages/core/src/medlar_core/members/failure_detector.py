"""Failure detection of watched processes by heartbeats and probes."""

from collections.abc import Iterable

import msgspec

from ..ids import NodeId
from ..ids import Seconds
from .reporter import HEARTBEAT_S

HEARTBEAT_TIMEOUT_S = HEARTBEAT_S + 0.1
"""Time after a heartbeat when the next one counts as missing."""
NEVER = float("-inf")
PROBE_S = 0.1
HALF_TICK_S = 0.05
SUSPICION_TIMEOUT_S = 1.0
"""Time in which a suspect may reply to any probe.

A process that pauses for less is never declared dead.
"""
FAST_PROBE_ROUNDS = 3
"""Rounds of probing in consecutive ticks; then every second tick has one."""
PLACE_CHECK_ROUND = 1
"""Round of probing from which on the place of the suspect is checked too."""
INDIRECT_PROBE_ROUNDS = (2, 4, 6)
"""Rounds in which other balancers are requested to probe too."""
GRACE_S = 0.5
"""Time for the first heartbeat to a newly assigned balancer."""


class ProbeRound(msgspec.Struct, frozen=True):
    """A suspect is to be probed in round ``number``, from 0."""

    node: NodeId
    since: Seconds
    number: int


class Unresponsive(msgspec.Struct, frozen=True):
    """A suspect has not replied to any probe since the time ``since``."""

    node: NodeId
    since: Seconds


class _Watched(msgspec.Struct):
    """State of one process; times are monotonic seconds."""

    last_message_at: float
    due: float
    has_heartbeat: bool = False
    unassigned: bool = False
    suspect_since: float = 0.0
    next_round: float = 0.0
    rounds: int = 0


class FailureDetector:
    """Detects failures of the processes that this balancer watches.

    A missing heartbeat makes a process a suspect, whatever other messages
    were received just before. The heartbeats to its two watchers are half
    an interval apart, so one of them misses one within a second of a
    failure.
    """

    def __init__(self) -> None:
        self._watched: dict[NodeId, _Watched] = {}

    def assign(self, now: Seconds, nodes: Iterable[NodeId]) -> None:
        """Watch these processes, and current suspects until resolved."""
        wanted = set(nodes)
        for node, watched in self._watched.items():
            watched.unassigned = node not in wanted
        suspects = {n for n, w in self._watched.items() if w.rounds}
        self._watched = {
            node: self._watched.get(node) or _Watched(NEVER, now + GRACE_S)
            for node in sorted(wanted | suspects)
        }

    def drop(self, node: NodeId) -> None:
        """Stop watching a process."""
        self._watched.pop(node, None)

    def nodes(self) -> list[NodeId]:
        """Return the processes watched, sorted."""
        return list(self._watched)

    def record_heartbeat(self, now: Seconds, node: NodeId) -> None:
        """Record a heartbeat and set when the next one is due."""
        watched = self._watched.get(node)
        if watched is not None:
            watched.last_message_at = now
            watched.due = now + HEARTBEAT_TIMEOUT_S
            watched.has_heartbeat = True
            watched.rounds = 0

    def record_message(
        self, now: Seconds, node: NodeId, age: float = 0.0
    ) -> None:
        """Record that a process was alive ``age`` seconds ago."""
        watched = self._watched.get(node)
        if watched is None or now - age < watched.last_message_at:
            return
        watched.last_message_at = now - age
        if watched.rounds and watched.last_message_at >= watched.suspect_since:
            watched.rounds = 0
            # Without a heartbeat yet, the schedule is unknown: check sooner.
            period = HEARTBEAT_S if watched.has_heartbeat else HEARTBEAT_S / 2
            while watched.due <= now:
                watched.due += period
            if watched.unassigned:
                self.drop(node)

    def age(self, now: Seconds, node: NodeId) -> float:
        """Return the time since the last message of a process, in seconds."""
        watched = self._watched.get(node)
        return now - watched.last_message_at if watched else float("inf")

    def reset(self, now: Seconds, nodes: Iterable[NodeId]) -> None:
        """Reset the timers of processes that were unreachable."""
        for node in nodes:
            self.record_heartbeat(now, node)

    def paused(self, now: Seconds) -> None:
        """Reset all timers: this process received nothing during its pause."""
        self.reset(now, self._watched)

    def tick(self, now: Seconds) -> list[ProbeRound | Unresponsive]:
        """Return the probes to send and the processes without a reply."""
        found: list[ProbeRound | Unresponsive] = []
        for node, watched in self._watched.items():
            if now >= watched.due:
                step = self._suspect(now, node, watched)
                found += [step] if step else []
        return found

    def _suspect(
        self, now: Seconds, node: NodeId, watched: _Watched
    ) -> ProbeRound | Unresponsive | None:
        if watched.rounds == 0:
            watched.suspect_since = now
        since = Seconds(watched.suspect_since)
        if (
            now - since >= SUSPICION_TIMEOUT_S
            and watched.rounds >= max(INDIRECT_PROBE_ROUNDS) + 1
        ):
            return Unresponsive(node, since)
        if watched.rounds >= FAST_PROBE_ROUNDS and now < watched.next_round:
            return None
        watched.next_round = now + 2 * PROBE_S - HALF_TICK_S
        watched.rounds += 1
        return ProbeRound(node, since, watched.rounds - 1)

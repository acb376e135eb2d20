"""State of health of the local server, by what its flows show."""

import msgspec

from ...ids import Seconds
from .evidence import Observation
from .evidence import Signal
from .score import Score
from .state import HealthState

LEAST_FAILURES = 2.5
"""Failures before a healthy server is suspect: never one alone."""
LEAST_FAILURES_ON_PROBATION = 1.5
PROBES = 3
"""Responses in a row after which a suspect is on probation."""
UNUSED_S = 3.0
"""A suspect that gets no flows for so long is on probation."""
HOLD_S = 0.5
"""Time that a server stays suspect at least; doubled with each down."""
MAX_HOLD_S = 16.0
PROBATION_SUCCESSES = 10
"""Responses after which a server is healthy; more after each down."""
MAX_PROBATION_DOWNS = 4
PROBATION_S = 5.0
"""A server on probation without failures is healthy after this, if it gets
few flows; longer after each down."""
DOWN_MEMORY_S = 20.0
"""One down is forgotten for each such time without another."""


class HealthChange(msgspec.Struct, frozen=True):
    """A change of state with what led to it.

    ``age_s`` is the time since the first failure, or since the state before.
    """

    old: HealthState
    new: HealthState
    reason: str
    age_s: float


class ServerHealth:
    """Judges the local server by the outcomes of its flows.

    Answers servers that go down and come back again and again: each down
    that is remembered lengthens the time until the server is healthy.
    """

    def __init__(self) -> None:
        self.state = HealthState.HEALTHY
        self._score = Score()
        self._signals: dict[Signal, int] = {}
        self._failing_since = 0.0
        self._last_outcome_at = 0.0
        self._changed_at = 0.0
        self._hold_until = 0.0
        self._successes = 0
        self._downs = 0
        self._down_at = 0.0
        self._changes: list[HealthChange] = []

    def observe(self, now: Seconds, observation: Observation) -> None:
        """Take one outcome into account."""
        if observation.is_failure:
            self._add_failure(now, observation)
        else:
            self._successes += 1
            self._score.add(now, 0.0, observation.weight)
        self._last_outcome_at = now
        self._apply_score(now)

    def record_restart(self, now: Seconds, crashed: bool) -> None:
        """Record that another incarnation of the server has started.

        One that follows a planned end has nothing to answer for.
        """
        self._forget_outcomes()
        if not crashed:
            self._downs = 0
            if self.state is not HealthState.HEALTHY:
                self._change(now, HealthState.HEALTHY, "new server")
            return
        if self.state is not HealthState.SUSPECT:
            self._add_down(now)
        if self._downs <= 1:
            self._change(now, HealthState.PROBATION, "started after a crash")
            return
        self._hold_until = now + self._hold_s()
        reason = f"started after a crash, {self._downs} downs"
        self._change(now, HealthState.SUSPECT, reason)

    def update(self, now: Seconds) -> None:
        """Apply the transitions that depend on time."""
        if self._downs and now - self._down_at >= DOWN_MEMORY_S:
            self._downs -= 1
            self._down_at = now
        match self.state:
            case HealthState.SUSPECT:
                self._update_suspect(now)
            case HealthState.PROBATION:
                self._update_probation(now)

    def pop_changes(self) -> list[HealthChange]:
        """Return the changes of state since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _add_failure(self, now: Seconds, observation: Observation) -> None:
        if not self._signals:
            self._failing_since = now
        signal = observation.signal
        self._signals[signal] = self._signals.get(signal, 0) + 1
        self._score.add(now, observation.weight, 0.0)
        if self.state is HealthState.SUSPECT:
            self._successes = 0

    def _apply_score(self, now: Seconds) -> None:
        match self.state:
            case HealthState.HEALTHY:
                least = LEAST_FAILURES
            case HealthState.PROBATION:
                least = LEAST_FAILURES_ON_PROBATION
            case HealthState.SUSPECT:
                return
        if self._score.is_failing(least):
            self._add_down(now)
            self._hold_until = now + self._hold_s()
            self._change(now, HealthState.SUSPECT, self._evidence())
        elif not self._score.failures:
            self._signals.clear()

    def _update_suspect(self, now: Seconds) -> None:
        if now < self._hold_until:
            return
        if self._successes >= PROBES:
            reason = f"{self._successes} responses in a row"
            self._start_probation(now, reason)
        elif now - max(self._last_outcome_at, self._changed_at) >= UNUSED_S:
            self._start_probation(now, "no flows")

    def _start_probation(self, now: Seconds, reason: str) -> None:
        self._forget_outcomes()
        self._change(now, HealthState.PROBATION, reason)

    def _update_probation(self, now: Seconds) -> None:
        factor = min(max(1, self._downs), MAX_PROBATION_DOWNS)
        if self._successes >= PROBATION_SUCCESSES * factor:
            reason = f"{self._successes} responses"
        elif now - self._changed_at >= PROBATION_S * factor:
            reason = "no failures"
        else:
            return
        self._forget_outcomes()
        self._change(now, HealthState.HEALTHY, reason)

    def _change(self, now: Seconds, new: HealthState, reason: str) -> None:
        since = self._failing_since if self._signals else self._changed_at
        change = HealthChange(self.state, new, reason, now - since)
        self.state = new
        self._changed_at = now
        self._successes = 0
        self._signals.clear()
        self._changes.append(change)

    def _evidence(self) -> str:
        counts = [f"{n} {signal.value}" for signal, n in self._signals.items()]
        score = self._score
        outcomes = score.failures + score.successes
        return (
            f"{', '.join(counts)}; {score.failures:.1f} of the last "
            f"{outcomes:.1f} flows failed; {self._downs} downs"
        )

    def _add_down(self, now: Seconds) -> None:
        self._downs += 1
        self._down_at = now

    def _hold_s(self) -> float:
        doublings = max(0, self._downs - 1)
        return min(MAX_HOLD_S, HOLD_S * 2.0**doublings)

    def _forget_outcomes(self) -> None:
        self._score = Score()
        self._successes = 0
        self._signals.clear()

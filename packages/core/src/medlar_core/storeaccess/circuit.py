"""Circuit breaker that stops calls to a failing store."""

import random

from ..ids import Seconds

FAILURES_TO_OPEN = 2
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 20.0
"""Also the period over which processes reconnect after an outage."""
PROBE_LIMIT_S = 5.0
"""Time after which a probe without an answer counts as failed."""


class Circuit:
    """Decides whether a call may be sent now.

    While the circuit is closed, all calls are sent. While it is open, no
    call is sent until the pause ends; then one call probes the store. Its
    success closes the circuit, its failure doubles the pause. Each pause
    is randomized between half and all of its length, so that processes
    that failed at the same time do not probe at the same time.
    """

    def __init__(
        self, rng: random.Random, longest_pause_s: float = LONGEST_PAUSE_S
    ) -> None:
        self._rng = rng
        self._longest_pause_s = longest_pause_s
        self._failures = 0
        self._pause_s = FIRST_PAUSE_S
        self._probe_at: float | None = None
        self._probe_deadline: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether the store is considered failing."""
        return self._probe_at is not None

    def allows(self, now: Seconds) -> bool:
        """Return whether a call may be sent now."""
        if self._probe_at is None:
            return True
        if self._probe_deadline is not None:
            if now < self._probe_deadline:
                return False
            self.failed(now)
        return now >= self._probe_at

    def sent(self, now: Seconds) -> None:
        """Record a sent call, which is the probe if the circuit is open."""
        if self._probe_at is not None:
            self._probe_deadline = now + PROBE_LIMIT_S

    def succeeded(self) -> None:
        """Record an answer and close the circuit."""
        self._failures = 0
        self._pause_s = FIRST_PAUSE_S
        self._probe_at = None
        self._probe_deadline = None

    def failed(self, now: Seconds) -> None:
        """Record a call that failed or was not answered."""
        self._failures += 1
        was_probe = self._probe_deadline is not None
        if self._probe_at is not None and not was_probe:
            return  # the call was sent before the circuit opened
        if self._failures < FAILURES_TO_OPEN and not was_probe:
            return
        if was_probe:
            self._pause_s = min(self._pause_s * 2, self._longest_pause_s)
        self._probe_deadline = None
        self._probe_at = now + self._pause_s * self._rng.uniform(0.5, 1.0)

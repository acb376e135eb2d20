"""Idle timeouts of flows during a run."""

IDLE_S = 15.0
LOW_IDLE_S = 3.0
"""Idle timeouts of flows; callers pause for longer than the low one."""


class IdleTimeouts:
    """The idle timeouts that were in force, by the store."""

    def __init__(self) -> None:
        self.idle_s = IDLE_S
        self._changes: list[tuple[float, float]] = [(float("-inf"), IDLE_S)]

    def change(self, now: float, idle_s: float) -> None:
        """Record a change that the store has acknowledged."""
        self.idle_s = idle_s
        self._changes.append((now, idle_s))

    def has_expired(self, idle_since: float, now: float) -> bool:
        """Return whether a flow was ever idle for longer than allowed."""
        ends = [at for at, _ in self._changes[1:]] + [now]
        return any(
            min(end, now) - idle_since > idle_s
            for (_, idle_s), end in zip(self._changes, ends, strict=True)
            if end > idle_since
        )

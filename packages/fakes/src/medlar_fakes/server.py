"""Simulated server with a fixed number of request slots."""

from collections.abc import Callable

from .clock import Clock


class SlotServer:
    """Runs each piece of work in a slot for its service time.

    ``slow`` multiplies service times; ``ran`` lists work IDs by start.
    """

    def __init__(self, clock: Clock, slots: int, slow: float = 1.0) -> None:
        self.clock = clock
        self.slots = slots
        self.slow = slow
        self.dead = False
        self.running: dict[str, Callable[[bool], None]] = {}
        self.ran: list[str] = []

    def start(
        self, work: str, service_s: float, done: Callable[[bool], None]
    ) -> bool:
        """Start work if a slot is free; ``done(False)`` means cancelled."""
        if self.dead or len(self.running) >= self.slots:
            return False
        self.ran.append(work)
        self.running[work] = done
        self.clock.after(service_s * self.slow, lambda: self._end(work))
        return True

    def cancel(self, work: str) -> bool:
        """Cancel running work and free its slot; return whether it ran."""
        done = self.running.pop(work, None)
        if done is not None:
            done(False)
        return done is not None

    def kill(self) -> None:
        """Crash: running work is lost and its callbacks are not called."""
        self.dead = True
        self.running.clear()

    def _end(self, work: str) -> None:
        done = self.running.pop(work, None)
        if done is not None and not self.dead:
            done(True)

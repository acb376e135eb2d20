"""A server with slots: work takes one until its service time ends."""

from collections.abc import Callable

from .clock import Clock


class SlotServer:
    """Runs work in a fixed number of slots; a cold one runs slower.

    ``ran`` lists the ids of work in the order in which it started.
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
        """Start work if a slot is free; ``done(whole)`` tells its end."""
        if self.dead or len(self.running) >= self.slots:
            return False
        self.ran.append(work)
        self.running[work] = done
        self.clock.after(service_s * self.slow, lambda: self._end(work))
        return True

    def cancel(self, work: str) -> bool:
        """Stop work that runs; its slot is free at once."""
        done = self.running.pop(work, None)
        if done is not None:
            done(False)
        return done is not None

    def kill(self) -> None:
        """Die: all that runs is lost without a word."""
        self.dead = True
        self.running.clear()

    def _end(self, work: str) -> None:
        done = self.running.pop(work, None)
        if done is not None and not self.dead:
            done(True)

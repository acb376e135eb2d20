"""Virtual clock with a queue of callbacks ordered by due time."""

from collections.abc import Callable
import heapq
import itertools

from medlar_core.ids import Seconds


class Clock:
    """Runs callbacks in order of virtual time in seconds, then insertion."""

    def __init__(self) -> None:
        self.now = Seconds(0.0)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a callback at ``when``, or now if that time has passed."""
        entry = (max(when, self.now), next(self._order), call)
        heapq.heappush(self._queue, entry)

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a callback after a delay in seconds."""
        self.at(self.now + delay, call)

    def every(self, period: float, call: Callable[[], bool | None]) -> None:
        """Schedule a callback each ``period`` until it returns False."""

        def run() -> None:
            if call() is not False:
                self.after(period, run)

        self.after(period, run)

    def run_until(self, when: float) -> None:
        """Run all callbacks due until ``when`` and advance the clock to it."""
        while self._queue and self._queue[0][0] <= when:
            due, _, call = heapq.heappop(self._queue)
            self.now = Seconds(due)
            call()
        self.now = Seconds(max(when, self.now))

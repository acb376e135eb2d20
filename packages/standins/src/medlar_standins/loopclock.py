"""Clock of the fakes on an asyncio loop, for use in real time."""

import asyncio
from collections.abc import Callable

from medlar_core.ids import Seconds
from medlar_fakes.clock import Clock


class LoopClock(Clock):
    """Runs callbacks in real time on the running loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    @property
    def now(self) -> Seconds:  # type: ignore[override]
        """Monotonic seconds of the loop."""
        return Seconds(self._loop.time())

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a callback at a time of the loop."""
        self._loop.call_at(when, call)

    def run_until(self, when: float) -> None:
        """Not supported: real time can't be advanced.

        :raises RuntimeError: always.
        """
        raise RuntimeError("expected virtual time, got the loop's clock")

"""The fakes' clock over an asyncio loop, so that stand-ins reuse them."""

import asyncio
from collections.abc import Callable

from medlar_core.ids import Seconds
from medlar_fakes.clock import Clock


class LoopClock(Clock):
    """Runs calls in real time on the running loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    @property
    def now(self) -> Seconds:  # type: ignore[override]
        """Monotonic seconds of the loop."""
        return Seconds(self._loop.time())

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Run a call at a time of the loop."""
        self._loop.call_at(when, call)

    def run_until(self, when: float) -> None:
        """Refuse: real time passes by itself.

        :raises RuntimeError: always.
        """
        raise RuntimeError("expected virtual time, got the loop's clock")

"""Shows rows as they are done, and keeps what was measured so far."""

from collections.abc import Callable
import time

from . import known
from . import report
from .rows import Size
from .run import Outcome


class Progress:
    """Prints a line for each measurement; writes the rows so far."""

    def __init__(
        self,
        prefix: str,
        size: Size,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._prefix = prefix
        self._size = size
        self._clock = clock
        self._began = clock()
        self._outcomes: list[Outcome] = []

    def done(self, outcome: Outcome, left: int) -> None:
        """Take an outcome; ``left`` measurements have none yet."""
        self._outcomes.append(outcome)
        found = report.judge(
            self._outcomes, known.read(), self._prefix, self._size
        )
        report.write_json(found, partial=left > 0)
        print(self._line(outcome, left), flush=True)

    def _line(self, outcome: Outcome, left: int) -> str:
        spent_s = self._clock() - self._began
        ended = len(self._outcomes)
        left_s = spent_s / ended * left
        values = [f"{row.name} {row.value:.4g}" for row in outcome.rows]
        told = ", ".join(values) or f"{outcome.names[0]} failed"
        return (
            f"[{ended}/{ended + left}] {spent_s:.0f} s, "
            f"about {left_s:.0f} s left: {told}"
        )

"""What a row of the benchmark is, and how rows are registered."""

from collections.abc import Callable
import enum

import msgspec

MISSING = "missing"


class Sense(enum.Enum):
    """Whether the bound is the largest or smallest value allowed."""

    MAX = "max"
    MIN = "min"


class Row(msgspec.Struct, frozen=True):
    """One measured figure beside its bound and its baseline.

    ``baseline`` is the same workload under the simple policy that
    ``baseline_name`` tells; None where the row has none.
    """

    name: str
    value: float
    unit: str
    bound: float
    sense: Sense
    seed: int
    baseline: float | None = None
    baseline_name: str = ""
    note: str = ""

    @property
    def holds(self) -> bool:
        """Whether the value is within the bound."""
        if self.sense is Sense.MAX:
            return self.value <= self.bound
        return self.value >= self.bound


class Size(enum.Enum):
    """How large a run is: FAST for CI, FULL for ``make bench``."""

    FAST = "fast"
    FULL = "full"


Measure = Callable[[Size, int], list[Row]]
"""Takes size and seed and returns its rows."""


class Measurement(msgspec.Struct, frozen=True):
    """A measure and the names of the rows it gives.

    ``wall`` marks rows that time real code: they stay out of CI.
    """

    names: tuple[str, ...]
    run: Measure
    wall: bool = False

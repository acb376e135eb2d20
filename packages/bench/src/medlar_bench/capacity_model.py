"""The design size, and figures derived for it from measured slopes."""

from collections.abc import Sequence
import enum
import math

import msgspec
import numpy

BALANCERS = 720
SERVERS = 5_600
PROCESSES = BALANCERS + SERVERS
FLOWS = 8_300_000
FLOWS_PER_SERVER = FLOWS / SERVERS
CHANGES_PER_DAY = 530
REPLACEMENTS_PER_DAY = 580 + 26
"""Restarted or replaced, and failed."""
DAY_S = 86_400.0
MOVED_PER_REPLACEMENT = 2
"""The flows of the one that leaves, and as many whose buckets go to the
one that joins, stay where they are and are told of."""
FLOWS_MOVED_PER_DAY = (
    MOVED_PER_REPLACEMENT
    * REPLACEMENTS_PER_DAY
    * SERVERS
    / PROCESSES
    * FLOWS_PER_SERVER
)
BYTES_S_BUDGET = 5_000.0
CORE_BUDGET = 0.012
MEMORY_MB_BUDGET = 256.0
WRITES_S_BUDGET = 150.0
READS_S_BUDGET = 1_000.0
FLOW_BYTES_BUDGET = 256.0
VALUE_MB_BUDGET = 1.0


class Shape(enum.Enum):
    """How a figure grows with the size n of the fleet."""

    LINE = "n"
    LOG = "ln n"


class Slope(msgspec.Struct, frozen=True):
    """A figure as ``start + rise * n`` or ``start + rise * ln n``.

    ``largest`` is the largest size that was measured, ``found`` the
    figure there, and ``error`` the largest distance of a measured figure
    from the line, as a share of it.
    """

    shape: Shape
    start: float
    rise: float
    largest: float
    found: float
    error: float

    def at(self, size: float) -> float:
        """Return the figure at a size, never below the one measured.

        A line that falls is not trusted beyond the sizes measured.
        """
        derived = self.start + self.rise * _scale(self.shape, size)
        return max(derived, self.found)

    @property
    def formula(self) -> str:
        """The line as text."""
        sign = "-" if self.rise < 0 else "+"
        rise = f"{abs(self.rise):.3g}"
        return f"{self.start:.3g} {sign} {rise} {self.shape.value}"


def fit(
    sizes: Sequence[float], figures: Sequence[float], shape: Shape
) -> Slope:
    """Return the slope by least squares over the sizes measured.

    :raises ValueError: if there are fewer than four sizes.
    """
    if len(sizes) < 4:
        raise ValueError(f"expected at least 4 sizes, got {len(sizes)}")
    scaled = [_scale(shape, size) for size in sizes]
    rise, start = numpy.polyfit(scaled, figures, 1)
    off = [
        abs(start + rise * x - y) / abs(y)
        for x, y in zip(scaled, figures, strict=True)
        if y
    ]
    return Slope(
        shape,
        float(start),
        float(rise),
        float(sizes[-1]),
        float(figures[-1]),
        float(max(off, default=0.0)),
    )


def _scale(shape: Shape, size: float) -> float:
    return math.log(size) if shape is Shape.LOG else size

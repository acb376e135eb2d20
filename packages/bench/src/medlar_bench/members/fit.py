"""Deriving a figure at the design size from smaller sizes."""

from collections.abc import Callable
from collections.abc import Mapping
import math

import numpy

from .fleet import D_BALANCERS


def at_design(
    figures: Mapping[int, float], scale: Callable[[float], float] = math.log
) -> float:
    """Return the figure at 720 balancers by a straight line.

    The line goes through (scale(balancers), figure) by least squares; it
    is not let fall below the largest figure that was measured.
    """
    sizes = [scale(float(size)) for size in figures]
    slope, start = numpy.polyfit(sizes, list(figures.values()), 1)
    derived = float(start + slope * scale(float(D_BALANCERS)))
    return max(derived, *figures.values())


def told(figures: Mapping[int, float], digits: int = 0) -> str:
    """Return the figures as text, by balancers."""
    parts = [f"{size}: {value:.{digits}f}" for size, value in figures.items()]
    return "at balancers " + ", ".join(parts)

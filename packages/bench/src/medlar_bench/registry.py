"""All measurements of the benchmark, in the order they are shown."""

from .rows import Measurement

MEASUREMENTS: tuple[Measurement, ...] = ()

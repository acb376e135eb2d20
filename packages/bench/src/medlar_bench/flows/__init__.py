"""Benchmark rows of the flow area."""

from ..rows import Measurement
from .broken import MEASUREMENTS as BROKEN
from .cost import MEASUREMENTS as COST
from .flood import MEASUREMENTS as FLOOD
from .hops import MEASUREMENTS as HOPS
from .imbalance import MEASUREMENTS as IMBALANCE
from .large import MEASUREMENTS as LARGE

MEASUREMENTS: tuple[Measurement, ...] = (
    *BROKEN,
    *IMBALANCE,
    *LARGE,
    *HOPS,
    *FLOOD,
    *COST,
)

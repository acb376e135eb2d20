"""Rows of the flow area."""

from ..rows import Measurement
from .broken import MEASUREMENTS as BROKEN
from .hops import MEASUREMENTS as HOPS
from .imbalance import MEASUREMENTS as IMBALANCE
from .large import MEASUREMENTS as LARGE

MEASUREMENTS: tuple[Measurement, ...] = (*BROKEN, *IMBALANCE, *LARGE, *HOPS)

"""Rows of the flow area."""

from ..rows import Measurement
from .broken import MEASUREMENTS as BROKEN
from .hops import MEASUREMENTS as HOPS
from .imbalance import MEASUREMENTS as IMBALANCE

MEASUREMENTS: tuple[Measurement, ...] = (*BROKEN, *IMBALANCE, *HOPS)

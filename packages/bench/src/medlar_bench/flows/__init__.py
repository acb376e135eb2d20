"""Rows of the flow area."""

from ..rows import Measurement
from .broken import MEASUREMENTS as BROKEN

MEASUREMENTS: tuple[Measurement, ...] = (*BROKEN,)

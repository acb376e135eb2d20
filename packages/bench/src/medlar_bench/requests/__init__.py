"""Benchmark rows on requests, floods and load balance."""

from ..rows import Measurement
from .cross import CROSS
from .degraded_servers import BALANCE
from .degraded_servers import COLD
from .degraded_servers import LYING
from .degraded_servers import SHEDDING
from .keep import KEEP
from .verdicts import VERDICTS

MEASUREMENTS: tuple[Measurement, ...] = (
    VERDICTS,
    SHEDDING,
    KEEP,
    CROSS,
    COLD,
    LYING,
    BALANCE,
)

"""Rows of requests, floods and load."""

from ..rows import Measurement
from .cross import CROSS
from .keep import KEEP
from .trouble import BALANCE
from .trouble import COLD
from .trouble import LYING
from .trouble import SHEDDING
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

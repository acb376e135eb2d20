"""Rows of the relay's decisions under load and at a start."""

from ..rows import Measurement
from .room import ROOM
from .thin import measure_thin

THIN = Measurement(
    (
        "config.thin_start_s",
        "config.thin_change_s",
        "config.bytes_a_start",
        "config.bytes_a_change",
    ),
    measure_thin,
)
MEASUREMENTS: tuple[Measurement, ...] = (THIN, *ROOM)

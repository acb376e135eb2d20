"""Rows of the relay's decisions under load and at a start."""

from ..rows import Measurement
from .grey import measure_grey
from .grey import ROWS as GREY_ROWS
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
GREY = Measurement(GREY_ROWS, measure_grey)
MEASUREMENTS: tuple[Measurement, ...] = (THIN, *ROOM, GREY)

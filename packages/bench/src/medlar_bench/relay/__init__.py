"""Rows of the relay: how a large configuration reaches thin machines."""

from ..rows import Measurement
from .thin import measure_thin

MEASUREMENTS = (
    Measurement(
        (
            "config.thin_start_s",
            "config.thin_change_s",
            "config.bytes_a_start",
            "config.bytes_a_change",
        ),
        measure_thin,
    ),
)

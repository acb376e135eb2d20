"""Rows of the configuration."""

from ..rows import Measurement
from .propagation import measure as everywhere
from .racing import measure as racing
from .reverts import measure as reverts

MEASUREMENTS: tuple[Measurement, ...] = (
    Measurement(("config.reverts",), reverts),
    Measurement(("config.lost_or_doubled",), racing),
    Measurement(
        ("config.everywhere_s.D", "config.everywhere_outage_s"), everywhere
    ),
)

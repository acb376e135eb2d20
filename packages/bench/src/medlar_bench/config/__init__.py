"""Benchmark rows of the configuration area."""

from ..rows import Measurement
from .propagation import measure as measure_propagation
from .racing import measure as measure_races
from .reverts import measure as measure_reverts

MEASUREMENTS: tuple[Measurement, ...] = (
    Measurement(("config.reverts",), measure_reverts),
    Measurement(("config.lost_or_doubled",), measure_races),
    Measurement(
        ("config.everywhere_s.D", "config.everywhere_outage_s"),
        measure_propagation,
    ),
)

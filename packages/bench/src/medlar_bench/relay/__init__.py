"""Rows of the relay: servers that fail while they look well."""

from ..rows import Measurement
from .grey import measure_grey
from .grey import ROWS as GREY_ROWS

MEASUREMENTS = (Measurement(GREY_ROWS, measure_grey),)

"""Rows of the relay's decisions under load."""

from ..rows import Measurement
from .room import ROOM

MEASUREMENTS: tuple[Measurement, ...] = (*ROOM,)

"""Rows of membership, store access, control budgets and recovery."""

from ..rows import Measurement
from .budgets import core_row
from .budgets import fleet_rows
from .budgets import memory_row
from .liveness import detect
from .liveness import false_dead
from .liveness import fenced
from .recover import cold_fleet
from .recover import store_back

MEASUREMENTS: tuple[Measurement, ...] = (
    Measurement(("member.false_dead",), false_dead),
    Measurement(("member.detect_s",), detect),
    Measurement(("member.fenced",), fenced),
    Measurement(
        ("store.writes_s.D", "store.reads_s.D", "control.bytes_s.D"),
        fleet_rows,
    ),
    Measurement(("control.core_share.D",), core_row, wall=True),
    Measurement(("control.memory_mb.D",), memory_row),
    Measurement(("recover.cold_fleet_s",), cold_fleet),
    Measurement(("recover.store_back_s",), store_back),
)

"""Callers of a service in which some servers fail and look well."""

import msgspec

from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .grey_fleet import GreyFleet
from .grey_fleet import Kind
from .grey_fleet import Load

LEAST_IN_AIM = 0.98
LOADS = {
    Size.FAST: Load(servers=12, grey=2, seconds=6.0),
    Size.FULL: Load(servers=48, grey=7, seconds=6.0),
}
KINDS = tuple(kind for kind in Kind if kind is not Kind.NONE)
BURST = 1.7
BURST_ROW = "grey.burst.false_ejections"
ROWS = (
    *(f"grey.{kind.value}.in_aim" for kind in KINDS),
    *(f"grey.{kind.value}.false_ejections" for kind in KINDS),
    BURST_ROW,
)


def measure_grey(size: Size, seed: int) -> list[Row]:
    """Measure callers served in time, and well servers held to be failing.

    The baseline does not judge servers by their flows.
    """
    rows = []
    for kind in KINDS:
        load = msgspec.structs.replace(LOADS[size], kind=kind, seed=seed)
        found = GreyFleet(load).play()
        simple = GreyFleet(load, is_judged=False).play()
        rows += [
            Row(
                f"grey.{kind.value}.in_aim",
                found.in_aim,
                "share",
                LEAST_IN_AIM,
                Sense.MIN,
                seed,
                simple.in_aim,
                "load alone",
            ),
            _ejections(
                f"grey.{kind.value}.false_ejections",
                found.false_ejections,
                seed,
            ),
        ]
    burst = msgspec.structs.replace(LOADS[size], rate_factor=BURST, seed=seed)
    ejected = GreyFleet(burst).play().false_ejections
    return [*rows, _ejections(BURST_ROW, ejected, seed)]


def _ejections(name: str, count: int, seed: int) -> Row:
    return Row(name, count, "servers", 0, Sense.MAX, seed)

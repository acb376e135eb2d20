"""Rows of the time line: order, loss under a flood, cost and size.

No target is stated for these rows. Their bounds are shares of the
stated budgets of a node.
"""

from ..rows import Measurement
from .cost import measure_core
from .cost import measure_size
from .flood import measure_flood
from .order import measure_order

MEASUREMENTS = (
    Measurement(("timeline.out_of_order",), measure_order),
    Measurement(("timeline.rare_lost",), measure_flood),
    Measurement(("timeline.memory_mb", "timeline.answer_mb"), measure_size),
    Measurement(("timeline.core_share",), measure_core, wall=True),
)

"""All that was measured, and slopes over it."""

from collections.abc import Callable
from concurrent import futures
import multiprocessing

import msgspec

from .capacity_bad_days import BadDays
from .capacity_bad_days import measure_bad_days
from .capacity_codec import CodecCost
from .capacity_codec import measure_codec
from .capacity_flows import FlowCost
from .capacity_flows import FLOWS
from .capacity_flows import measure_flows
from .capacity_measure import CHANGE_S
from .capacity_measure import Load
from .capacity_measure import measure
from .capacity_measure import Sample
from .capacity_measure import Steady
from .capacity_model import fit
from .capacity_model import Shape
from .capacity_model import Slope

SIZES = (7, 14, 21, 28)
"""Balancers; agents and addresses come with them in proportion."""
SEED = 1
JOBS = 4
Role = Callable[[Steady], Load]


class Measured(msgspec.Struct, frozen=True):
    """All that was measured."""

    samples: list[Sample]
    days: list[BadDays]
    flows: list[FlowCost]
    codec: CodecCost

    def slope(
        self, pick: Callable[[Sample], float], shape: Shape = Shape.LINE
    ) -> Slope:
        """Return how a figure grows with the balancers of the fleet."""
        sizes = [float(s.balancers) for s in self.samples]
        return fit(sizes, [pick(s) for s in self.samples], shape)

    def flow_slope(self, pick: Callable[[FlowCost], float]) -> Slope:
        """Return how a figure grows with the flows of an agent."""
        sizes = [float(cost.flows) for cost in self.flows]
        return fit(sizes, [pick(cost) for cost in self.flows], Shape.LINE)

    def added(self, role: Role, pick: Callable[[Sample], Steady]) -> Slope:
        """Return the bytes that one change adds at a mean process."""
        return self.slope(
            lambda s: (
                max(0.0, role(pick(s)).bytes_mean - role(s.steady).bytes_mean)
                * CHANGE_S
            ),
            Shape.LOG,
        )

    def hint_bytes(self) -> float:
        """Return the bytes that one moved flow costs each balancer."""
        return max(0.0, self.flow_slope(lambda c: c.balancer_bytes).rise)


def measure_all() -> Measured:
    """Measure every size in a pool of processes."""
    context = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(JOBS, mp_context=context) as pool:
        days = [pool.submit(measure_bad_days, n, SEED) for n in SIZES[::-1]]
        samples = [pool.submit(measure, n, SEED) for n in SIZES[::-1]]
        flows = [pool.submit(measure_flows, n, SEED) for n in FLOWS]
        return Measured(
            samples=[task.result() for task in samples[::-1]],
            days=[task.result() for task in days[::-1]],
            flows=[task.result() for task in flows],
            codec=measure_codec(),
        )

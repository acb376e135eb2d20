"""Gauges of the reducers and their help texts."""

import pytest

from medlar_node.relay.metrics import GAUGES

from .kit import Fleet
from .kit import node


@pytest.mark.parametrize("kind", ["agent", "balancer"])
def test_each_gauge_of_a_process_has_a_help_text(kind):
    """Guards against scrapes that fail as a gauge has none."""
    fleet = Fleet()
    gauges = fleet.world.nodes[node(kind, 0)].gauges(fleet.world.clock.now)
    assert gauges.keys() <= GAUGES.keys()

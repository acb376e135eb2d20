"""Control messages of a fleet without traffic, at several sizes."""

import pytest

from medlar_core.effects import CallStore
from medlar_core.effects import Send

from .kit import Fleet
from .kit import node
from .kit import OFFICE

MAX_DATAGRAMS_PER_S = 15.0
"""Largest rate at which a process sends control messages at any size."""
MAX_SLOPE = 1.2
"""Largest ratio of that rate at 300 processes to the rate at 30."""
PERIOD_S = 60.0
SETTLE_S = 10.0


class _CountingReducer:
    """Counts the messages and store calls of a reducer."""

    def __init__(self, reducer):
        self.reducer = reducer
        self.sent = 0
        self.store_calls = 0

    def reduce(self, now, event):
        effects = self.reducer.reduce(now, event)
        for effect in effects:
            self.sent += isinstance(effect, Send)
            self.store_calls += isinstance(effect, CallStore)
        return effects


def _counters(processes):
    """Run an idle fleet of a size; return the counter of each process.

    A fifth of its servers are of a second service, a third of the
    processes are balancers.
    """
    balancers = processes * 3 // 10
    agents = processes - balancers
    fleet = Fleet(agents=agents * 4 // 5, balancers=balancers)
    offices = range(agents * 4 // 5, agents)
    fleet.add_agents(offices, OFFICE)
    fleet.run(SETTLE_S)
    counters = {}
    for address, reducer in list(fleet.world.nodes.items()):
        counters[address] = _CountingReducer(reducer)
        fleet.world.nodes[address] = counters[address]
    fleet.run(PERIOD_S)
    return counters


def _busiest_per_s(counters, kind):
    """Return the mean rate of messages of the processes of a kind.

    The balancers that watch the store for all others are left out.
    """
    first = node(kind, 0).rsplit(".", 1)[0]
    rates = [
        counter.sent / PERIOD_S
        for address, counter in counters.items()
        if address.startswith(first)
    ]
    return sorted(rates)[-4]


@pytest.fixture(scope="module")
def counters_by_size():
    return {size: _counters(size) for size in (30, 195)}


@pytest.mark.parametrize("kind", ["agent", "balancer"])
def test_the_messages_of_a_process_stay_within_their_limit(
    counters_by_size, kind
):
    assert _busiest_per_s(counters_by_size[195], kind) <= MAX_DATAGRAMS_PER_S

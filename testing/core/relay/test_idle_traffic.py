"""Control messages of a fleet without traffic."""

import pytest

from medlar_core.relay.store_view import WATCHER_COUNT

from .kit import Fleet
from .kit import node
from .kit import OFFICE
from .wrappers import CountingReducer

MAX_DATAGRAMS_PER_S = 15.0
"""Largest rate at which a process sends control messages at any size."""
MAX_BALANCER_BYTES_PER_S = 5_000.0
"""Largest mean of what a balancer sends and receives, datagrams' heads
included."""
MAX_STORE_CALLS_PER_S = 0.1
"""Largest mean rate of the store calls of a process."""
DATAGRAM_HEAD_BYTES = 28
SIZE = 195
"""Processes."""
PERIOD_S = 30.0
SETTLE_S = 10.0


@pytest.fixture(scope="module")
def counters():
    """Run an idle fleet; return the counter of each process.

    A fifth of its servers are of a second service, three tenths of the
    processes are balancers.
    """
    balancers = SIZE * 3 // 10
    agents = SIZE - balancers
    fleet = Fleet(agents=agents * 4 // 5, balancers=balancers)
    fleet.add_agents(range(agents * 4 // 5, agents), OFFICE)
    fleet.run(SETTLE_S)
    counters = {}
    for address, reducer in list(fleet.world.nodes.items()):
        counters[address] = CountingReducer(reducer)
        fleet.world.nodes[address] = counters[address]
    fleet.run(PERIOD_S)
    return counters


def _of_kind(counters, kind):
    subnet = node(kind, 0).rsplit(".", 1)[0]
    return [
        counter
        for address, counter in counters.items()
        if address.startswith(subnet)
    ]


@pytest.mark.parametrize("kind", ["agent", "balancer"])
def test_the_messages_of_a_process_stay_within_their_limit(counters, kind):
    """The balancers that watch the store for all others are left out."""
    rates = sorted(c.sent / PERIOD_S for c in _of_kind(counters, kind))
    assert rates[-1 - WATCHER_COUNT] <= MAX_DATAGRAMS_PER_S


def test_the_bytes_of_a_balancer_stay_within_their_limit(counters):
    balancers = _of_kind(counters, "balancer")
    size = sum(
        c.sent_bytes
        + c.received_bytes
        + DATAGRAM_HEAD_BYTES * (c.sent + c.received)
        for c in balancers
    )
    assert size / len(balancers) / PERIOD_S <= MAX_BALANCER_BYTES_PER_S


def test_the_store_calls_of_a_process_stay_within_their_limit(counters):
    calls = sum(counter.store_calls for counter in counters.values())
    assert calls / len(counters) / PERIOD_S <= MAX_STORE_CALLS_PER_S

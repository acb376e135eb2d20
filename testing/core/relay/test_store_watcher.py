"""Watches of the store by the balancers that watch it for all."""

from medlar_core.relay.store_view import MEMBERS_PACE_S
from medlar_core.relay.store_view import WATCHER_COUNT
from medlar_core.store import Watch

from .kit import AGENTS
from .kit import Fleet
from .kit import MEMBERS


def member_watches(fleet, seconds, change):
    """Return how many watches of the members start while they change."""
    started = []
    call = fleet.world.store.call

    def counting_call(op, answered):
        if isinstance(op, Watch) and op.prefix == MEMBERS:
            started.append(op)
        call(op, answered)

    fleet.world.store.call = counting_call
    for step in range(int(seconds * 20)):
        change(step)
        fleet.run(0.05)
    return len(started)


def test_many_changes_of_members_need_few_watches():
    fleet = Fleet()
    seconds = 5.0
    watches = member_watches(
        fleet, seconds, lambda step: fleet.write(f"{MEMBERS}x/{step}", "")
    )
    assert watches <= WATCHER_COUNT * (seconds / MEMBERS_PACE_S + 1)


def test_a_lost_entry_is_written_again_within_two_seconds():
    fleet = Fleet()
    address = next(iter(fleet.agents))
    fleet.delete(AGENTS + address)
    fleet.run(2.0)
    assert AGENTS + address in fleet.world.store.items

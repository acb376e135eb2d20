"""When the record of services is written, and what relies on it."""

from medlar_core.events import Received
from medlar_core.relay.messages import ScopeAsked
from medlar_core.store import Put

from .kit import DESK
from .kit import Fleet
from .kit import flow
from .kit import node
from .kit import OFFICE
from .kit import RECORD
from .kit import table
from .wrappers import CountingReducer


def count_record_writes(fleet):
    """Return a list that grows with each write of the record."""
    call, writes = fleet.world.store.call, []

    def counting_call(op, answered):
        if isinstance(op, Put) and op.key == RECORD:
            writes.append(fleet.world.clock.now)
        call(op, answered)

    fleet.world.store.call = counting_call
    return writes


def test_only_balancers_that_watch_the_store_write_the_record():
    fleet = Fleet(balancers=8)
    writes = count_record_writes(fleet)
    fleet.delete(RECORD)
    fleet.configure(table(2, DESK, OFFICE))
    fleet.run(10.0)
    assert 1 <= len(writes) <= 3


def test_a_start_of_all_processes_writes_no_record():
    fleet = Fleet(balancers=8)
    fleet.run(2.0)
    writes = count_record_writes(fleet)
    fleet.restart_all()
    fleet.run(10.0)
    assert writes == []


def test_no_scope_is_told_of_a_route_that_is_not_recorded_yet():
    fleet = Fleet()
    fleet.run(2.0)
    fleet.configure(table(2, DESK, DESK))
    fleet.run(0.1)
    assert fleet.balancers[node("balancer", 0)].routes.version == 2
    told = CountingReducer(fleet.agents[node("agent", 0)])
    fleet.world.nodes[node("agent", 0)] = told
    asked = Received(node("agent", 0), ScopeAsked(flow(1, 8001)))
    fleet.world.dispatch(node("balancer", 0), asked)
    fleet.run(0.1)
    assert told.scopes_told == 0
    fleet.run(2.0)
    fleet.world.dispatch(node("balancer", 0), asked)
    fleet.run(0.1)
    assert told.scopes_told == 1

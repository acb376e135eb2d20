"""Routes that move while the record of services is written slowly."""

from medlar_core.events import Received
from medlar_core.ids import ServiceName
from medlar_core.relay.configuration.pending_routes import RECORD_LIMIT_S
from medlar_core.relay.configuration.scope_store import READ_VALID_S
from medlar_core.relay.messages import ScopeAsked
from medlar_core.store import Put
from medlar_core.timeline.events import Topic

from .kit import DESK
from .kit import Fleet
from .kit import flow
from .kit import LONG_IDLE_S
from .kit import node
from .kit import OFFICE
from .kit import one_route
from .kit import RECORD
from .wrappers import WithoutHellos

LAGGING = 4
"""A balancer that does not watch the store."""
PROPAGATION_S = 3.0
"""A configuration is in force everywhere within this."""
THIRD = ServiceName("third")


def three_services():
    """Return a fleet with agents of three services, and five balancers."""
    fleet = Fleet(balancers=5)
    fleet.add_agents(range(10, 14), OFFICE)
    fleet.add_agents(range(20, 24), THIRD)
    fleet.run(3.0)
    return fleet


def delay_record_writes(fleet, delay_s):
    """Let the store carry out each write of the record later."""
    call = fleet.world.store.call

    def call_later(op, answered):
        if isinstance(op, Put) and op.key == RECORD:
            fleet.world.clock.after(delay_s, lambda: call(op, answered))
        else:
            call(op, answered)

    fleet.world.store.call = call_later


def versions(fleet):
    return {b.routes.version for b in fleet.balancers.values()}


def run_until_recorded(fleet, service):
    while service not in fleet.world.store.items[RECORD].value:
        fleet.run(0.01)


def read_record_now(fleet, number):
    """Have a balancer read the record, for a flow that nobody holds."""
    asked = Received(node("agent", 0), ScopeAsked(flow(999)))
    fleet.world.dispatch(node("balancer", number), asked)


def test_flows_were_reset_after_a_write_of_the_record_that_took_long():
    fleet = three_services()
    delay_record_writes(fleet, 0.9)
    fleet.configure(one_route(2, {OFFICE: 1}, LONG_IDLE_S))
    lagging = node("balancer", LAGGING)
    fleet.world.nodes[lagging] = WithoutHellos(fleet.balancers[lagging])
    fleet.run(0.85)
    read_record_now(fleet, LAGGING)
    while fleet.balancers[node("balancer", 0)].routes.version < 2:
        fleet.run(0.01)
    opened = [fleet.open(1, by=0)]
    fleet.assert_answered(opened, by=LAGGING)


def test_a_service_recorded_late_is_not_used_before_all_reads_have_it():
    fleet = three_services()
    delay_record_writes(fleet, 0.75)
    fleet.configure(one_route(2, {OFFICE: 1}))
    run_until_recorded(fleet, OFFICE)
    fleet.run(READ_VALID_S - 0.05)
    assert versions(fleet) == {1}
    fleet.run(1.0)
    assert versions(fleet) == {2}


def test_a_second_move_within_a_second_waits_for_its_own_record():
    fleet = three_services()
    delay_record_writes(fleet, 0.3)
    fleet.configure(one_route(2, {OFFICE: 1}))
    fleet.run(0.45)
    fleet.configure(one_route(3, {THIRD: 1}))
    run_until_recorded(fleet, THIRD)
    fleet.run(READ_VALID_S - 0.05)
    assert 3 not in versions(fleet)
    fleet.run(2.0)
    assert versions(fleet) == {3}


def test_moves_that_follow_each_other_do_not_delay_the_first_of_them():
    fleet = three_services()
    services = (OFFICE, THIRD, DESK)
    for version in range(2, 22):
        service = services[version % len(services)]
        fleet.configure(one_route(version, {service: 1}))
        fleet.run(0.2)
        expected = version - PROPAGATION_S / 0.2
        assert min(versions(fleet)) >= expected
    fleet.run(RECORD_LIMIT_S + READ_VALID_S)
    assert versions(fleet) == {21}


def test_a_balancer_started_between_two_moves_resets_no_flow():
    fleet = three_services()
    delay_record_writes(fleet, 0.6)
    opened = [fleet.open(number, by=0) for number in range(10)]
    fleet.configure(one_route(2, {OFFICE: 1}, LONG_IDLE_S))
    fleet.run(0.5)
    fleet.start_balancer(node("balancer", 9))
    fleet.run(0.3)
    fleet.configure(one_route(3, {THIRD: 1}, LONG_IDLE_S))
    for number in range(20, 40):
        opened.append(fleet.open(number, by=number % 3))
    for by in (9, 0, LAGGING):
        fleet.assert_answered(opened, by)


def lose_record_writes(fleet):
    """Let the store do no write of the record; return how to end that."""
    call = fleet.world.store.call

    def call_unless_written(op, answered):
        if not (isinstance(op, Put) and op.key == RECORD):
            call(op, answered)

    fleet.world.store.call = call_unless_written

    def end():
        fleet.world.store.call = call

    return end


def test_a_service_that_could_not_be_recorded_gets_no_flow():
    """Guards against resets by balancers that read the store meanwhile."""
    fleet = three_services()
    end = lose_record_writes(fleet)
    fleet.configure(one_route(2, {OFFICE: 1}))
    fleet.run(PROPAGATION_S)
    assert versions(fleet) == {2}
    fleet.syn(flow(1))
    fleet.run(0.1)
    assert fleet.packet_count(flow(1), 0xFF) == 0
    assert any(
        event.topic is Topic.PLACEMENT and "not recorded" in event.text
        for event in fleet.world.events
    )
    end()
    fleet.run(PROPAGATION_S)
    opened = fleet.open(1)
    assert fleet.services[fleet.holder(opened)] == OFFICE


def test_a_service_that_could_not_be_recorded_is_used_once_the_store_is_lost():
    fleet = three_services()
    lose_record_writes(fleet)
    fleet.configure(one_route(2, {OFFICE: 1}))
    fleet.run(0.2)
    fleet.world.store.down = True
    fleet.run(7.0)
    opened = fleet.open(1)
    assert fleet.services[fleet.holder(opened)] == OFFICE

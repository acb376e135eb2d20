"""A service in which one server, or most, fail in one way."""

import pytest

from medlar_core.packets import Flag
from medlar_core.relay.configuration.routes import Route
from medlar_core.relay.configuration.routes import RouteTable
from medlar_core.relay.configuration.routes import Share
from medlar_core.relay.events import ServerPacketReceived
from medlar_core.relay.health.state import HealthState
from medlar_core.relay.messages import AgentState
from medlar_fakes.relay import encode
from medlar_fakes.relay import FakeCodec

from ..kit import DESK
from ..kit import Fleet
from ..kit import flow
from ..kit import FLOW_IDLE_S
from ..kit import node
from .grey_servers import Failure
from .grey_servers import put_grey

AGENTS = 8
FLOW_INTERVAL_S = 0.02
SETTLE_S = 2.0
GREY = node("agent", 3)


def start_fleet(agents=AGENTS):
    """Return a fleet whose route is idempotent and due in 200 ms."""
    fleet = Fleet(agents=agents)
    route = Route(
        "192.0.2.1",
        8000,
        (Share(DESK, 1),),
        target_ms=200,
        is_idempotent=True,
    )
    fleet.configure(RouteTable(2, (route,), FLOW_IDLE_S))
    fleet.run(1.0)
    return fleet


class Callers:
    """Opens a flow each ``FLOW_INTERVAL_S`` and sends one request on it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.flows = []

    def run(self, seconds):
        first = len(self.flows)
        now = self.fleet.world.clock.now
        after = self.fleet.world.clock.after
        for number in range(round(seconds / FLOW_INTERVAL_S)):
            opened = flow(first + number)
            self.flows.append(opened)
            delay_s = number * FLOW_INTERVAL_S
            after(delay_s, lambda f=opened, n=number: self._call(f, n % 3))
        self.fleet.run(seconds)
        assert self.fleet.world.clock.now >= now
        return self.flows[first:]

    def _call(self, opened, by):
        after = self.fleet.world.clock.after
        self.fleet.syn(opened, by)
        after(0.01, lambda: self._ask(opened, by))
        after(0.2, lambda: self._repeat(opened, by, 1))
        after(0.6, lambda: self._repeat(opened, by, 2))

    def _repeat(self, opened, by, retransmission):
        if self.fleet.packet_count(opened, Flag.SYN):
            return
        self.fleet.syn(opened, by, retransmission)
        after = self.fleet.world.clock.after
        after(0.01, lambda: self._ask(opened, by))

    def _ask(self, opened, by):
        if self.fleet.packet_count(opened, Flag.SYN):
            self.fleet.data(opened, by)


def states(fleet):
    return [
        agent.report(fleet.world.clock.now).health
        for agent in fleet.agents.values()
    ]


def accepted_at(fleet, address, flows):
    taken = set(fleet.world.servers[address].accepted)
    return sum(opened in taken for opened in flows)


@pytest.mark.parametrize(
    "failure", [Failure.MUTE, Failure.HANG, Failure.RESET, Failure.SHED]
)
def test_a_server_that_fails_gets_few_flows(failure):
    fleet = start_fleet()
    callers = Callers(fleet)
    callers.run(8.0)
    server = put_grey(fleet, GREY, failure)
    callers.run(SETTLE_S)
    before = len(server.syns)
    later = callers.run(5.0)
    tried = {syn.inward for syn in server.syns[before:]}
    assert len(tried) <= len(later) / AGENTS / 2
    now = fleet.world.clock.now
    well = [a.report(now).health for n, a in fleet.agents.items() if n != GREY]
    assert set(well) == {HealthState.HEALTHY}


def test_a_copy_of_a_syn_that_a_mute_server_left_goes_elsewhere():
    fleet = start_fleet()
    callers = Callers(fleet)
    callers.run(1.0)
    put_grey(fleet, GREY, Failure.MUTE)
    flows = callers.run(SETTLE_S)
    fleet.run(1.0)
    opened = [f for f in flows if fleet.packet_count(f, Flag.SYN)]
    assert opened == flows
    assert fleet.reset_count(flows) == 0


def test_a_late_answer_to_a_syn_that_went_elsewhere_resets_nothing():
    fleet = start_fleet()
    callers = Callers(fleet)
    callers.run(1.0)
    server = put_grey(fleet, GREY, Failure.MUTE)
    flows = callers.run(1.0)
    server.failure = None
    for syn in list(server.syns):
        for answer in server.handle(syn):
            late = FakeCodec().decode(encode(answer))
            fleet.world.dispatch(GREY, ServerPacketReceived(late))
    fleet.run(1.0)
    for opened in flows:
        fleet.data(opened, seq=400)
    fleet.run(1.0)
    assert fleet.reset_count(flows) == 0
    assert all(fleet.answer_count(f) for f in flows)


@pytest.mark.parametrize("failure", [Failure.MUTE, Failure.RESET])
def test_all_servers_are_used_if_most_look_bad(failure):
    fleet = start_fleet()
    callers = Callers(fleet)
    callers.run(1.0)
    grey = list(fleet.agents)[:6]
    for address in grey:
        put_grey(fleet, address, failure)
    callers.run(6.0)
    for address in grey:
        fleet.world.servers[address].failure = None
    flows = callers.run(2.0)
    counts = [accepted_at(fleet, address, flows) for address in grey]
    assert min(counts) > 0


def test_a_server_that_succeeds_again_gets_its_share_back():
    fleet = start_fleet()
    callers = Callers(fleet)
    callers.run(1.0)
    server = put_grey(fleet, GREY, Failure.RESET)
    callers.run(SETTLE_S)
    server.failure = None
    callers.run(10.0)
    flows = callers.run(4.0)
    assert set(states(fleet)) == {HealthState.HEALTHY}
    assert accepted_at(fleet, GREY, flows) >= len(flows) / AGENTS / 2


def test_a_service_of_one_server_keeps_it():
    fleet = start_fleet(agents=1)
    callers = Callers(fleet)
    callers.run(1.0)
    address = node("agent", 0)
    server = put_grey(fleet, address, Failure.RESET)
    callers.run(SETTLE_S)
    server.failure = None
    flows = callers.run(1.0)
    assert accepted_at(fleet, address, flows) == len(flows)


def test_an_agent_that_restarts_has_no_evidence_and_opens_no_flow_twice():
    fleet = start_fleet()
    callers = Callers(fleet)
    callers.run(1.0)
    put_grey(fleet, GREY, Failure.RESET)
    callers.run(SETTLE_S)
    fleet.kill(GREY)
    fleet.start_agent(GREY)
    fleet.run(1.5)
    report = fleet.agents[GREY].report(fleet.world.clock.now)
    assert report.state is AgentState.READY
    assert report.health is HealthState.HEALTHY
    callers.run(SETTLE_S)
    assert (
        fleet.agents[GREY].report(fleet.world.clock.now).health
        is HealthState.SUSPECT
    )


def test_a_change_of_health_is_logged_with_its_evidence():
    fleet = start_fleet()
    callers = Callers(fleet)
    put_grey(fleet, GREY, Failure.RESET)
    callers.run(SETTLE_S)
    lines = [
        event
        for event in fleet.world.events
        if event.text.startswith("health: server is suspect, was healthy")
    ]
    assert len(lines) == 1
    assert lines[0].server == GREY
    assert "reset" in lines[0].reason

"""Placement of new flows in a service with many agents."""

from medlar_core.packets import Flag
from medlar_core.relay.balance.choice import Choice
from medlar_core.relay.balance.choice import RECENT_LOAD_S

from .kit import ANNOUNCE_INTERVAL_S
from .kit import Fleet
from .kit import flow
from .kit import node
from .kit import OFFICE

AGENTS = 40
FLOWS = 160
TIMER_S = 0.1
"""Time between two ticks of a process."""


def test_flows_are_placed_by_recent_loads(monkeypatch):
    ages = []
    select = Choice.select

    def recording_select(self, now, own_report, members, *args):
        ages.extend(now - member.last_report_at for member in members)
        return select(self, now, own_report, members, *args)

    fleet = Fleet(agents=AGENTS)
    monkeypatch.setattr(Choice, "select", recording_select)
    for number in range(FLOWS):
        fleet.open(number)
    assert ages
    assert max(ages) <= RECENT_LOAD_S


def test_a_burst_is_spread_over_the_servers():
    fleet = Fleet(agents=AGENTS)
    for server in fleet.world.servers.values():
        server.ignores_data = True
    for number in range(FLOWS):
        fleet.syn(flow(number), by=number % 3)
        fleet.run(0.002)
    fleet.run(2 * TIMER_S)
    accepted = [len(s.accepted) for s in fleet.world.servers.values()]
    assert sum(accepted) == FLOWS
    assert max(accepted) <= 2 * FLOWS / AGENTS


def test_a_flow_is_placed_though_an_agent_that_was_asked_is_dead():
    fleet = Fleet(agents=AGENTS)
    for number in range(0, AGENTS, 4):
        fleet.kill(node("agent", number))
    opened = [flow(number) for number in range(FLOWS)]
    for number, flow_id in enumerate(opened):
        for retransmission, wait_s in enumerate((0.2, 0.4, 0.8)):
            if not fleet.packet_count(flow_id, Flag.SYN):
                fleet.syn(flow_id, number % 3, retransmission)
                fleet.run(wait_s)
    answered = [f for f in opened if fleet.packet_count(f, Flag.SYN)]
    assert len(answered) == FLOWS


def test_a_flow_that_its_agent_does_not_confirm_is_placed_elsewhere():
    fleet = Fleet(agents=AGENTS)
    # An agent that has just reported its load is killed.
    placed = {}
    for number in range(FLOWS):
        flow_id = fleet.open(number)
        placed[flow_id] = fleet.holder(flow_id)
    killed = node("agent", 3)
    fleet.kill(killed)
    fleet.world.servers.pop(killed)
    for number in range(FLOWS, 2 * FLOWS):
        fleet.syn(flow(number))
        fleet.run(0.2)
        fleet.syn(flow(number), retransmission=1)
        fleet.run(0.2)
    opened = [flow(number) for number in range(FLOWS, 2 * FLOWS)]
    assert all(fleet.packet_count(f, Flag.SYN) for f in opened)


def test_a_flow_opened_through_a_balancer_gives_it_a_hint():
    fleet = Fleet(agents=AGENTS)
    for number in range(20):
        flow_id = fleet.open(number)
        before = fleet.world.forward_count
        fleet.data(flow_id, seq=500)
        fleet.run(0.01)
        assert fleet.world.forward_count == before + 1


def test_a_server_of_another_service_is_known_to_all_at_once():
    fleet = Fleet(agents=AGENTS, balancers=14)
    fleet.add_agents(range(AGENTS, 2 * AGENTS), OFFICE)
    fleet.run(10.0)
    address = node("agent", 3)
    fleet.start_server(address, OFFICE)
    fleet.run(ANNOUNCE_INTERVAL_S + TIMER_S)
    known = [
        process.members.agents[address].report.service
        for process in (
            fleet.agents[node("agent", AGENTS + 5)],
            *fleet.balancers.values(),
        )
    ]
    assert set(known) == {OFFICE}


def test_a_flow_is_not_refused_while_the_loads_of_peers_are_not_known():
    fleet = Fleet(agents=AGENTS)
    owner = node("agent", 3)
    fleet.world.servers[owner].capacity = 0
    fleet.world.cut_links.update(
        (peer, owner) for peer in fleet.agents if peer != owner
    )
    opened = [flow(number) for number in range(FLOWS)]
    for flow_id in opened:
        fleet.syn(flow_id)
        fleet.run(TIMER_S)
    assert fleet.reset_count(opened) == 0

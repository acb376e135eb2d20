"""Reports of agents to balancers and peers."""

import msgspec

from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.relay.balance.report_schedule import FULL_REPORT_INTERVAL_S
from medlar_core.relay.balance.report_schedule import FULL_REPORT_ROUNDS
from medlar_core.relay.balance.report_schedule import ReportSchedule
from medlar_core.relay.messages import AgentReport
from medlar_core.relay.messages import AgentState
from medlar_core.relay.messages import encode
from medlar_core.relay.messages import LoadReport

from .kit import AGENTS
from .kit import Fleet
from .kit import node

PEER = NodeId("10.0.1.2:7000")
REPORT = AgentReport(
    NodeId("10.0.1.1:7000"),
    PlaceName("a"),
    ServiceName("desk"),
    1_790_000_000_000,
    1,
    AgentState.READY,
    server="i-1",
    server_born=1_790_000_000_000,
)


def sent_types(
    schedule: ReportSchedule, report: AgentReport, *at: float
) -> list[type]:
    types = []
    for now in at:
        sent = schedule.due(Seconds(now), [PEER], lambda: report)
        types += [type(send.msg) for send in sent]
    return types


def test_load_reports_are_sent_while_nothing_else_changes():
    schedule = ReportSchedule(0.1)
    at = [0.125 * step for step in range(1, FULL_REPORT_ROUNDS + 6)]
    types = sent_types(schedule, REPORT, *at)
    assert types == [AgentReport] * FULL_REPORT_ROUNDS + [LoadReport] * 5
    late = at[-1] + FULL_REPORT_INTERVAL_S
    assert sent_types(schedule, REPORT, late, late + 0.125) == [
        AgentReport,
        LoadReport,
    ]


def test_a_change_is_sent_in_several_rounds_of_full_reports():
    schedule = ReportSchedule(0.1)
    sent_types(schedule, REPORT, *[0.125 * step for step in range(1, 8)])
    draining = msgspec.structs.replace(REPORT, state=AgentState.DRAINING)
    at = [1.0 + 0.125 * step for step in range(FULL_REPORT_ROUNDS + 1)]
    assert sent_types(schedule, draining, *at) == [
        *[AgentReport] * FULL_REPORT_ROUNDS,
        LoadReport,
    ]


def test_a_load_report_takes_at_most_a_third_of_a_full_report():
    load = LoadReport(REPORT.incarnation, 900, 2, 17, 1)
    assert 3 * len(encode(load)) <= len(encode(REPORT))


def test_a_balancer_without_members_gets_reports_at_once():
    fleet = Fleet()
    fleet.world.store.down = True
    address = node("balancer", 0)
    fleet.kill(address)
    balancer = fleet.start_balancer(address)
    fleet.run(0.5)
    assert len(balancer.members.agents) == 4
    last_report_at = [
        m.last_report_at for m in balancer.members.agents.values()
    ]
    assert min(last_report_at) > fleet.world.clock.now - 0.5


def test_a_load_report_does_not_restore_an_agent_that_is_gone():
    fleet = Fleet()
    address = node("agent", 0)
    balancer = fleet.balancers[node("balancer", 0)]
    gone = balancer.members.agents[address].report
    gone = msgspec.structs.replace(
        gone, state=AgentState.GONE, count=gone.count + 1_000
    )
    now = fleet.world.clock.now
    balancer.members.apply_report(now, gone, direct=True)
    load = LoadReport(gone.incarnation, gone.count + 1, 0, 0, 0)
    assert balancer.members.apply_load(now, address, load)
    assert address not in balancer.members.agents


def test_a_load_report_updates_the_known_load():
    fleet = Fleet(agents=2)
    busy, other = node("agent", 0), node("agent", 1)
    fleet.world.servers[busy].ignores_data = True
    fleet.run(1.0)
    for number in range(6):
        fleet.open(number)
    held = len(fleet.world.servers[busy].flows)
    assert held
    fleet.run(0.3)
    known = fleet.agents[other].members.agents[busy].report
    assert known.busy == held
    assert AGENTS + busy in fleet.world.store.items

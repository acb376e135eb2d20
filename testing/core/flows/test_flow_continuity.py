"""Open flows survive planned changes and unrelated failures."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from medlar_bench.flows.callers import Callers
from medlar_bench.flows.callers import FlowState
from medlar_bench.flows.world import address_of
from medlar_bench.flows.world import make_cfg
from medlar_bench.flows.world import make_service
from medlar_bench.flows.world import PLACES
from medlar_bench.flows.world import World
from medlar_core.events import ServerProbed
from medlar_core.ids import NodeId

ONE = "one"
TWO = "two"
MOVED = "192.0.2.99:443"
FLOWS = 24


class Fleet:
    """Two services on simulated processes, the first with open flows."""

    def __init__(self, seed: int, servers: int = 4) -> None:
        services = (make_service(ONE), make_service(TWO))
        self.world = World(seed, make_cfg(*services))
        self.callers = Callers(self.world)
        self.balancers = [self.world.add_balancer() for _ in range(3)]
        self.servers = [self.join(ONE) for _ in range(servers)]
        self.others = [self.join(TWO) for _ in range(2)]
        self.wait(2.0)
        self.open(FLOWS)

    def join(self, service: str = ONE) -> NodeId:
        place = self.world.rng.choice(PLACES)
        return self.world.add_server(service, place)

    def open(self, count: int, address: str = "") -> None:
        for _ in range(count):
            self.callers.open(address or address_of(ONE))
        self.wait(2.0)

    def wait(self, seconds: float) -> None:
        self.world.clock.run_until(self.world.clock.now + seconds)

    def drain_oldest(self) -> None:
        self.world.drain(self.servers.pop(0))

    def replace(self) -> None:
        self.drain_oldest()
        self.servers.append(self.join())

    def check_unbroken(self, lost: set[NodeId] | None = None) -> None:
        """Wait for late packets and check that no flow broke."""
        self.wait(30.0)
        assert self.callers.broken(lost) == 0
        assert self.callers.misdelivered == 0


def test_many_successive_replacements() -> None:
    fleet = Fleet(1)
    for _ in range(12):
        fleet.replace()
        fleet.wait(3.0)
    fleet.check_unbroken()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_two_changes_at_once(seed: int) -> None:
    fleet = Fleet(seed)
    fleet.world.max_delay_s = 5.0
    fleet.replace()
    fleet.replace()
    fleet.check_unbroken()


@pytest.mark.parametrize("after_s", [0.05, 0.3, 1.0, 3.0])
def test_new_owner_crashes_while_buckets_move(after_s: float) -> None:
    fleet = Fleet(2)
    new_owner = fleet.join()
    fleet.wait(after_s)
    fleet.world.crash(new_owner)
    fleet.check_unbroken({new_owner})


def test_balancer_with_a_view_minutes_old() -> None:
    fleet = Fleet(3)
    fleet.world.lag[fleet.balancers[0]] = 180.0
    for _ in range(4):
        fleet.replace()
        fleet.open(4)
        fleet.wait(10.0)
    fleet.check_unbroken()


def test_agents_with_views_minutes_old() -> None:
    fleet = Fleet(4)
    for node in fleet.servers[1:]:
        fleet.world.lag[node] = 120.0
    for _ in range(2):
        fleet.servers.append(fleet.join())
        fleet.wait(2.0)
        fleet.open(8)
    fleet.wait(60.0)
    fleet.check_unbroken()


@pytest.mark.parametrize("seed", [1, 4, 5])
def test_address_moves_while_configurations_differ(seed: int) -> None:
    fleet = Fleet(seed)
    world = fleet.world
    for name in (ONE, TWO, ONE):
        world.max_delay_s = 8.0
        other = TWO if name == ONE else ONE
        moving = make_service(name, MOVED)
        service = make_service(name)
        extended = type(service)(
            name=service.name,
            addresses=service.addresses + moving.addresses,
            places=service.places,
            connections=service.connections,
        )
        world.configure(make_cfg(extended, make_service(other)))
        for _ in range(8):
            fleet.callers.open(MOVED)
            fleet.callers.open(MOVED, packets=4)
            fleet.wait(1.0)
        fleet.replace()
        fleet.wait(10.0)
    fleet.check_unbroken()


def test_agents_restart_one_by_one() -> None:
    fleet = Fleet(5)
    for node in list(fleet.servers):
        fleet.world.restart_agent(node, down_s=2.0)
        fleet.wait(6.0)
    fleet.check_unbroken()


def test_every_balancer_is_replaced_during_a_drain() -> None:
    fleet = Fleet(6)
    fleet.replace()
    for node in list(fleet.balancers):
        fleet.world.kill_balancer(node)
        fleet.world.add_balancer()
        fleet.wait(1.0)
    fleet.check_unbroken()


def test_crash_of_an_instance_breaks_only_its_own_flows() -> None:
    fleet = Fleet(7)
    lost = fleet.servers[0]
    flows = [f for f in fleet.callers.flows.values() if f.server == lost]
    fleet.world.crash(lost)
    fleet.wait(30.0)
    assert flows
    assert fleet.callers.broken({lost}) == 0
    assert {flow.state for flow in flows} <= {
        FlowState.RESET,
        FlowState.STALLED,
    }


def test_crash_of_a_server_resets_its_flows_at_once() -> None:
    fleet = Fleet(8)
    lost = fleet.servers[0]
    flows = [f for f in fleet.callers.flows.values() if f.server == lost]
    for _ in range(3):
        fleet.world.net.dispatch(lost, ServerProbed(False, False))
    fleet.wait(0.1)
    assert {flow.state for flow in flows} == {FlowState.RESET}


ACTIONS = (
    "replace",
    "join",
    "drain",
    "balancer",
    "restart",
    "lag",
    "open",
    "wait",
)


@hypothesis.settings(
    max_examples=12,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(
    seed=st.integers(0, 1000),
    max_delay_s=st.sampled_from([0.1, 2.0, 6.0]),
    loss=st.sampled_from([0.0, 0.03]),
    plan=st.lists(
        st.tuples(st.sampled_from(ACTIONS), st.sampled_from([0.1, 1.0, 4.0])),
        min_size=4,
        max_size=12,
    ),
)
def test_no_planned_change_breaks_a_flow(
    seed: int,
    max_delay_s: float,
    loss: float,
    plan: list[tuple[str, float]],
) -> None:
    fleet = Fleet(seed)
    world = fleet.world
    world.max_delay_s = max_delay_s
    world.duplicate_share = 0.3
    faults = world.net.faults
    faults.loss, faults.duplicate, faults.jitter_s = loss, 0.1, 0.05
    rng = random.Random(seed)
    for action, pause_s in plan:
        match action:
            case "replace":
                fleet.replace()
            case "join":
                fleet.servers.append(fleet.join())
            case "drain" if len(fleet.servers) > 2:
                fleet.drain_oldest()
            case "balancer":
                world.kill_balancer(rng.choice(list(world.balancers)))
                world.add_balancer()
            case "restart":
                node = rng.choice(fleet.servers)
                if node in world.net.hosts:
                    world.restart_agent(node, down_s=1.5)
            case "lag":
                world.lag[rng.choice(list(world.balancers))] = 45.0
            case "open":
                fleet.open(5)
        fleet.wait(pause_s)
    fleet.check_unbroken()

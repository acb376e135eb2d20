"""Flows stay whole: failures brought about on real reducers."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from medlar_bench.flows.callers import Callers
from medlar_bench.flows.callers import Fate
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
FEEDS = 24


class Stage:
    """A small fleet with open feeds to two services."""

    def __init__(self, seed: int, servers: int = 4) -> None:
        services = (make_service(ONE), make_service(TWO))
        self.world = World(seed, make_cfg(*services))
        self.callers = Callers(self.world)
        self.balancers = [self.world.add_balancer() for _ in range(3)]
        self.servers = [self.join(ONE) for _ in range(servers)]
        self.others = [self.join(TWO) for _ in range(2)]
        self.wait(2.0)
        self.open(FEEDS)

    def join(self, service: str = ONE) -> NodeId:
        place = self.world.rng.choice(PLACES)
        return self.world.add_server(service, place)

    def open(self, feeds: int, address: str = "") -> None:
        for _ in range(feeds):
            self.callers.open(address or address_of(ONE))
        self.wait(2.0)

    def wait(self, seconds: float) -> None:
        self.world.clock.run_until(self.world.clock.now + seconds)

    def drain_oldest(self) -> None:
        self.world.drain(self.servers.pop(0))

    def replace(self) -> None:
        self.drain_oldest()
        self.servers.append(self.join())

    def settle(self, lost: set[NodeId] | None = None) -> None:
        """Let late packets come home; nothing may have broken."""
        self.wait(30.0)
        assert self.callers.broken(lost) == 0
        assert self.callers.foreign == 0


def test_chain_of_many_moves() -> None:
    stage = Stage(1)
    for _ in range(12):
        stage.replace()
        stage.wait(3.0)
    stage.settle()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_two_changes_at_once(seed: int) -> None:
    stage = Stage(seed)
    stage.world.spread_s = 5.0
    stage.replace()
    stage.replace()
    stage.settle()


@pytest.mark.parametrize("after_s", [0.05, 0.3, 1.0, 3.0])
def test_new_owner_dies_half_way(after_s: float) -> None:
    stage = Stage(2)
    mover = stage.join()
    stage.wait(after_s)
    stage.world.crash(mover)
    stage.settle({mover})


def test_balancer_is_minutes_behind() -> None:
    stage = Stage(3)
    stage.world.lag[stage.balancers[0]] = 180.0
    for _ in range(4):
        stage.replace()
        stage.open(4)
        stage.wait(10.0)
    stage.settle()


def test_agents_are_minutes_behind() -> None:
    stage = Stage(4)
    for node in stage.servers[1:]:
        stage.world.lag[node] = 120.0
    for _ in range(2):
        stage.servers.append(stage.join())
        stage.wait(2.0)
        stage.open(8)
    stage.wait(60.0)
    stage.settle()


@pytest.mark.parametrize("seed", [1, 4, 5])
def test_address_moves_while_nodes_disagree(seed: int) -> None:
    stage = Stage(seed)
    world = stage.world
    for name in (ONE, TWO, ONE):
        world.spread_s = 8.0
        other = TWO if name == ONE else ONE
        moved = make_service(name, MOVED)
        mover = make_service(name)
        both = type(mover)(
            name=mover.name,
            addresses=mover.addresses + moved.addresses,
            places=mover.places,
            connections=mover.connections,
        )
        world.configure(make_cfg(both, make_service(other)))
        for _ in range(8):
            stage.callers.open(MOVED)
            stage.callers.open(MOVED, packets=4)
            stage.wait(1.0)
        stage.replace()
        stage.wait(10.0)
    stage.settle()


def test_agents_restart_in_turn_beside_their_servers() -> None:
    stage = Stage(5)
    for node in list(stage.servers):
        stage.world.restart_agent(node, down_s=2.0)
        stage.wait(6.0)
    stage.settle()


def test_every_balancer_is_replaced_during_a_drain() -> None:
    stage = Stage(6)
    stage.replace()
    for node in list(stage.balancers):
        stage.world.kill_balancer(node)
        stage.world.add_balancer()
        stage.wait(1.0)
    stage.settle()


def test_crash_of_an_instance_ends_only_its_flows_soon() -> None:
    stage = Stage(7)
    lost = stage.servers[0]
    flows = [f for f in stage.callers.flows.values() if f.server == lost]
    stage.world.crash(lost)
    stage.wait(30.0)
    assert flows
    assert stage.callers.broken({lost}) == 0
    assert {flow.fate for flow in flows} <= {Fate.RESET, Fate.STALLED}


def test_crash_of_a_server_resets_its_flows_at_once() -> None:
    stage = Stage(8)
    lost = stage.servers[0]
    flows = [f for f in stage.callers.flows.values() if f.server == lost]
    for _ in range(3):
        stage.world.net.dispatch(lost, ServerProbed(False, False))
    stage.wait(0.1)
    assert {flow.fate for flow in flows} == {Fate.RESET}


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
    spread_s=st.sampled_from([0.1, 2.0, 6.0]),
    loss=st.sampled_from([0.0, 0.03]),
    plan=st.lists(
        st.tuples(st.sampled_from(ACTIONS), st.sampled_from([0.1, 1.0, 4.0])),
        min_size=4,
        max_size=12,
    ),
)
def test_no_planned_change_breaks_a_flow(
    seed: int,
    spread_s: float,
    loss: float,
    plan: list[tuple[str, float]],
) -> None:
    stage = Stage(seed)
    world = stage.world
    world.spread_s = spread_s
    world.doubled = 0.3
    faults = world.net.faults
    faults.loss, faults.duplicate, faults.jitter_s = loss, 0.1, 0.05
    rng = random.Random(seed)
    for action, pause_s in plan:
        match action:
            case "replace":
                stage.replace()
            case "join":
                stage.servers.append(stage.join())
            case "drain" if len(stage.servers) > 2:
                stage.drain_oldest()
            case "balancer":
                world.kill_balancer(rng.choice(list(world.balancers)))
                world.add_balancer()
            case "restart":
                node = rng.choice(stage.servers)
                if node in world.net.hosts:
                    world.restart_agent(node, down_s=1.5)
            case "lag":
                world.lag[rng.choice(list(world.balancers))] = 45.0
            case "open":
                stage.open(5)
        stage.wait(pause_s)
    stage.settle()

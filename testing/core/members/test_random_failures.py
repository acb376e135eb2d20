"""Stateful test of membership under random sequences of failures."""

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import hypothesis.strategies as st

from medlar_bench.members.fleet import Fleet
from medlar_core.events import DrainAsked
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import RegionName
from medlar_core.members.agent import Leave

PLACE_A = PlaceName("n-a")
PLACE_B = PlaceName("s-a")
PLACES = {PLACE_A: RegionName("n"), PLACE_B: RegionName("s")}
PROPAGATION_S = 4.0
"""Longest time until all balancers know that a server has left."""
HEAL_S = 25.0


class MembershipMachine(RuleBasedStateMachine):
    """Kills, pauses, drains, partitions, store outages and restarts."""

    @initialize(seed=st.integers(0, 99))
    def start(self, seed: int) -> None:
        self.fleet = Fleet(4, 6, seed, PLACES)
        self.fleet.settle()
        self.left: dict[NodeId, float] = {}
        self.paused: set[NodeId] = set()
        self.draining: set[NodeId] = set()
        self.cut = False

    def pick(self, number: int) -> NodeId:
        nodes = sorted(self.fleet.agents)
        return nodes[number % len(nodes)]

    @precondition(lambda self: len(self.fleet.agents) > 2)
    @rule(number=st.integers(0, 9), crash=st.booleans())
    def end_server(self, number: int, crash: bool) -> None:
        node = self.pick(number)
        if not crash and node not in self.paused and not self.cut:
            self.fleet.net.dispatch(node, Leave())
            self.fleet.run(1.2)
        self.fleet.kill(node)
        self.paused.discard(node)
        self.left[node] = self.fleet.clock.now

    @rule(number=st.integers(0, 9))
    def restart_server(self, number: int) -> None:
        gone = sorted(self.left)
        if gone:
            node = gone[number % len(gone)]
            del self.left[node]
            self.draining.discard(node)
            place = (PLACE_A, PLACE_B)[number % 2]
            service = next(iter(self.fleet.agents.values())).record.service
            self.fleet.add_agent(node, place, service)

    @rule(number=st.integers(0, 9))
    def drain_server(self, number: int) -> None:
        node = self.pick(number)
        if node not in self.paused:
            self.fleet.net.dispatch(node, DrainAsked(600.0))
            self.draining.add(node)

    @rule(number=st.integers(0, 9), balancer=st.booleans())
    def pause(self, number: int, balancer: bool) -> None:
        nodes = sorted(self.fleet.balancers)
        node = nodes[number % 4] if balancer else self.pick(number)
        self.fleet.net.pause(node)
        self.paused.add(node)

    @rule()
    def resume_all(self) -> None:
        for node in sorted(self.paused):
            self.fleet.net.resume(node)
        self.paused.clear()

    @rule(down=st.booleans(), loss=st.sampled_from([0.0, 0.1]))
    def set_faults(self, down: bool, loss: float) -> None:
        self.fleet.store.down = down
        self.fleet.net.faults.loss = loss
        self.fleet.net.faults.duplicate = loss

    @rule()
    def partition_or_heal(self) -> None:
        self.cut = not self.cut
        if self.cut:
            self.fleet.cut([PLACE_A])
        else:
            self.fleet.heal()

    @rule(seconds=st.floats(0.1, 8.0))
    def wait(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule()
    def heal_and_compare(self) -> None:
        self.resume_all()
        self.fleet.heal()
        self.cut = False
        self.set_faults(down=False, loss=0.0)
        self.fleet.run(HEAL_S)
        wanted = set(self.fleet.agents) - self.draining
        for balancer in self.fleet.balancers:
            assert self.fleet.usable(balancer) == wanted

    @invariant()
    def no_work_for_servers_that_left(self) -> None:
        now = self.fleet.clock.now
        old = {n for n, at in self.left.items() if now - at > PROPAGATION_S}
        if self.cut or self.fleet.net.faults.loss:
            return
        for balancer in self.fleet.balancers:
            if balancer not in self.paused:
                assert not old & self.fleet.usable(balancer)


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(
    max_examples=12, stateful_step_count=14, deadline=None, derandomize=True
)

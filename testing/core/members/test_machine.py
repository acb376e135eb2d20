"""Random failures in any order, and what must hold whatever came."""

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

A = PlaceName("n-a")
B = PlaceName("s-a")
PLACES = {A: RegionName("n"), B: RegionName("s")}
LEARN_S = 4.0
"""News may still be on its way for so long."""
HEAL_S = 25.0


class Members(RuleBasedStateMachine):
    """Kills, pauses, drains, cuts, outages and restarts."""

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
    @rule(number=st.integers(0, 9), quietly=st.booleans())
    def end_server(self, number: int, quietly: bool) -> None:
        node = self.pick(number)
        if not quietly and node not in self.paused and not self.cut:
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
            place = (A, B)[number % 2]
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
    def weather(self, down: bool, loss: float) -> None:
        self.fleet.store.down = down
        self.fleet.net.faults.loss = loss
        self.fleet.net.faults.duplicate = loss

    @rule()
    def cut_or_heal(self) -> None:
        self.cut = not self.cut
        if self.cut:
            self.fleet.cut([A])
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
        self.weather(down=False, loss=0.0)
        self.fleet.run(HEAL_S)
        wanted = set(self.fleet.agents) - self.draining
        for balancer in self.fleet.balancers:
            assert self.fleet.usable(balancer) == wanted

    @invariant()
    def no_work_for_servers_that_left(self) -> None:
        now = self.fleet.clock.now
        old = {n for n, at in self.left.items() if now - at > LEARN_S}
        if self.cut or self.fleet.net.faults.loss:
            return
        for balancer in self.fleet.balancers:
            if balancer not in self.paused:
                assert not old & self.fleet.usable(balancer)


TestMembers = Members.TestCase
TestMembers.settings = settings(
    max_examples=12, stateful_step_count=14, deadline=None, derandomize=True
)

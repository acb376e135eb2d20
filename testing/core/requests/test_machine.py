"""No key runs twice while agents join, die, restart, pause or disagree.

Messages are lost, duplicated and reordered within MESSAGE_S, views differ
for at most SPREAD_S, and callers retry within REPEAT_S.
"""

import collections
import random
from typing import Any

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import hypothesis.strategies as st

from medlar_core.effects import CallStore
from medlar_core.effects import Send
from medlar_core.events import Received
from medlar_core.events import StoreAnswered
from medlar_core.events import Tick
from medlar_core.ids import AttemptId
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import Seconds
from medlar_core.members.view import Server
from medlar_core.members.view import ServerState
from medlar_core.requests.agent import AgentRequests
from medlar_core.requests.events import AnswerAttempt
from medlar_core.requests.events import StartWork
from medlar_core.requests.events import WorkEnded
from medlar_core.verdict import Ran
from medlar_fakes.clock import Clock
from medlar_fakes.store import Store

from .kit import agent
from .kit import attempt
from .kit import server
from .kit import SLOT
from .kit import view

NODES = ("a", "b", "c")
MESSAGE_S = 1.0
SPREAD_S = 8.0
REPEAT_S = 10.0
STEP_S = 0.1
SETTLE_STEPS = 300
"""Steps after which the first agents' history covers the window."""
RAN = Ran(200, "digest", 1)


class Keys(RuleBasedStateMachine):
    """A few agents on a network that delivers messages in any order."""

    @initialize()
    def begin(self) -> None:
        self.clock = Clock()
        self.store = Store(self.clock)
        self.members: dict[str, Server] = {}
        self.hosts: dict[str, AgentRequests] = {}
        self.paused: set[str] = set()
        self.removed: dict[str, Server] = {}
        self.stale_until: dict[str, float] = {}
        self.messages: list[tuple[float, str, Any]] = []
        self.running: list[tuple[str, str]] = []
        self.starts: collections.Counter[str] = collections.Counter()
        self.keys = {n: f"key-{n}" for n in range(2)}
        self.called_at: dict[int, float] = {}
        self.serial = 0
        for node in NODES:
            self._join(node)
        self.wait(SETTLE_STEPS)

    def _join(self, node: str) -> None:
        self.serial += 1
        self.members[node] = server(node, self.serial)
        self._mark_views_stale()
        members = tuple(self.members.values())
        self.hosts[node] = agent(node, self.clock.now, *members)
        self.stale_until.pop(node, None)

    def _mark_views_stale(self) -> None:
        for node in self.hosts:
            self.stale_until.setdefault(node, self.clock.now + SPREAD_S)

    def _send_event(self, node: str, event: Any) -> None:
        host = self.hosts.get(node)
        if host is None or node in self.paused:
            return
        for effect in host.reduce(Seconds(self.clock.now), event):
            match effect:
                case Send(dst=dst, msg=msg):
                    self._send_message(dst, Received(NodeId(node), msg))
                case CallStore(call=call, op=op):
                    self.store.call(
                        op,
                        lambda a, c=call, n=node, h=host: self._store_answered(
                            n, h, StoreAnswered(c, a)
                        ),
                    )
                case StartWork(work=work, key=key):
                    self.starts[str(key)] += 1
                    self.running.append((node, work))
                case AnswerAttempt(go=go) if go is not None:
                    self._follow_redirect(node, effect)

    def _store_answered(self, node: str, host: Any, event: Any) -> None:
        if self.hosts.get(node) is host:
            self._send_event(node, event)

    def _send_message(self, dst: str, event: Any) -> None:
        self.messages.append((self.clock.now + MESSAGE_S, dst, event))

    def _follow_redirect(self, node: str, answer: AnswerAttempt) -> None:
        """Follow the redirect of an agent, as a balancer does."""
        key, _, hops = answer.attempt.split("/")
        go = answer.go
        if go is not None and int(hops) < 3:
            ceded_by = NodeId(node) if go.ceded else None
            self._attempt(
                key, go.node, go.incarnation, int(hops) + 1, ceded_by
            )

    def _attempt(
        self, key: str, dst: str, inc: int, hops: int, ceded_by: Any = None
    ) -> None:
        self.serial += 1
        event = attempt(
            AttemptId(f"{key}/{self.serial}/{hops}"),
            SLOT,
            key,
            incarnation=Incarnation(inc),
            hops=hops,
            ceded_by=ceded_by,
        )
        self._send_message(dst, event)

    @rule(number=st.integers(0, 1), node=st.sampled_from(NODES))
    def call(self, number: int, node: str) -> None:
        last = self.called_at.get(number, self.clock.now)
        if self.clock.now - last > REPEAT_S:
            self.serial += 1
            self.keys[number] = f"key-{self.serial}"
        self.called_at[number] = self.clock.now
        member = self.members.get(node)
        if member is not None:
            self._attempt(self.keys[number], node, member.incarnation, 0)

    @precondition(lambda self: self.messages)
    @rule(at=st.integers(0, 30), duplicate=st.booleans())
    def deliver(self, at: int, duplicate: bool) -> None:
        at %= len(self.messages)
        _, dst, event = (
            self.messages[at] if duplicate else self.messages.pop(at)
        )
        self._send_event(dst, event)

    @precondition(lambda self: self.messages)
    @rule(seed=st.integers(0, 1000), loss=st.sampled_from((0.0, 0.0, 0.3)))
    def flush(self, seed: int, loss: float) -> None:
        """Deliver messages, and those they cause, in random order."""
        rng = random.Random(seed)
        for _ in range(40):
            if not self.messages:
                return
            _, dst, event = self.messages.pop(
                rng.randrange(len(self.messages))
            )
            if rng.random() >= loss:
                self._send_event(dst, event)

    @precondition(lambda self: self.running)
    @rule(at=st.integers(0, 30))
    def finish(self, at: int) -> None:
        node, work = self.running.pop(at % len(self.running))
        self._send_event(node, WorkEnded(AttemptId(work), RAN))

    @rule(node=st.sampled_from(NODES))
    def kill(self, node: str) -> None:
        if self.hosts.pop(node, None) is not None:
            self.running = [r for r in self.running if r[0] != node]
            self.members.pop(node, None)
            self.paused.discard(node)
            self.stale_until.pop(node, None)
            self._mark_views_stale()

    @rule(node=st.sampled_from(NODES))
    def join(self, node: str) -> None:
        if node not in self.hosts:
            self._join(node)

    @rule(node=st.sampled_from(NODES))
    def drain(self, node: str) -> None:
        member = self.members.get(node)
        if member is not None:
            self.members[node] = server(
                node, member.incarnation, ServerState.DRAINING
            )
            self._mark_views_stale()

    @rule(node=st.sampled_from(NODES))
    def pause(self, node: str) -> None:
        """Pause an agent and remove it from the view, as if it had died."""
        if node in self.hosts and node not in self.paused:
            self.paused.add(node)
            self.removed[node] = self.members.pop(node)
            self._mark_views_stale()

    @precondition(lambda self: self.paused)
    @rule(at=st.integers(0, 3))
    def resume(self, at: int) -> None:
        """Resume a paused agent, whose view is stale."""
        node = sorted(self.paused)[at % len(self.paused)]
        self.paused.discard(node)
        self.members[node] = self.removed.pop(node)
        self._mark_views_stale()
        self.stale_until[node] = self.clock.now + SPREAD_S

    @rule(node=st.sampled_from(NODES))
    def tell(self, node: str) -> None:
        if node in self.paused:
            return
        self.stale_until.pop(node, None)
        self.serial += 1
        self._send_event(
            node, view(*self.members.values(), version=self.serial)
        )

    @rule(steps=st.sampled_from((1, 3, 10, 30, 80)))
    def wait(self, steps: int) -> None:
        for _ in range(steps):
            self.clock.run_until(self.clock.now + STEP_S)
            self.messages = [
                m for m in self.messages if m[0] >= self.clock.now
            ]
            for node in list(self.hosts):
                if self.stale_until.get(node, self.clock.now) < self.clock.now:
                    self.tell(node)
                self._send_event(node, Tick())

    @invariant()
    def no_key_ran_twice(self) -> None:
        if hasattr(self, "starts"):
            assert max(self.starts.values(), default=0) <= 1


TestKeys = Keys.TestCase
TestKeys.settings = settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=50,
    deadline=None,
)

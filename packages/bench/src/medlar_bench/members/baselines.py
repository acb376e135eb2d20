"""Simple policies that the rows are compared with."""

import functools
from typing import Any

from medlar_core.effects import CallStore
from medlar_core.events import StoreAnswered
from medlar_core.events import Tick
from medlar_core.ids import NodeId
from medlar_core.ids import Seconds
from medlar_core.ids import StoreCallId
from medlar_core.store import Changed
from medlar_core.store import Found
from medlar_core.store import Leased
from medlar_core.store import LeaseGrant
from medlar_core.store import LeaseKeep
from medlar_core.store import List
from medlar_core.store import Put
from medlar_core.store import StoreOp
from medlar_core.store import Watch
from medlar_core.store import Written
from medlar_fakes.clock import Clock
from medlar_fakes.net import Net
from medlar_fakes.store import Store

TTL_S = 10.0
RETRY_S = 1.0
WAIT_S = 30.0
PREFIX = "servers/"


class _Caller:
    """One call at a time, the next one when it is due."""

    def __init__(self) -> None:
        self._calls = 0
        self._waits = False
        self._next = 0.0
        self.now = Seconds(0.0)

    def reduce(self, now: Seconds, event: Any) -> list[CallStore]:
        """Take one event and return the call to make."""
        self.now = now
        match event:
            case StoreAnswered(answer=answer):
                self._waits = False
                self._next = now + self.answered(answer)
            case Tick() if not self._waits and now >= self._next:
                self._waits = True
                self._calls += 1
                return [CallStore(StoreCallId(self._calls), self.op())]
        return []

    def op(self) -> StoreOp:
        """Return the next call."""
        return List(PREFIX)

    def answered(self, answer: Any) -> float:
        """Take an answer; return the pause before the next call."""
        return 0.0 if isinstance(answer, Found) else RETRY_S


class LeaseAgent(_Caller):
    """Holds a lease for its server and renews it."""

    def __init__(self, node: NodeId) -> None:
        super().__init__()
        self._node = node
        self._lease = 0
        self._put = False

    def op(self) -> StoreOp:
        """Return the next call: grant, then put, then renewals."""
        if not self._lease:
            return LeaseGrant(TTL_S)
        if not self._put:
            return Put(PREFIX + self._node, "", 0, self._lease)
        return LeaseKeep(self._lease)

    def answered(self, answer: Any) -> float:
        """Take an answer; return the pause before the next call."""
        match answer:
            case Leased(lease=lease):
                self._lease = lease
                return TTL_S / 3 if self._put else 0.0
            case Written():
                self._put = True
                return TTL_S / 3
        self._lease = 0
        self._put = False
        return RETRY_S


class LeaseBalancer(_Caller):
    """Takes the keys in the store for the live servers.

    Leases that it can't confirm for their time have lapsed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.servers: set[str] = set()
        self._revision = 0
        self._stale_load_at = 0.0

    def op(self) -> StoreOp:
        """Return the next call: list, then watch."""
        if self._revision:
            return Watch(PREFIX, self._revision, WAIT_S)
        return List(PREFIX)

    def answered(self, answer: Any) -> float:
        """Take an answer; return the pause before the next call."""
        match answer:
            case Found(items=items, revision=revision):
                self.servers = {item.key for item in items}
                self._revision = revision
                self._stale_load_at = self.now
                return 0.0
            case Changed(items=items, deleted=deleted, revision=revision):
                self.servers |= {item.key for item in items}
                self.servers -= set(deleted)
                self._revision = revision
                self._stale_load_at = self.now
                return 0.0
        self._revision = 0
        if self.now - self._stale_load_at > WAIT_S + TTL_S:
            self.servers = set()
        return RETRY_S


class LeaseFleet:
    """Servers known by the store's leases alone."""

    def __init__(self, balancers: int, agents: int, seed: int) -> None:
        self.clock = Clock()
        self.store = Store(self.clock, seed)
        self.net = Net(self.clock, seed, self.store)
        self.balancers = [LeaseBalancer() for _ in range(balancers)]
        self.agents = [NodeId(f"agent{i}") for i in range(agents)]
        for number, host in enumerate(self.balancers):
            self.net.attach(NodeId(f"balancer{number}"), host)
        for number, node in enumerate(self.agents):
            start = number / len(self.agents) * TTL_S / 3
            self.clock.at(start, functools.partial(self._start, node))
        self.clock.run_until(15.0)
        self.store.calls.clear()

    def _start(self, node: NodeId) -> None:
        self.net.attach(node, LeaseAgent(node))

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.clock.run_until(self.clock.now + seconds)

    def users(self, node: NodeId) -> int:
        """Return how many balancers would place work on a server."""
        key = PREFIX + node
        return sum(key in host.servers for host in self.balancers)

import random
from typing import Any

import pytest

from medlar_core.events import Received
from medlar_core.events import ViewChanged
from medlar_core.flows.balancer import BalancerFlows
from medlar_core.flows.hints import HintCache
from medlar_core.flows.messages import Hint
from medlar_core.flows.wire import pack_short_keys
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.members.view import Balancer
from medlar_core.members.view import Server
from medlar_core.members.view import ServerState
from medlar_core.members.view import View
from medlar_fakes.clock import Clock
from medlar_fakes.net import Net

PLACE = PlaceName("a")
NAME = ServiceName("one")
HOLDER = NodeId("10.2.0.1:9000")
SERVER = Server(HOLDER, Incarnation(1), NAME, PLACE, ServerState.DRAINING)
SHORT_KEYS = list(range(50))


class Fleet:
    def __init__(self, count: int, loss: float) -> None:
        self.net = Net(Clock(), seed=1)
        self.net.faults.loss = loss
        self.hosts: dict[NodeId, BalancerFlows] = {}
        for number in range(count):
            self.add(number)

    def add(self, number: int) -> BalancerFlows:
        node = NodeId(f"10.1.0.{number}:9000")
        balancer = BalancerFlows(node, PLACE, random.Random(number))
        self.hosts[node] = balancer
        self.net.attach(node, balancer)
        first = Incarnation(1)
        known = tuple(Balancer(i, first, PLACE) for i in self.hosts)
        for each in self.hosts:
            self.net.dispatch(each, ViewChanged(View(1, (SERVER,), known)))
        return balancer

    def run(self, seconds: float) -> None:
        self.net.clock.run_until(self.net.clock.now + seconds)

    def send_hint(self) -> None:
        root = next(iter(self.hosts))
        short_keys = pack_short_keys(SHORT_KEYS)
        msg = Hint(HOLDER, Incarnation(1), 1, root, NAME, short_keys)
        self.net.dispatch(root, Received(HOLDER, msg))


def hint_count(balancer: Any) -> int:
    return len(balancer._hints)


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_batch_reaches_every_balancer(loss: float) -> None:
    fleet = Fleet(20, loss)
    fleet.run(1.0)
    fleet.send_hint()
    fleet.run(30.0)
    assert {hint_count(host) for host in fleet.hosts.values()} == {
        len(SHORT_KEYS)
    }


def test_dead_balancer_does_not_stop_distribution() -> None:
    fleet = Fleet(15, 0.0)
    fleet.run(1.0)
    dead = list(fleet.hosts)[1]
    fleet.net.kill(dead)
    fleet.send_hint()
    fleet.run(30.0)
    survivors = [host for node, host in fleet.hosts.items() if node != dead]
    assert {hint_count(host) for host in survivors} == {len(SHORT_KEYS)}


def test_new_balancer_fetches_hints_from_its_peers() -> None:
    fleet = Fleet(3, 0.1)
    fleet.run(5.0)
    fleet.send_hint()
    fleet.run(5.0)
    balancer = fleet.add(9)
    fleet.run(20.0)
    assert hint_count(balancer) == len(SHORT_KEYS)


def test_hints_of_a_removed_server_are_dropped() -> None:
    fleet = Fleet(1, 0.0)
    fleet.run(1.0)
    fleet.send_hint()
    (balancer,) = fleet.hosts.values()
    balancer.reduce(fleet.net.clock.now, ViewChanged(View(2, (), ())))
    assert hint_count(balancer) == 0


def test_number_of_hints_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("medlar_core.flows.hints.HINTS_LIMIT", 10)
    cache = HintCache(NodeId("b"), random.Random(1))
    msg = Hint(
        HOLDER,
        Incarnation(1),
        1,
        NodeId("b"),
        NAME,
        pack_short_keys(SHORT_KEYS),
    )
    cache.handle_hint(Seconds(1.0), HOLDER, msg)
    assert len(cache) == 10

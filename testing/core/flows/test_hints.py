import random
from typing import Any

import pytest

from medlar_core.events import Received
from medlar_core.events import ViewChanged
from medlar_core.flows.balancer import BalancerFlows
from medlar_core.flows.hints import HintBook
from medlar_core.flows.messages import Hint
from medlar_core.flows.wire import pack_marks
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
MARKS = list(range(50))


class Fleet:
    def __init__(self, count: int, loss: float) -> None:
        self.net = Net(Clock(), seed=1)
        self.net.faults.loss = loss
        self.hosts: dict[NodeId, BalancerFlows] = {}
        for number in range(count):
            self.add(number)

    def add(self, number: int) -> BalancerFlows:
        node = NodeId(f"10.1.0.{number}:9000")
        made = BalancerFlows(node, PLACE, random.Random(number))
        self.hosts[node] = made
        self.net.attach(node, made)
        first = Incarnation(1)
        known = tuple(Balancer(i, first, PLACE) for i in self.hosts)
        for each in self.hosts:
            self.net.dispatch(each, ViewChanged(View(1, (SERVER,), known)))
        return made

    def run(self, seconds: float) -> None:
        self.net.clock.run_until(self.net.clock.now + seconds)

    def hint(self) -> None:
        root = next(iter(self.hosts))
        marks = pack_marks(MARKS)
        msg = Hint(HOLDER, Incarnation(1), 1, root, NAME, marks)
        self.net.dispatch(root, Received(HOLDER, msg))


def known(made: Any) -> int:
    return len(made._hints)


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_batch_reaches_every_balancer(loss: float) -> None:
    fleet = Fleet(20, loss)
    fleet.run(1.0)
    fleet.hint()
    fleet.run(30.0)
    assert {known(host) for host in fleet.hosts.values()} == {len(MARKS)}


def test_dead_balancer_cuts_nobody_off() -> None:
    fleet = Fleet(15, 0.0)
    fleet.run(1.0)
    dead = list(fleet.hosts)[1]
    fleet.net.kill(dead)
    fleet.hint()
    fleet.run(30.0)
    left = [host for node, host in fleet.hosts.items() if node != dead]
    assert {known(host) for host in left} == {len(MARKS)}


def test_new_balancer_learns_hints_of_its_peers() -> None:
    fleet = Fleet(3, 0.1)
    fleet.run(5.0)
    fleet.hint()
    fleet.run(5.0)
    made = fleet.add(9)
    fleet.run(20.0)
    assert known(made) == len(MARKS)


def test_hints_of_a_gone_server_are_dropped() -> None:
    fleet = Fleet(1, 0.0)
    fleet.run(1.0)
    fleet.hint()
    (made,) = fleet.hosts.values()
    made.reduce(fleet.net.clock.now, ViewChanged(View(2, (), ())))
    assert known(made) == 0


def test_limit_bounds_what_is_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("medlar_core.flows.hints.HINTS_LIMIT", 10)
    book = HintBook(NodeId("b"), random.Random(1))
    msg = Hint(HOLDER, Incarnation(1), 1, NodeId("b"), NAME, pack_marks(MARKS))
    book.received(Seconds(1.0), HOLDER, msg)
    assert len(book) == 10

import pytest

from medlar_bench.world.feeds import Delivery
from medlar_bench.world.feeds import Feed
from medlar_bench.world.processes import InForce
from medlar_bench.world.processes import Process
from medlar_bench.world.promises import broken_feeds
from medlar_bench.world.promises import doubled
from medlar_bench.world.promises import false_not_run
from medlar_bench.world.promises import mismatched_answers
from medlar_bench.world.promises import new_work_on_draining
from medlar_bench.world.promises import reverted
from medlar_bench.world.promises import unanswered
from medlar_bench.world.work import SentRequest
from medlar_bench.world.work import StartedWork
from medlar_bench.world.world import World
from medlar_core.config.model import Kind
from medlar_core.ids import AttemptId
from medlar_core.ids import IdempotencyKey
from medlar_core.ids import Incarnation
from medlar_core.ids import KindName
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import RequestId
from medlar_core.ids import ServiceName
from medlar_core.ids import Version
from medlar_core.packets import Packet
from medlar_core.verdict import NotRun
from medlar_core.verdict import Ran
from medlar_core.verdict import Reason
from medlar_core.verdict import Verdict

DESK = ServiceName("desk")
SERVER = NodeId("10.1.0.1:7000")
KIND = Kind(
    name=KindName("order"),
    rank=0,
    floor=0.5,
    idempotent=False,
    mean_s=0.1,
    deadline_s=1.0,
)


@pytest.fixture
def world() -> World:
    return World(seed=1)


def asked(
    world: World, number: int, at: float, verdict: Verdict | None
) -> SentRequest:
    found = SentRequest(
        RequestId(f"r{number}"),
        DESK,
        KIND,
        IdempotencyKey("k"),
        at,
        NodeId("b"),
        verdict,
        at + 0.5,
    )
    world.work.asked[found.req] = found
    return found


def start(world: World, found: SentRequest, at: float) -> None:
    started = StartedWork(at, SERVER, AttemptId(f"a{at}"), found)
    world.work.started.append(started)


def add_draining_server(world: World) -> Process:
    found = Process(SERVER, PlaceName("p"), DESK, Incarnation(1), 0.0)
    found.drained_at = 10.0
    world.processes.append(found)
    return found


def test_reset_and_stalled_flows_are_broken(world: World) -> None:
    for name, reset_at in (("a", 5.0), ("b", None)):
        feed = Feed(name, "x", DESK, 0.0, server=SERVER, reset_at=reset_at)
        world.feeds.feeds[feed.name] = feed
    world.run(20.0)
    assert len(broken_feeds(world)) == 1
    world.run(20.0)
    assert len(broken_feeds(world)) == 2
    assert broken_feeds(world, [add_draining_server(world)]) == []


def test_new_work_on_a_draining_server_is_found(world: World) -> None:
    add_draining_server(world)
    packet = Packet("c", "x", 2)
    for at in (12.9, 13.1):
        world.feeds.opened.append(Delivery(at, SERVER, packet))
        start(world, asked(world, 0, at, None), at)
    assert len(new_work_on_draining(world)) == 2


def test_key_that_ran_twice_is_doubled(world: World) -> None:
    start(world, asked(world, 0, 0.0, None), 0.1)
    assert doubled(world) == []
    start(world, asked(world, 1, 1.0, None), 1.1)
    assert doubled(world) == ["k ran 2 times"]


def test_not_run_is_false_if_an_earlier_request_ran_later(
    world: World,
) -> None:
    first = asked(world, 0, 0.0, None)
    asked(world, 1, 1.0, NotRun(Reason.SHED))
    assert false_not_run(world) == []
    later = asked(world, 2, 3.0, None)
    start(world, later, 3.1)
    assert false_not_run(world) == []
    start(world, first, 4.0)
    assert len(false_not_run(world)) == 1


def test_lost_request_and_mismatched_answer_are_found(world: World) -> None:
    asked(world, 0, 0.0, None)
    asked(world, 1, 0.0, Ran(200, "another", 1))
    world.run(10.0)
    assert len(unanswered(world)) == 1
    assert len(mismatched_answers(world)) == 1


def test_reverted_process_is_found(world: World) -> None:
    found = add_draining_server(world)
    found.versions = [InForce(Version(n), 0.0) for n in (1, 2, 2)]
    assert reverted(world) == []
    found.versions.append(InForce(Version(1), 1.0))
    assert len(reverted(world)) == 1

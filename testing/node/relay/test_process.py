import asyncio

import pytest

from medlar_core.events import Tick
from medlar_core.ids import NodeId
from medlar_core.relay.events import ServerAnnounced
from medlar_core.relay.events import ServerPhase
from medlar_core.relay.members import Members
from medlar_fakes.relay import FakeCodec
from medlar_node.relay import agent
from medlar_node.relay.agent import with_age
from medlar_node.relay.log import LogPipe
from medlar_node.relay.process import RelayProcess
from medlar_node.relay.process import running


class FailingReducer:
    """Fails in its first ticks, or in all if ``failures`` is infinite."""

    def __init__(self, failures=float("inf")):
        self.members = Members(NodeId("127.0.0.1:1"))
        self.failures = failures
        self.ticks = 0

    def gauges(self, now):
        return {}

    def reduce(self, now, event):
        if isinstance(event, Tick):
            self.ticks += 1
            if self.ticks <= self.failures:
                raise RuntimeError("reducer failed")
        return []


async def execute_op(op):
    raise AssertionError("unexpected store operation")


def test_one_failed_tick_does_not_stop_a_process(cfg, caplog, tmp_path):
    reducer = FailingReducer(failures=1)
    with open(tmp_path / "log", "wb") as file:
        pipe = LogPipe(file.fileno())

        async def run():
            process = RelayProcess(cfg, reducer, FakeCodec(), execute_op, pipe)
            async with running(process):
                await asyncio.sleep(0.5)
                assert not process.stop_requested.is_set()

        asyncio.run(run())
    assert reducer.ticks > 1
    assert "tick failed" in caplog.text


def test_failed_ticks_stop_process_and_are_logged(cfg, caplog, tmp_path):
    with open(tmp_path / "log", "wb") as file:
        pipe = LogPipe(file.fileno())

        async def run():
            process = RelayProcess(
                cfg, FailingReducer(), FakeCodec(), execute_op, pipe
            )
            async with running(process):
                await asyncio.wait_for(process.stop_requested.wait(), 5.0)

        asyncio.run(run())
    assert "task failed, stopping" in caplog.text


@pytest.mark.parametrize(
    ("wall_s", "age_s"), [(1_002.5, 2.5), (900.0, float("inf"))]
)
def test_server_age_is_unknown_if_clock_was_set_back(wall_s, age_s):
    event = ServerAnnounced(
        "s", 1_000_000, 1, "desk", ServerPhase.READY, 2, 0.0
    )
    assert with_age(event, wall_s).age_s == age_s


CLOCK_ERROR_S = 1e-6


class SlowClocks:
    """Monotonic and wall clock of a process that is interrupted.

    Each reading of the wall clock takes ``interrupted_s``, before or after
    the moment that it returns.
    """

    def __init__(self, interrupted_s, *, before):
        self.at = 100.0
        self.interrupted_s = interrupted_s
        self.before = before

    def now(self):
        return self.at

    def time(self):
        if self.before:
            self.at += self.interrupted_s
            return 1_000.0 + self.at
        wall = 1_000.0 + self.at
        self.at += self.interrupted_s
        return wall


class RecordingProcess:
    def __init__(self, clocks):
        self.clocks = clocks
        self.started_at = None

    def dispatch(self, event, at=None):
        at = self.clocks.now() if at is None else at
        self.started_at = at - event.age_s


@pytest.mark.parametrize("before", [True, False])
def test_an_interrupted_agent_takes_no_server_for_younger_than_it_is(
    monkeypatch, before
):
    clocks = SlowClocks(0.05, before=before)
    monkeypatch.setattr(agent, "now", clocks.now)
    monkeypatch.setattr(agent.time, "time", clocks.time)
    started_at = 99.97
    event = ServerAnnounced(
        "s", int((1_000 + started_at) * 1_000), 1, "d", ServerPhase.READY, 1, 0
    )
    process = RecordingProcess(clocks)
    agent.dispatch_announcement(process, event)
    assert process.started_at <= started_at + CLOCK_ERROR_S

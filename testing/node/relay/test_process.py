import asyncio

import pytest

from medlar_core.events import Tick
from medlar_core.ids import NodeId
from medlar_core.relay.events import ServerAnnounced
from medlar_core.relay.events import ServerPhase
from medlar_core.relay.members import Members
from medlar_fakes.relay import FakeCodec
from medlar_node.relay.agent import with_age
from medlar_node.relay.log import LogPipe
from medlar_node.relay.process import RelayProcess
from medlar_node.relay.process import running


class FailingReducer:
    members = Members(NodeId("127.0.0.1:1"))

    def gauges(self, now):
        return {}

    def reduce(self, now, event):
        if isinstance(event, Tick):
            raise RuntimeError("reducer failed")
        return []


async def execute_op(op):
    raise AssertionError("unexpected store operation")


def test_failed_tick_stops_process_and_is_logged(cfg, caplog, tmp_path):
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

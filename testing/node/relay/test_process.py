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


class Broken:
    members = Members(NodeId("127.0.0.1:1"))

    def gauges(self, now):
        return {}

    def reduce(self, now, event):
        if isinstance(event, Tick):
            raise RuntimeError("broken")
        return []


async def ask_store(op):
    raise AssertionError("nothing is asked")


def test_a_process_whose_ticks_fail_stops_and_says_so(cfg, caplog, tmp_path):
    with open(tmp_path / "log", "wb") as file:
        pipe = LogPipe(file.fileno())

        async def run():
            process = RelayProcess(cfg, Broken(), FakeCodec(), ask_store, pipe)
            async with running(process):
                await asyncio.wait_for(process.stop_asked.wait(), 5.0)

        asyncio.run(run())
    assert "task failed, stopping" in caplog.text


@pytest.mark.parametrize(
    ("wall_s", "age_s"), [(1_002.5, 2.5), (900.0, float("inf"))]
)
def test_the_age_of_a_server_is_known_unless_the_clock_was_set_back(
    wall_s, age_s
):
    event = ServerAnnounced(
        "s", 1_000_000, 1, "desk", ServerPhase.READY, 2, 0.0
    )
    assert with_age(event, wall_s).age_s == age_s

import asyncio

from medlar_core.events import Tick
from medlar_core.ids import NodeId
from medlar_core.relay.members import Members
from medlar_fakes.relay import FakeCodec
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

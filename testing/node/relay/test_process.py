import asyncio

from medlar_core.events import Tick
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.relay.members import Members
from medlar_fakes.relay import FakeCodec
from medlar_node.relay.log import LogPipe
from medlar_node.relay.process import RelayProcess
from medlar_node.relay.process import running
from medlar_node.relay.settings import RelaySettings
from medlar_node.relay.settings import Role

CFG = RelaySettings(
    Role.BALANCER,
    "b",
    PlaceName("p"),
    NodeId("127.0.0.1:1"),
    "127.0.0.1:2",
    "127.0.0.1:3",
    (),
    5,
    1.0,
    6.0,
)


class Broken:
    members = Members(CFG.node)

    def gauges(self, now):
        return {}

    def reduce(self, now, event):
        if isinstance(event, Tick):
            raise RuntimeError("broken")
        return []


async def ask_store(op):
    raise AssertionError("nothing is asked")


def test_a_process_whose_ticks_fail_stops_and_says_so(caplog, tmp_path):
    with open(tmp_path / "log", "wb") as file:
        pipe = LogPipe(file.fileno())

        async def run():
            process = RelayProcess(CFG, Broken(), FakeCodec(), ask_store, pipe)
            async with running(process):
                await asyncio.wait_for(process.stop_asked.wait(), 5.0)

        asyncio.run(run())
    assert "task failed, stopping" in caplog.text

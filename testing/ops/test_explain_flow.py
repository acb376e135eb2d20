import asyncio

from aiohttp import web
import msgspec

from medlar_core.flows.explain import AgentAnswer
from medlar_core.flows.explain import BalancerAnswer
from medlar_core.ids import NodeId
from medlar_core.ids import ServiceName
from medlar_core.ids import Version
from medlar_ops.explain_flow import FlowRouting
from medlar_ops.explain_flow import lines
from medlar_ops.explain_flow import PATH
from medlar_ops.explain_flow import query_all

DESK = ServiceName("berth-desk")
SERVER = NodeId("10.1.0.4:7000")
BALANCER = BalancerAnswer(
    DESK, 7, SERVER, Version(3), Version(2), (SERVER,), NodeId(""), "owner"
)


async def queried_over_http() -> list[FlowRouting]:
    async def answer(req: web.Request) -> web.Response:
        assert req.query["caller"] == "10.9.0.1:4000"
        routed = FlowRouting(NodeId("b"), BALANCER)
        return web.Response(body=msgspec.json.encode(routed))

    app = web.Application()
    app.router.add_get(PATH, answer)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    nodes = [NodeId(f"{host}:{port}"), NodeId("127.0.0.1:1")]
    try:
        return await query_all(nodes, "10.9.0.1:4000", "10.9.0.2:4000")
    finally:
        await runner.cleanup()


def test_only_responding_processes_are_returned() -> None:
    answers = asyncio.run(queried_over_http())
    assert answers == [FlowRouting(NodeId("b"), BALANCER)]


def test_lines_omit_processes_that_do_not_know_the_flow() -> None:
    unknown = AgentAnswer(
        DESK, 7, "unknown", SERVER, NodeId(""), (), Version(3), "none"
    )
    text = lines(
        [FlowRouting(NodeId("b"), BALANCER), FlowRouting(SERVER, unknown)]
    )
    assert text == (
        "b: sends it to 10.1.0.4:7000, bucket 7 of berth-desk, view 3, "
        "configuration 2: owner"
    )

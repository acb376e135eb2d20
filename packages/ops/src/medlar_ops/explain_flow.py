"""Queries how processes currently route a flow."""

import asyncio
from collections.abc import Iterable

import aiohttp
import msgspec

from medlar_core.flows.explain import AgentAnswer
from medlar_core.flows.explain import BalancerAnswer
from medlar_core.ids import NodeId

PATH = "/v1/explain"
TIMEOUT_S = 3.0


class FlowRouting(msgspec.Struct, frozen=True):
    """How a process routes packets of the flow, and why."""

    node: NodeId
    flow: BalancerAnswer | AgentAnswer | None = None


async def query_all(
    nodes: Iterable[NodeId], caller: str, address: str
) -> list[FlowRouting]:
    """Query processes about a flow and omit those that do not respond."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        tasks = [_query(session, node, caller, address) for node in nodes]
        responses = await asyncio.gather(*tasks)
    return [response for response in responses if response is not None]


def lines(responses: Iterable[FlowRouting]) -> str:
    """Return one line per process that routes or holds the flow."""
    return "\n".join(
        f"{response.node}: {_line(response.flow)}"
        for response in responses
        if _participates(response.flow)
    )


async def _query(
    session: aiohttp.ClientSession, node: NodeId, caller: str, address: str
) -> FlowRouting | None:
    params = {"caller": caller, "address": address}
    try:
        async with session.get(f"http://{node}{PATH}", params=params) as resp:
            resp.raise_for_status()
            return msgspec.json.decode(await resp.read(), type=FlowRouting)
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
        return None


def _participates(flow: BalancerAnswer | AgentAnswer | None) -> bool:
    """Return whether a process routes or holds the flow."""
    match flow:
        case BalancerAnswer():
            return True
        case AgentAnswer(state=state):
            return state != "unknown"
    return False


def _line(flow: BalancerAnswer | AgentAnswer | None) -> str:
    match flow:
        case BalancerAnswer():
            return (
                f"sends it to {flow.server or 'no server'}, bucket "
                f"{flow.bucket} of {flow.service}, view {flow.version}, "
                f"configuration {flow.configuration}: {flow.why}"
            )
        case AgentAnswer():
            hops = ", ".join(flow.next_hops) or "no agent"
            return f"{flow.state}, forwards it to {hops}: {flow.why}"
    return "has no information about the flow"

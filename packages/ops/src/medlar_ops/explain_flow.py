"""Asks processes how they route one flow now."""

import asyncio
from collections.abc import Iterable

import aiohttp
import msgspec

from medlar_core.flows.explain import AgentAnswer
from medlar_core.flows.explain import BalancerAnswer
from medlar_core.ids import NodeId

PATH = "/v1/explain"
TIMEOUT_S = 3.0


class Routed(msgspec.Struct, frozen=True):
    """What one process does with packets of the flow, and why."""

    node: NodeId
    flow: BalancerAnswer | AgentAnswer | None = None


async def ask_all(
    nodes: Iterable[NodeId], caller: str, address: str
) -> list[Routed]:
    """Ask processes about a flow; those that do not answer are left out."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        tasks = [_ask(session, node, caller, address) for node in nodes]
        answers = await asyncio.gather(*tasks)
    return [answer for answer in answers if answer is not None]


def lines(answers: Iterable[Routed]) -> str:
    """Return one line for each process that has part in the flow."""
    return "\n".join(
        f"{answer.node}: {_line(answer.flow)}"
        for answer in answers
        if _has_part(answer.flow)
    )


async def _ask(
    session: aiohttp.ClientSession, node: NodeId, caller: str, address: str
) -> Routed | None:
    params = {"caller": caller, "address": address}
    try:
        async with session.get(f"http://{node}{PATH}", params=params) as resp:
            resp.raise_for_status()
            return msgspec.json.decode(await resp.read(), type=Routed)
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
        return None


def _has_part(flow: BalancerAnswer | AgentAnswer | None) -> bool:
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
                f"sends it to {flow.server or 'nobody'}, bucket "
                f"{flow.bucket} of {flow.service}, view {flow.version}, "
                f"configuration {flow.configuration}: {flow.why}"
            )
        case AgentAnswer():
            hops = ", ".join(flow.next_hops) or "nobody"
            return f"{flow.state}, passes it to {hops}: {flow.why}"
    return "tells nothing of the flow"

"""The ``drain`` command."""

import asyncio

import msgspec

from medlar_core.ids import NodeId

from ..output import Exit
from ..output import say
from ..output import show_json
from ..output import warn
from ..processes import Answer
from ..processes import NoResponse
from ..processes import processes
from ..settings import ENDPOINT
from ..settings import is_endpoint
from ..settings import read_keys
from ..settings import UsageError

MAX_LIMIT_S = 7 * 24 * 3600.0
OK_STATUS = 200


class DrainCall(msgspec.Struct, frozen=True):
    """Body of the call; the limit is in seconds."""

    limit_s: float


class Drained(msgspec.Struct, frozen=True):
    """What a server's agent answered."""

    agent: NodeId
    accepted: bool
    said: str


def drain(
    agent: str,
    *,
    limit_s: float,
    keys: str = "",
    key_file: str = "",
    nodes: str = "",
    json: bool = False,
) -> Exit:
    """Ask an agent to let its server leave; no flow or request is cut.

    The server gets no new work after a few seconds. Asking again is
    harmless. Ends with 1 if the agent refused, 3 if it did not answer.

    :param agent: ip:port of the agent beside the server.
    :param limit_s: seconds after which flows still open are ended.
    :param keys: the fleet's keys, or MEDLARSTAGE_KEYS.
    :param key_file: file of the keys, or MEDLARSTAGE_KEY_FILE.
    :param nodes: not needed here; taken for one set of flags.
    :param json: print the answer as JSON.
    """
    if not is_endpoint(agent):
        raise UsageError("agent", agent, ENDPOINT)
    if not 0 <= limit_s <= MAX_LIMIT_S:
        expected = f"seconds from 0 to {MAX_LIMIT_S:.0f}"
        raise UsageError("--limit-s", str(limit_s), expected)
    secrets = read_keys(keys, key_file)
    node = NodeId(agent)

    async def ask() -> Answer | NoResponse:
        async with processes(secrets) as fleet:
            return await fleet.post(node, "/v1/drain", DrainCall(limit_s))

    answer = asyncio.run(ask())
    if isinstance(answer, NoResponse):
        warn(f"{node} did not answer: {answer.why}; it may drain")
        return Exit.UNKNOWN
    accepted = answer.status == OK_STATUS
    if json:
        show_json(Drained(node, accepted, answer.text))
    elif accepted:
        say(f"{node} drains; flows still open after {limit_s:g} s are ended")
    else:
        warn(f"{node} refused: {answer.text}")
    return Exit.OK if accepted else Exit.REFUSED

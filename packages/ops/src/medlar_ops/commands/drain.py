"""The ``drain`` command."""

import asyncio

import msgspec

from medlar_core.ids import NodeId

from ..output import Exit
from ..output import print_json
from ..output import print_text
from ..output import warn
from ..processes import NoResponse
from ..processes import processes
from ..processes import Response
from ..settings import ENDPOINT
from ..settings import is_endpoint
from ..settings import read_keys
from ..settings import UsageError

MAX_LIMIT_S = 7 * 24 * 3600.0
OK_STATUS = 200


class DrainRequest(msgspec.Struct, frozen=True):
    """Body of a drain request; the limit is in seconds."""

    limit_s: float


class DrainResult(msgspec.Struct, frozen=True):
    """The response of a server's agent."""

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
    """Drain a server without cutting open flows or requests.

    The server receives no new work after a few seconds. Repeating the
    command is harmless. Ends with 1 if the agent refused, 3 if it did not
    answer.

    :param agent: ip:port of the agent of the server.
    :param limit_s: seconds after which flows still open are ended.
    :param keys: the fleet's keys, or MEDLARSTAGE_KEYS.
    :param key_file: file of the keys, or MEDLARSTAGE_KEY_FILE.
    :param nodes: ignored; accepted so that all commands take the same flags.
    :param json: print the response as JSON.
    """
    if not is_endpoint(agent):
        raise UsageError("agent", agent, ENDPOINT)
    if not 0 <= limit_s <= MAX_LIMIT_S:
        expected = f"seconds from 0 to {MAX_LIMIT_S:.0f}"
        raise UsageError("--limit-s", str(limit_s), expected)
    secrets = read_keys(keys, key_file)
    node = NodeId(agent)

    async def request() -> Response | NoResponse:
        async with processes(secrets) as fleet:
            return await fleet.post(node, "/v1/drain", DrainRequest(limit_s))

    response = asyncio.run(request())
    if isinstance(response, NoResponse):
        warn(f"{node} did not respond: {response.why}; it may be draining")
        return Exit.UNKNOWN
    accepted = response.status == OK_STATUS
    if json:
        print_json(DrainResult(node, accepted, response.text))
    elif accepted:
        print_text(
            f"{node} is draining; flows still open after {limit_s:g} s"
            " are ended"
        )
    else:
        warn(f"{node} refused: {response.text}")
    return Exit.OK if accepted else Exit.REFUSED

"""How balancers fetch the configuration from each other, over HTTP."""

from collections.abc import Callable

import msgspec

from medlar_core.relay.configuration.compact import decode_shared
from medlar_core.relay.configuration.scope_record import SharedRoutes

from .http import HttpClient
from .http import HttpError
from .http import Request
from .http import Response

COMPACT_PATH = "/v2/routes"
ROUTES_PATH = "/v1/routes"
"""The whole as JSON, for balancers of earlier versions."""
STALL_LIMIT_S = 0.6
"""A balancer that sends nothing for this long is given up."""
COMPACT_TYPE = "application/octet-stream"
NOT_FOUND = 404
UNAVAILABLE = 503
"""Response before a configuration is in force."""


class Fetched(msgspec.Struct, frozen=True):
    """What a balancer gave, and how many bytes it sent for it."""

    shared: SharedRoutes
    size: int


async def fetch(client: HttpClient) -> Fetched:
    """Fetch the configuration of a balancer.

    :raises HttpError: if it does not give it.
    :raises ValueError: if what it gives is damaged.
    """
    res = await client.call(Request("GET", COMPACT_PATH), STALL_LIMIT_S)
    if res.status == NOT_FOUND:
        # A balancer of an earlier version has only the other form.
        res = await client.call(Request("GET", ROUTES_PATH), STALL_LIMIT_S)
        _check(res)
        shared = msgspec.json.decode(res.body, type=SharedRoutes)
        return Fetched(shared, len(res.body))
    _check(res)
    return Fetched(decode_shared(res.body), len(res.body))


def respond(
    req: Request,
    compact: Callable[[], bytes],
    shared: Callable[[], SharedRoutes | None],
) -> Response:
    """Respond to another balancer that fetches the configuration."""
    found = shared()
    if req.target == COMPACT_PATH and found is not None:
        return Response(200, compact(), COMPACT_TYPE)
    if req.target == ROUTES_PATH and found is not None:
        return Response(200, msgspec.json.encode(found))
    is_known = req.target in (COMPACT_PATH, ROUTES_PATH)
    return Response(UNAVAILABLE if is_known else NOT_FOUND)


def _check(res: Response) -> None:
    if res.status != 200:
        raise HttpError(f"expected status 200, got {res.status}")

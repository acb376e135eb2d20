"""A whole answer of a server, as agent and balancer hold it."""

import msgspec

MAX_RESPONSE_BYTES = 4 * 1024 * 1024


class ServerResponse(msgspec.Struct, frozen=True):
    """A whole answer: its status, the headers it keeps, its body."""

    status: int
    headers: dict[str, str]
    body: bytes

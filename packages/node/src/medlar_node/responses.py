"""The complete response of a server, buffered by agent and balancer."""

import msgspec

MAX_RESPONSE_BYTES = 4 * 1024 * 1024


class ServerResponse(msgspec.Struct, frozen=True):
    """A complete response: status, end-to-end headers and body."""

    status: int
    headers: dict[str, str]
    body: bytes

"""What the route of a new flow asks for."""

import msgspec


class FlowTerms(msgspec.Struct, frozen=True, array_like=True):
    """Terms of the requests of a route, as its SYNs carry them.

    ``rank`` is the priority, 0 the highest. ``target_ms`` is the latency
    that callers expect, ``timeout_ms`` when they give up; both are 0 if
    unknown. ``is_idempotent`` tells whether callers may repeat a request
    that may have run.
    """

    rank: int = 0
    target_ms: int = 0
    timeout_ms: int = 0
    is_idempotent: bool = False


DEFAULT_TERMS = FlowTerms()
"""Of a packet from a process of an earlier version, or without a route."""

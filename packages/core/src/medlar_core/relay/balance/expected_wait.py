"""How long a new flow waits before a server works on it."""

STALL_RATIO = 3.0
"""A request that takes longer than this many times the mean service time is
taken to be as long again."""


def expected_wait_ms(
    busy: int, slots: int, service_ms: float, longest_ms: float = 0.0
) -> float:
    """Return the expected wait of a new flow in ms.

    Answers bursts of short work at a server that works on ``slots``
    requests at a time: those beyond wait for a slot. ``busy`` counts requests
    in progress and waiting, ``service_ms`` is the mean work on one, 0 if
    unknown: the result is then 0, and servers are compared by their load.
    ``longest_ms`` tells for how long the oldest is worked on, which shows a
    server that has just become slow.
    """
    if busy < slots or not service_ms:
        return 0.0
    wait_ms = (busy - slots + 1) * service_ms / max(1, slots)
    if longest_ms > STALL_RATIO * service_ms:
        wait_ms += longest_ms / max(1, slots)
    return wait_ms

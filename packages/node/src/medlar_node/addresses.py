"""Parsing of ``ip:port`` endpoints in settings and messages."""

import functools

ENDPOINT_CACHE_SIZE = 4_096
"""More endpoints than a process has peers."""


@functools.lru_cache(maxsize=ENDPOINT_CACHE_SIZE)
def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Return the host and port of ``ip:port``."""
    host, _, port = endpoint.rpartition(":")
    return host, int(port)

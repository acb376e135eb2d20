"""Parsing of ``ip:port`` endpoints in settings and messages."""


def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Return the host and port of ``ip:port``."""
    host, _, port = endpoint.rpartition(":")
    return host, int(port)

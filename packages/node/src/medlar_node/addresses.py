"""Addresses as settings and messages write them."""


def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``."""
    host, _, port = endpoint.rpartition(":")
    return host, int(port)

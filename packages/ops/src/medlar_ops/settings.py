"""Settings of medlarctl from flags and MEDLARSTAGE_* variables."""

from collections.abc import Mapping
import ipaddress
import os
import pathlib

from medlar_core.ids import NodeId
from medlar_core.keys.key import InvalidKeys
from medlar_core.keys.key import Key
from medlar_core.keys.key import parse_keys

STORE = "MEDLARSTAGE_STORE"
NODES = "MEDLARSTAGE_NODES"
KEYS = "MEDLARSTAGE_KEYS"
KEY_FILE = "MEDLARSTAGE_KEY_FILE"
ENDPOINT = "ip:port, such as 127.0.0.1:7101"
ENDPOINTS = f"{ENDPOINT}, separated by commas"
MAX_PORT = 65535


class UsageError(ValueError):
    """An argument is missing or invalid; the text says what is expected.

    ``variable`` is the environment variable that can replace ``flag``.
    """

    def __init__(
        self, flag: str, got: str, expected: str, variable: str = ""
    ) -> None:
        actual = f"got {got!r}" if got else "got nothing"
        alternative = f" (or {variable})" if variable else ""
        super().__init__(f"{flag}{alternative}: {actual}, expected {expected}")


def read_store(given: str, env: Mapping[str, str] = os.environ) -> str:
    """Return the address of the store.

    :raises UsageError: if it is missing or not ``ip:port``.
    """
    text = given or env.get(STORE, "")
    if not is_endpoint(text):
        raise UsageError("--store", text, ENDPOINT, STORE)
    return text


def read_nodes(
    given: str, env: Mapping[str, str] = os.environ
) -> tuple[NodeId, ...]:
    """Return the processes to query, possibly none.

    :raises UsageError: if one is not ``ip:port``.
    """
    text = given or env.get(NODES, "")
    parts = [part.strip() for part in text.split(",") if part.strip()]
    for part in parts:
        if not is_endpoint(part):
            raise UsageError("--nodes", part, ENDPOINTS, NODES)
    return tuple(NodeId(part) for part in parts)


def require_nodes(
    given: str, env: Mapping[str, str] = os.environ
) -> tuple[NodeId, ...]:
    """Return the processes to query, at least one.

    :raises UsageError: if there is none or one is not ``ip:port``.
    """
    nodes = read_nodes(given, env)
    if not nodes:
        raise UsageError("--nodes", "", ENDPOINTS, NODES)
    return nodes


def read_keys(
    given: str, key_file: str, env: Mapping[str, str] = os.environ
) -> tuple[Key, ...]:
    """Return the keys of the fleet, the current one first.

    :raises UsageError: if there is none or one is invalid; the text
        never contains a secret.
    """
    path = key_file or env.get(KEY_FILE, "")
    if path and not given:
        return _keys(_read(path), "--key-file", KEY_FILE)
    return _keys(given or env.get(KEYS, ""), "--keys", KEYS)


def is_endpoint(text: str) -> bool:
    """Return whether a text is ``ip:port``."""
    ip, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT


def _keys(text: str, flag: str, variable: str) -> tuple[Key, ...]:
    keys = parse_keys(text)
    if isinstance(keys, InvalidKeys):
        raise UsageError(flag, keys.got, keys.expected, variable)
    return keys


def _read(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="ascii")
    except (OSError, UnicodeDecodeError) as exc:
        expected = f"a file of keys: {exc}"
        raise UsageError("--key-file", path, expected, KEY_FILE) from None

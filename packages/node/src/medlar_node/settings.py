"""Settings of the daemon, from flags and MEDLARSTAGE_* variables."""

from collections.abc import Callable
from collections.abc import Mapping
import ipaddress
import re
from typing import TypeVar

import msgspec

from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import ServiceName
from medlar_core.keys.key import InvalidKeys
from medlar_core.keys.key import Key
from medlar_core.keys.key import MAX_SECRET_BYTES
from medlar_core.keys.key import MIN_SECRET_BYTES
from medlar_core.keys.key import parse_keys

T = TypeVar("T")

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
LOG_LEVELS = ("debug", "info", "warning", "error")


class SettingError(ValueError):
    """A setting is missing or invalid; the text says what is allowed."""

    def __init__(self, name: str, got: str, expected: str) -> None:
        flag = "--" + name.replace("_", "-")
        variable = "MEDLARSTAGE_" + name.upper()
        got_text = f"got {got!r}" if got else "got nothing"
        super().__init__(
            f"{flag} (or {variable}): {got_text}, expected {expected}"
        )


class CommonSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that balancers and agents share.

    ``listen`` is the address for control messages (TCP and UDP) and
    packets; ``fabric`` receives packets for callers; ``keys`` has the
    current key first and at most one more that is still accepted.
    """

    listen: NodeId
    place: PlaceName
    store: str
    fabric: str
    seeds: tuple[NodeId, ...]
    keys: tuple[Key, ...]
    key_file: str = ""
    log_level: str = "info"
    stop_limit_s: float = 30.0


class BalancerSettings(CommonSettings, frozen=True, kw_only=True):
    """Settings of a balancer; ``requests`` is where it receives requests."""

    requests: str


class AgentSettings(CommonSettings, frozen=True, kw_only=True):
    """Settings of an agent; ``server`` is its local server."""

    service: ServiceName
    server: str
    weight: float = 1.0


class SecretError(ValueError):
    """A secret is invalid; the text says why without quoting it."""


class Source:
    """Source of settings: flags, then variables, then defaults."""

    def __init__(
        self, flags: Mapping[str, str], variables: Mapping[str, str]
    ) -> None:
        self._flags = flags
        self._variables = variables

    def read(self, name: str, parse: Callable[[str], T], expected: str) -> T:
        """Return a required setting.

        :raises SettingError: if it is missing or can't be parsed.
        """
        text = self.text(name)
        if not text:
            raise SettingError(name, "", expected)
        try:
            return parse(text)
        except SecretError as exc:
            raise SettingError(name, str(exc), expected) from None
        except ValueError:
            raise SettingError(name, text, expected) from None

    def optional(
        self, name: str, parse: Callable[[str], T], expected: str, default: T
    ) -> T:
        """Return a setting, or its default if it is not given."""
        if not self.text(name):
            return default
        return self.read(name, parse, expected)

    def text(self, name: str) -> str:
        """Return the text of a setting, empty if it is not given."""
        given = self._flags.get(name, "")
        return given or self._variables.get(f"MEDLARSTAGE_{name.upper()}", "")


def _endpoint(text: str) -> NodeId:
    host, _, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not 0 < int(port) < 65536:
        raise ValueError(text)
    return NodeId(text)


def _endpoints(text: str) -> tuple[NodeId, ...]:
    return tuple(_endpoint(part.strip()) for part in text.split(","))


def _name(text: str) -> str:
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(text)
    return text


def _keys(text: str) -> tuple[Key, ...]:
    keys = parse_keys(text)
    if isinstance(keys, InvalidKeys):
        raise SecretError(keys.text)
    return keys


def read_key_file(path: str) -> tuple[Key, ...] | InvalidKeys:
    """Return the keys in a file, or why they can't be used."""
    try:
        with open(path, encoding="ascii") as stream:
            return parse_keys(stream.read())
    except (OSError, UnicodeDecodeError) as exc:
        return InvalidKeys(0, str(exc), "a file that can be read")


def _read_keys(source: Source) -> tuple[Key, ...]:
    """Return the keys from the key file if given, else the setting."""
    path = source.text("key_file")
    if not path:
        return source.read("keys", _keys, KEYS)
    found = read_key_file(path)
    if isinstance(found, InvalidKeys):
        raise SettingError("key_file", found.text, KEYS)
    return found


def _log_level(text: str) -> str:
    if text not in LOG_LEVELS:
        raise ValueError(text)
    return text


def _positive_number(text: str) -> float:
    value = float(text)
    if not 0 < value < 1e6:
        raise ValueError(text)
    return value


ENDPOINT_FORMAT = "ip:port, such as 127.0.0.1:7101"
NAME_FORMAT = "a name of lower-case letters, digits and dashes"
KEYS = (
    f"hexadecimal keys of {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes, "
    "the current one first and at most one more, with a comma"
)


class _Common(msgspec.Struct, frozen=True, kw_only=True):
    listen: NodeId
    place: PlaceName
    store: str
    fabric: str
    seeds: tuple[NodeId, ...]
    keys: tuple[Key, ...]
    key_file: str
    log_level: str
    stop_limit_s: float


def _common(source: Source) -> _Common:
    return _Common(
        listen=source.read("listen", _endpoint, ENDPOINT_FORMAT),
        place=PlaceName(source.read("place", _name, NAME_FORMAT)),
        store=source.read("store", _endpoint, ENDPOINT_FORMAT),
        fabric=source.read("fabric", _endpoint, ENDPOINT_FORMAT),
        seeds=source.optional(
            "seeds", _endpoints, f"a list of {ENDPOINT_FORMAT}", ()
        ),
        keys=_read_keys(source),
        key_file=source.text("key_file"),
        log_level=source.optional(
            "log_level", _log_level, f"one of {', '.join(LOG_LEVELS)}", "info"
        ),
        stop_limit_s=source.optional(
            "stop_limit_s", _positive_number, "seconds above 0", 30.0
        ),
    )


def balancer_settings(source: Source) -> BalancerSettings:
    """Return the settings of a balancer.

    :raises SettingError: for the first setting that is invalid.
    """
    return BalancerSettings(
        **msgspec.structs.asdict(_common(source)),
        requests=source.read("requests", _endpoint, ENDPOINT_FORMAT),
    )


def agent_settings(source: Source) -> AgentSettings:
    """Return the settings of an agent.

    :raises SettingError: for the first setting that is invalid.
    """
    return AgentSettings(
        **msgspec.structs.asdict(_common(source)),
        service=ServiceName(source.read("service", _name, NAME_FORMAT)),
        server=source.read("server", _endpoint, ENDPOINT_FORMAT),
        weight=source.optional(
            "weight", _positive_number, "a number above 0", 1.0
        ),
    )

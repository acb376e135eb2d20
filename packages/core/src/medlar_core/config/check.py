"""Validation rules of a configuration beyond its schema."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import ipaddress
import math
import re

from ..ids import PlaceName
from .model import Address
from .model import Configuration
from .model import Kind
from .model import SCHEMA_VERSION
from .model import Service
from .problem import Problem

NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
MAX_PLACES = 64
MAX_SERVICES = 4096
MAX_ADDRESSES = 64
MAX_KINDS = 32
MAX_PORT = 65535
MAX_BUCKETS = 65536
MAX_SLOTS = 100_000
MAX_CONNECTIONS = 10_000_000
MAX_DURATION_S = 7 * 24 * 3600.0
MAX_BODY_BYTES = 1024**3
MAX_RANK = 255
FLOOR_TOLERANCE = 1e-9


def check(
    cfg: Configuration, valid: Configuration | None = None
) -> tuple[Problem, ...]:
    """Return every problem of a configuration; none if it is valid.

    ``valid`` is a configuration that passed this check. If its places
    are the same, its services are not validated again one by one; rules
    that span services are checked in any case.
    """
    return tuple(_problems(cfg, valid))


def _problems(
    cfg: Configuration, valid: Configuration | None
) -> Iterator[Problem]:
    if cfg.schema != SCHEMA_VERSION:
        yield Problem(
            "schema",
            str(cfg.schema),
            str(SCHEMA_VERSION),
            "use a library and a fleet with the same schema",
        )
    yield from _count("places", len(cfg.places), 1, MAX_PLACES)
    yield from _count("services", len(cfg.services), 0, MAX_SERVICES)
    yield from _names("places", (place.name for place in cfg.places))
    for i, place in enumerate(cfg.places):
        yield from _name(f"places[{i}].region", place.region)
    yield from _unique("services", (svc.name for svc in cfg.services))
    yield from _addresses(cfg)
    places = {place.name for place in cfg.places}
    same_places = valid is not None and valid.places == cfg.places
    checked = (
        {id(svc) for svc in valid.services} if valid and same_places else set()
    )
    for service in cfg.services:
        if id(service) not in checked:
            yield from _service(service, places)


def _service(service: Service, places: set[PlaceName]) -> Iterator[Problem]:
    path = f"services.{service.name}"
    yield from _name(f"{path}.name", service.name)
    yield from _count(
        f"{path}.addresses", len(service.addresses), 1, MAX_ADDRESSES
    )
    for i, address in enumerate(service.addresses):
        yield from _address(f"{path}.addresses[{i}]", address)
    yield from _count(f"{path}.places", len(service.places), 1, MAX_PLACES)
    yield from _count(f"{path}.kinds", len(service.kinds), 0, MAX_KINDS)
    yield from _unique(f"{path}.places", service.places)
    known = ", ".join(sorted(places))
    for i, place in enumerate(service.places):
        if place not in places:
            yield Problem(f"{path}.places[{i}]", repr(place), known)
    yield from _in_range(f"{path}.slots", service.slots, 1, MAX_SLOTS)
    yield from _in_range(
        f"{path}.connections", service.connections, 1, MAX_CONNECTIONS
    )
    yield from _in_range(f"{path}.buckets", service.buckets, 1, MAX_BUCKETS)
    if service.buckets & (service.buckets - 1):
        yield Problem(
            f"{path}.buckets", str(service.buckets), "a power of two"
        )
    yield from _in_range(f"{path}.warm_s", service.warm_s, 0, MAX_DURATION_S)
    yield from _in_range(
        f"{path}.drain_limit_s", service.drain_limit_s, 0, MAX_DURATION_S
    )
    yield from _kinds(path, service.kinds)


def _kinds(path: str, kinds: tuple[Kind, ...]) -> Iterator[Problem]:
    yield from _names(f"{path}.kinds", (kind.name for kind in kinds))
    yield from _unique(f"{path}.kinds[].rank", (str(k.rank) for k in kinds))
    for kind in kinds:
        yield from _kind(f"{path}.kinds.{kind.name}", kind)
    total = sum(kind.floor for kind in kinds)
    if total > 1 + FLOOR_TOLERANCE:
        yield Problem(
            f"{path}.kinds[].floor",
            f"a sum of {total:g}",
            "a sum of at most 1",
            "lower the floor of a kind",
        )


def _kind(path: str, kind: Kind) -> Iterator[Problem]:
    yield from _in_range(f"{path}.rank", kind.rank, 0, MAX_RANK)
    yield from _in_range(f"{path}.floor", kind.floor, 0, 1)
    yield from _positive(f"{path}.mean_s", kind.mean_s)
    yield from _positive(f"{path}.deadline_s", kind.deadline_s)
    if kind.deadline_s < kind.mean_s:
        yield Problem(
            f"{path}.deadline_s",
            f"{kind.deadline_s:g}",
            f"at least mean_s, {kind.mean_s:g}",
            "work of average duration would miss its deadline",
        )
    yield from _in_range(
        f"{path}.max_body_bytes", kind.max_body_bytes, 0, MAX_BODY_BYTES
    )


def _addresses(cfg: Configuration) -> Iterator[Problem]:
    seen: dict[tuple[str, int], str] = {}
    for service in cfg.services:
        for i, address in enumerate(service.addresses):
            path = f"services.{service.name}.addresses[{i}]"
            key = (address.ip, address.port)
            if key in seen:
                yield Problem(
                    path, address.text, f"an address not used by {seen[key]}"
                )
            seen.setdefault(key, path)


def _address(path: str, address: Address) -> Iterator[Problem]:
    try:
        plain = str(ipaddress.ip_address(address.ip))
    except ValueError:
        plain = ""
    if plain != address.ip:
        yield Problem(f"{path}.ip", repr(address.ip), plain or "an IP address")
    yield from _in_range(f"{path}.port", address.port, 1, MAX_PORT)


def _names(path: str, names: Iterable[str]) -> Iterator[Problem]:
    listed = tuple(names)
    for i, name in enumerate(listed):
        yield from _name(f"{path}[{i}].name", name)
    yield from _unique(path, listed)


def _name(path: str, name: str) -> Iterator[Problem]:
    if not NAME.fullmatch(name):
        yield Problem(
            path, repr(name), "1 to 63 of a-z, 0-9 and hyphens inside"
        )


def _unique(path: str, values: Iterable[str]) -> Iterator[Problem]:
    for value, count in collections.Counter(values).items():
        if count > 1:
            yield Problem(path, f"{value!r} {count} times", "unique values")


def _count(path: str, value: int, low: int, high: int) -> Iterator[Problem]:
    if not low <= value <= high:
        yield Problem(path, f"{value} entries", f"{low} to {high}")


def _in_range(
    path: str, value: float, low: float, high: float
) -> Iterator[Problem]:
    if not low <= value <= high:
        yield Problem(path, f"{value:g}", f"{low:g} to {high:g}")


def _positive(path: str, value: float) -> Iterator[Problem]:
    if not 0 < value <= MAX_DURATION_S or math.isnan(value):
        yield Problem(
            path, f"{value:g}", f"more than 0, at most {MAX_DURATION_S:g}"
        )

"""Schema of the configuration that operators apply."""

import enum

import msgspec

from ..ids import KindName
from ..ids import PlaceName
from ..ids import RegionName
from ..ids import ServiceName

SCHEMA_VERSION = 1


class Protocol(enum.Enum):
    """What an address carries."""

    FLOW = "flow"
    REQUEST = "request"


class _Document(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
    omit_defaults=True,
):
    """Base of the parts of the document: unknown fields are refused.

    Defaults are left out, so that a field added later leaves the digests
    of documents without it as they were.
    """


class Place(_Document, frozen=True):
    """An availability zone and the region it is in."""

    name: PlaceName
    region: RegionName


class Address(_Document, frozen=True):
    """An ``ip:port`` that callers use and what it carries."""

    ip: str
    port: int
    protocol: Protocol

    @property
    def text(self) -> str:
        """The address as ``ip:port``."""
        return f"{self.ip}:{self.port}"


class Kind(_Document, frozen=True):
    """A kind of work: rank 0 is the most urgent.

    ``floor`` is the guaranteed share of the service's slots, 0 to 1.
    ``mean_s`` is the usual service time and ``deadline_s`` the longest
    time that a caller waits, both in seconds.
    """

    name: KindName
    rank: int
    floor: float
    idempotent: bool
    mean_s: float
    deadline_s: float
    max_body_bytes: int = 4 * 1024 * 1024


class Service(_Document, frozen=True):
    """A service: where callers find it and how its work ranks.

    ``slots`` and ``connections`` are limits of one server;
    ``drain_limit_s`` ends flows that outlive a drain.
    """

    name: ServiceName
    addresses: tuple[Address, ...]
    places: tuple[PlaceName, ...]
    kinds: tuple[Kind, ...] = ()
    slots: int = 2
    connections: int = 2000
    buckets: int = 1024
    warm_s: float = 10.0
    drain_limit_s: float = 12 * 3600.0


class Configuration(_Document, frozen=True, omit_defaults=False):
    """The whole document: what the fleet serves and where."""

    places: tuple[Place, ...]
    services: tuple[Service, ...]
    schema: int = SCHEMA_VERSION

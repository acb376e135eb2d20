"""Schema of the configuration that operators apply."""

import enum

import msgspec

from ..ids import KindName
from ..ids import PlaceName
from ..ids import RegionName
from ..ids import ServiceName

SCHEMA_VERSION = 1


class Protocol(enum.Enum):
    """The traffic type of an address: flows or requests."""

    FLOW = "flow"
    REQUEST = "request"


class _Document(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
    omit_defaults=True,
):
    """Base of the structs of the document; unknown fields are refused.

    Defaults are omitted from the JSON, so that adding a field with a
    default doesn't change the digests of existing documents.
    """


class Place(_Document, frozen=True):
    """An availability zone and the region it is in."""

    name: PlaceName
    region: RegionName


class Address(_Document, frozen=True):
    """An ``ip:port`` that callers connect to and its traffic type."""

    ip: str
    port: int
    protocol: Protocol

    @property
    def text(self) -> str:
        """The address as ``ip:port``."""
        return f"{self.ip}:{self.port}"


class Kind(_Document, frozen=True):
    """A kind of work; rank 0 has the highest priority.

    ``floor`` is the guaranteed share of the service's slots, 0 to 1.
    ``mean_s`` is the average service time and ``deadline_s`` the longest
    time that a caller waits.
    """

    name: KindName
    rank: int
    floor: float
    idempotent: bool
    mean_s: float
    deadline_s: float
    max_body_bytes: int = 4 * 1024 * 1024


class Service(_Document, frozen=True):
    """A service: its addresses, places and kinds of work.

    ``slots`` and ``connections`` are limits per server. Flows that are
    still open ``drain_limit_s`` after the start of a drain are ended.
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
    """The whole document: the places and services of the fleet."""

    places: tuple[Place, ...]
    services: tuple[Service, ...]
    schema: int = SCHEMA_VERSION

"""Workloads A and S: services, kinds of work and their usual load."""

import math
import random

import msgspec

from medlar_core.config.model import Configuration
from medlar_core.config.model import Kind
from medlar_core.config.model import Place
from medlar_core.config.model import Service
from medlar_core.ids import KindName
from medlar_core.ids import PlaceName
from medlar_core.ids import RegionName
from medlar_core.ids import ServiceName

SIGMA = 0.5
"""Standard deviation of the logarithm of the service times."""
USUAL_LOAD = 0.7
"""Offered load as a share of a service's slots."""
DEADLINE_MEANS = 10.0
SLOTS = 2
MEGABYTE = 1024 * 1024


class Stream(msgspec.Struct, frozen=True):
    """Arrivals of one kind; ``share`` is its part of the service's load."""

    service: ServiceName
    kind: Kind
    share: float
    body_bytes: int = 0


class Workload(msgspec.Struct, frozen=True):
    """A set of services, the number of servers of each, and their load."""

    name: str
    services: tuple[Service, ...]
    servers: tuple[int, ...]
    streams: tuple[Stream, ...]
    client_s: float

    @property
    def cfg(self) -> Configuration:
        """The configuration of the fleet."""
        region = RegionName("home")
        places = tuple(Place(name=p, region=region) for p in PLACES)
        return Configuration(places=places, services=self.services)

    def count(self, service: str) -> int:
        """Return how many servers a service has."""
        names = [s.name for s in self.services]
        return self.servers[names.index(ServiceName(service))]

    def rate(self, stream: Stream, load: float) -> float:
        """Return a stream's arrivals per second at a load of the slots."""
        slots = self.count(stream.service) * SLOTS
        return load * stream.share * slots / stream.kind.mean_s

    def of(self, service: str) -> list[Stream]:
        """Return the streams of a service, the most urgent first."""
        found = [s for s in self.streams if s.service == service]
        return sorted(found, key=lambda s: s.kind.rank)


PLACES = (PlaceName("a"), PlaceName("b"), PlaceName("c"))


def service_time(rng: random.Random, mean_s: float) -> float:
    """Return a log-normal service time with a mean, in seconds."""
    mu = math.log(mean_s) - SIGMA * SIGMA / 2.0
    return rng.lognormvariate(mu, SIGMA)


def _kind(
    name: str, rank: int, floor: float, idempotent: bool, mean_s: float
) -> Kind:
    return Kind(
        name=KindName(name),
        rank=rank,
        floor=floor,
        idempotent=idempotent,
        mean_s=mean_s,
        deadline_s=DEADLINE_MEANS * mean_s,
    )


def _service(name: str, *kinds: Kind) -> Service:
    return Service(
        name=ServiceName(name),
        addresses=(),
        places=PLACES,
        kinds=kinds,
        slots=SLOTS,
    )


_CONFIRMATION = _kind("confirmation", 0, 0.40, False, 0.080)
_QUERY = _kind("query", 1, 0.25, True, 0.040)
_REPORT = _kind("report", 2, 0.10, True, 0.400)
_MANIFEST = _kind("manifest", 0, 0.50, False, 0.800)
_ORDER = _kind("order", 0, 0.40, False, 0.120)
_CERTIFICATE = _kind("certificate", 1, 0.15, True, 0.250)
_PAGE = _kind("page", 2, 0.15, True, 0.030)
_PHOTO = _kind("photo", 0, 0.50, False, 1.000)

_DESK = _service("berth-desk", _CONFIRMATION, _QUERY, _REPORT)
_OFFICE = _service("manifest-office", _MANIFEST)
_SHOP = _service("giftshop", _ORDER, _CERTIFICATE, _PAGE)
_GALLERY = _service("gallery", _PHOTO)

A = Workload(
    name="A",
    services=(_DESK, _OFFICE),
    servers=(7, 3),
    streams=(
        Stream(_DESK.name, _CONFIRMATION, 0.30),
        Stream(_DESK.name, _QUERY, 0.50),
        Stream(_DESK.name, _REPORT, 0.20),
        Stream(_OFFICE.name, _MANIFEST, 1.0, MEGABYTE),
    ),
    client_s=0.003,
)
S = Workload(
    name="S",
    services=(_SHOP, _GALLERY),
    servers=(7, 3),
    streams=(
        Stream(_SHOP.name, _ORDER, 0.20),
        Stream(_SHOP.name, _CERTIFICATE, 0.20),
        Stream(_SHOP.name, _PAGE, 0.60),
        Stream(_GALLERY.name, _PHOTO, 1.0, MEGABYTE),
    ),
    client_s=0.001,
)
WORKLOADS = (A, S)

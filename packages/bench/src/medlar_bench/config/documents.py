"""Configuration documents of a given number of services."""

import random

from medlar_core.config.model import Address
from medlar_core.config.model import Configuration
from medlar_core.config.model import Kind
from medlar_core.config.model import Place
from medlar_core.config.model import Protocol
from medlar_core.config.model import Service
from medlar_core.ids import KindName
from medlar_core.ids import PlaceName
from medlar_core.ids import RegionName
from medlar_core.ids import ServiceName

PLACES = 3


def document(services: int, seed: int = 0) -> Configuration:
    """Return a document of ``services`` services with one address each."""
    rng = random.Random(seed)
    places = tuple(
        Place(name=PlaceName(f"place-{i}"), region=RegionName("region"))
        for i in range(PLACES)
    )
    return Configuration(
        places=places,
        services=tuple(service(rng, i) for i in range(services)),
    )


def service(rng: random.Random, number: int) -> Service:
    """Return a service with two kinds of requests and random limits."""
    ip = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    names = (KindName("order"), KindName("query"))
    return Service(
        name=ServiceName(f"service-{number:05d}"),
        addresses=(Address(ip=ip, port=443, protocol=Protocol.REQUEST),),
        places=tuple(PlaceName(f"place-{i}") for i in range(PLACES)),
        kinds=tuple(_kind(rng, name, i) for i, name in enumerate(names)),
        slots=rng.randint(1, 64),
        connections=rng.randint(1000, 3000),
    )


def _kind(rng: random.Random, name: KindName, rank: int) -> Kind:
    mean_s = rng.randint(20, 900) / 1000
    return Kind(
        name=name,
        rank=rank,
        floor=rng.randint(5, 40) / 100,
        idempotent=rank > 0,
        mean_s=mean_s,
        deadline_s=round(mean_s * 10, 3),
    )

"""Builder functions for the declaration of a deployment.

An operator's program calls them and prints the result as the input of
``medlarctl apply``::

    if __name__ == "__main__":
        emit(deployment(places=[...], services=[...]))
"""

from collections.abc import Iterable
import sys

from medlar_core.config.check import check
from medlar_core.config.codec import encode
from medlar_core.config.model import Address
from medlar_core.config.model import Configuration
from medlar_core.config.model import Kind
from medlar_core.config.model import Place
from medlar_core.config.model import Protocol
from medlar_core.config.model import Service
from medlar_core.config.problem import Problem
from medlar_core.ids import KindName
from medlar_core.ids import PlaceName
from medlar_core.ids import RegionName
from medlar_core.ids import ServiceName

DEADLINE_MEANS = 10.0
"""Default deadline of a kind of work, in multiples of ``mean_s``."""


class DeploymentError(ValueError):
    """A deployment is invalid; ``problems`` lists each error and its field."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("; ".join(problem.text for problem in problems))
        self.problems = problems


def place(name: str, *, region: str) -> Place:
    """Declare an availability zone and its region."""
    return Place(name=PlaceName(name), region=RegionName(region))


def flows(endpoint: str) -> Address:
    """Declare an ``ip:port`` that carries long-lived flows.

    :raises ValueError: if the text is not ``ip:port``.
    """
    return _address(endpoint, Protocol.FLOW)


def requests(endpoint: str) -> Address:
    """Declare an ``ip:port`` that accepts HTTP requests.

    :raises ValueError: if the text is not ``ip:port``.
    """
    return _address(endpoint, Protocol.REQUEST)


def kind(
    name: str,
    *,
    rank: int,
    floor: float,
    mean_s: float,
    idempotent: bool = False,
    deadline_s: float | None = None,
    max_body_bytes: int = 4 * 1024 * 1024,
) -> Kind:
    """Declare a kind of work; rank 0 is the most urgent.

    ``floor`` is the share of the service's slots that it is guaranteed,
    0 to 1; ``mean_s`` is its mean service time in seconds. Work that is
    not declared idempotent runs at most once.
    """
    if deadline_s is None:
        deadline_s = mean_s * DEADLINE_MEANS
    return Kind(
        name=KindName(name),
        rank=rank,
        floor=floor,
        idempotent=idempotent,
        mean_s=mean_s,
        deadline_s=deadline_s,
        max_body_bytes=max_body_bytes,
    )


def service(
    name: str,
    *,
    addresses: Iterable[Address],
    places: Iterable[Place],
    kinds: Iterable[Kind] = (),
    slots: int = 2,
    connections: int = 2000,
    buckets: int = 1024,
    warm_s: float = 10.0,
    drain_limit_s: float = 12 * 3600.0,
) -> Service:
    """Declare a service; ``slots`` and ``connections`` are per server.

    ``warm_s`` is how long a new server warms up; flows still open
    ``drain_limit_s`` after the start of a drain are ended. ``buckets`` is
    a power of two, well above the number of servers.
    """
    return Service(
        name=ServiceName(name),
        addresses=tuple(addresses),
        places=tuple(zone.name for zone in places),
        kinds=tuple(kinds),
        slots=slots,
        connections=connections,
        buckets=buckets,
        warm_s=warm_s,
        drain_limit_s=drain_limit_s,
    )


def deployment(
    *, places: Iterable[Place], services: Iterable[Service]
) -> Configuration:
    """Return the checked configuration of a deployment.

    :raises DeploymentError: if it is invalid.
    """
    cfg = Configuration(places=tuple(places), services=tuple(services))
    problems = check(cfg)
    if problems:
        raise DeploymentError(problems)
    return cfg


def emit(cfg: Configuration) -> None:
    """Print a configuration as JSON for ``medlarctl``."""
    sys.stdout.write(encode(cfg) + "\n")


def _address(endpoint: str, protocol: Protocol) -> Address:
    ip, _, port = endpoint.rpartition(":")
    if not ip or not port.isascii() or not port.isdigit():
        raise ValueError(f"address: got {endpoint!r}; expected ip:port")
    return Address(ip=ip, port=int(port), protocol=protocol)

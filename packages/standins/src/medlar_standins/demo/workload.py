"""Load of the demo's callers; the same as workload A of the benchmarks."""

from medlar_core.config.model import Configuration
from medlar_core.config.model import Protocol
from medlar_core.config.model import Service

from ..requesters import Work
from .layout import SERVERS

LOAD = 0.7
"""Share of a service's slots that the normal load uses."""
DRAINED = {"berth-desk": 1}
"""Servers drained before the load is measured."""
SHARES = {
    "slot-confirmation": 0.3,
    "berth-query": 0.5,
    "shift-report": 0.2,
    "manifest": 1.0,
}
BODY_BYTES = {"manifest": 1_000_000}
SMALL_BODY_BYTES = 200
FLOOD_KIND = "shift-report"
FLOOD_TIMES = 10.0
FEED_SERVICE = "berth-desk"


def usual_work(cfg: Configuration) -> list[Work]:
    """Return each kind of work at its usual rate."""
    return [
        _work(service, number)
        for service in cfg.services
        for number in range(len(service.kinds))
    ]


def flood_work(usual: list[Work]) -> Work:
    """Return the additional load of the least urgent kind."""
    work = next(work for work in usual if work.kind == FLOOD_KIND)
    return Work(
        service=work.service,
        kind=work.kind,
        url=work.url,
        rate=work.rate * (FLOOD_TIMES - 1.0),
        mean_s=work.mean_s,
        deadline_s=work.deadline_s,
        idempotent=work.idempotent,
        body_bytes=work.body_bytes,
    )


def feed_address(cfg: Configuration) -> tuple[str, int]:
    """Return host and port that feeds go to."""
    service = next(s for s in cfg.services if s.name == FEED_SERVICE)
    address = next(a for a in service.addresses if a.protocol is Protocol.FLOW)
    return address.ip, address.port


def _work(service: Service, number: int) -> Work:
    kind = service.kinds[number]
    servers = SERVERS[service.name] - DRAINED.get(service.name, 0)
    slots = servers * service.slots
    address = next(
        a for a in service.addresses if a.protocol is Protocol.REQUEST
    )
    return Work(
        service=service.name,
        kind=kind.name,
        url=f"http://{address.text}/{kind.name}",
        rate=LOAD * slots * SHARES[kind.name] / kind.mean_s,
        mean_s=kind.mean_s,
        deadline_s=kind.deadline_s,
        idempotent=kind.idempotent,
        body_bytes=BODY_BYTES.get(kind.name, SMALL_BODY_BYTES),
    )

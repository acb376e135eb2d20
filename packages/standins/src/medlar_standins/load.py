"""Load generator for one service, with latency percentiles."""

import asyncio

import msgspec

from medlar_core.config.model import Configuration
from medlar_core.config.model import Kind
from medlar_core.config.model import Protocol
from medlar_core.config.model import Service

from .feeds import FeedCount
from .feeds import Feeds
from .requesters import Outcome
from .requesters import RequestCallers
from .requesters import Work

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
FEED_PERIOD_S = 5.0


class LoadError(ValueError):
    """Invalid load parameters; the message says what is expected."""


class LoadPlan(msgspec.Struct, frozen=True):
    """What to send: requests a second of each kind, and open feeds."""

    service: str
    rates: dict[str, float]
    feeds: int
    seconds: float
    body_bytes: int
    seed: int


class KindResult(msgspec.Struct, frozen=True):
    """Outcomes of the requests of a kind; latencies in milliseconds."""

    kind: str
    sent: int
    outcomes: dict[str, int]
    latency_ms: dict[str, float]


class LoadResult(msgspec.Struct, frozen=True):
    """Results of all kinds of requests and of the feeds."""

    kinds: tuple[KindResult, ...]
    feeds: FeedCount


async def run(cfg: Configuration, plan: LoadPlan) -> LoadResult:
    """Send a load and return its results.

    :raises LoadError: if the configuration has no such service or kind.
    """
    service = _service(cfg, plan.service)
    works = [_work(service, kind, plan) for kind in _kinds(service, plan)]
    callers = RequestCallers(plan.seed)
    feeds = await _open_feeds(service, plan)
    await callers.start()
    try:
        await asyncio.gather(
            asyncio.sleep(plan.seconds),
            *(callers.run(work, plan.seconds) for work in works),
        )
    finally:
        await callers.stop()
        await feeds.close()
    return LoadResult(
        tuple(_found(callers, work.kind) for work in works), feeds.count
    )


def table(found: LoadResult) -> str:
    """Return the results as a text table."""
    heads = [f"p{p:g} ms" for p in PERCENTILES]
    names = [outcome.value for outcome in Outcome]
    columns = ["kind", "sent", *names, *heads]
    rows = [columns]
    for kind in found.kinds:
        counts = [str(kind.outcomes.get(name, 0)) for name in names]
        times = [f"{value:.1f}" for value in kind.latency_ms.values()]
        rows.append([kind.kind, str(kind.sent), *counts, *times])
    widths = [max(map(len, column)) for column in zip(*rows, strict=False)]
    shown = [
        "  ".join(
            cell.rjust(width) for cell, width in zip(row, widths, strict=False)
        )
        for row in rows
    ]
    feeds = found.feeds
    shown.append(
        f"feeds: {feeds.opened} opened, {feeds.broken} broken, "
        f"{feeds.refused} refused, {feeds.echoed} of {feeds.sent} answered"
    )
    return "\n".join(shown)


def _service(cfg: Configuration, name: str) -> Service:
    for service in cfg.services:
        if service.name == name:
            return service
    known = ", ".join(service.name for service in cfg.services)
    raise LoadError(f"--service: got {name!r}, expected one of {known}")


def _kinds(service: Service, plan: LoadPlan) -> list[Kind]:
    known = {str(kind.name): kind for kind in service.kinds}
    for name in plan.rates:
        if name not in known:
            names = ", ".join(known)
            raise LoadError(f"--rates: got {name!r}, expected {names}")
    return [known[name] for name in plan.rates]


def _work(service: Service, kind: Kind, plan: LoadPlan) -> Work:
    address = _address(service, Protocol.REQUEST)
    return Work(
        service=service.name,
        kind=kind.name,
        url=f"http://{address}/{kind.name}",
        rate=plan.rates[kind.name],
        mean_s=kind.mean_s,
        deadline_s=kind.deadline_s,
        idempotent=kind.idempotent,
        body_bytes=plan.body_bytes,
    )


async def _open_feeds(service: Service, plan: LoadPlan) -> Feeds:
    if not plan.feeds:
        return Feeds("", 0)
    host, port = _address(service, Protocol.FLOW).rsplit(":", 1)
    feeds = Feeds(host, int(port))
    await feeds.open(plan.feeds, FEED_PERIOD_S)
    return feeds


def _address(service: Service, protocol: Protocol) -> str:
    for address in service.addresses:
        if address.protocol is protocol:
            return address.text
    raise LoadError(
        f"--service: {service.name} has no {protocol.value} address"
    )


def _found(callers: RequestCallers, kind: str) -> KindResult:
    outcomes = callers.outcomes(kind)
    histogram = callers.latency.get(kind)
    latency = {
        f"p{p:g}": histogram.get_value_at_percentile(p) / 1000
        if histogram
        else 0.0
        for p in PERCENTILES
    }
    return KindResult(
        kind,
        sum(outcomes.values()),
        {outcome.value: count for outcome, count in outcomes.items()},
        latency,
    )

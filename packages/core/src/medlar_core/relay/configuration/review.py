"""Faults of a route table that its format does not exclude."""

from collections.abc import Collection
from collections.abc import Iterator

from ...config.problem import Problem
from ...ids import ServiceName
from .routes import Route
from .routes import RouteTable


def find_problems(
    table: RouteTable, services: Collection[ServiceName]
) -> tuple[Problem, ...]:
    """Return entries that can never match and limits that contradict.

    ``services`` are those that the configuration defines.
    """
    return tuple(_problems(table, services))


def _problems(
    table: RouteTable, services: Collection[ServiceName]
) -> Iterator[Problem]:
    yield from _shadowed(table)
    for route in table.routes:
        path = _path(route)
        yield from _shares(path, route, services)
        yield from _limits(path, route, table.idle_s)


def _path(route: Route) -> str:
    return f"routes.{route.host}:{route.port}"


def _shadowed(table: RouteTable) -> Iterator[Problem]:
    """Yield each route that a later one of the same address replaces."""
    last = {route.address: route for route in table.routes}
    for i, route in enumerate(table.routes):
        if last[route.address] is not route:
            yield Problem(
                f"{_path(route)} (entry {i})",
                "an address that a later route has as well",
                "one route for each address",
                "this entry can never match; merge the two",
            )


def _shares(
    path: str, route: Route, services: Collection[ServiceName]
) -> Iterator[Problem]:
    for share in route.shares:
        if share.service not in services:
            yield Problem(
                path,
                f"service {share.service!r}",
                "a service that the configuration defines",
                "its callers would be dropped",
            )
        if share.weight <= 0:
            yield Problem(
                path,
                f"weight {share.weight} of {share.service!r}",
                "at least 1",
                "the service would get no new flows",
            )


def _limits(path: str, route: Route, idle_s: float) -> Iterator[Problem]:
    if route.timeout_ms and route.target_ms > route.timeout_ms:
        yield Problem(
            path,
            f"a target of {route.target_ms} ms",
            f"at most the timeout, {route.timeout_ms} ms",
            "callers give up before the target",
        )
    if route.timeout_ms > idle_s * 1_000:
        yield Problem(
            path,
            f"a timeout of {route.timeout_ms} ms",
            f"at most the idle timeout of flows, {idle_s * 1_000:.0f} ms",
            "the flow may be removed while its caller waits",
        )

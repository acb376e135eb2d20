"""Balancers that fetch the configuration from each other."""

import asyncio

import msgspec
import pytest

from medlar_core.ids import ServiceName
from medlar_core.relay.configuration.compact import CompactRoutes
from medlar_core.relay.configuration.routes import Route
from medlar_core.relay.configuration.routes import RouteTable
from medlar_core.relay.configuration.routes import Share
from medlar_core.relay.configuration.scope_record import ScopeRecord
from medlar_core.relay.configuration.scope_record import share
from medlar_core.relay.zones.evacuation import EvacuatedPlaces
from medlar_node.relay.http import HttpClient
from medlar_node.relay.http import HttpError
from medlar_node.relay.http import Request
from medlar_node.relay.http import Response
from medlar_node.relay.http import serving
from medlar_node.relay.route_exchange import COMPACT_PATH
from medlar_node.relay.route_exchange import fetch
from medlar_node.relay.route_exchange import respond
from medlar_node.relay.route_exchange import ROUTES_PATH

from .test_http import free_address

SERVICE = ServiceName("desk")
ROUTES = tuple(
    Route(f"192.0.2.{number}", 443, (Share(SERVICE, 1),), number % 3)
    for number in range(200)
)
TABLE = RouteTable(7, ROUTES, 15.0)
RECORD = ScopeRecord().merged(TABLE)
SHARED = share(TABLE, RECORD, EvacuatedPlaces())


def compact() -> bytes:
    return CompactRoutes().encode(TABLE, RECORD, EvacuatedPlaces())


def fetch_from(handler):
    """Return what is fetched from a balancer with an HTTP handler."""
    address = free_address()

    async def run():
        client = HttpClient(address)
        async with serving(address, handler):
            try:
                return await fetch(client)
            finally:
                client.close()

    return asyncio.run(run())


async def balancer(req: Request) -> Response:
    return respond(req, compact, lambda: SHARED)


async def earlier_version(req: Request) -> Response:
    if req.target != ROUTES_PATH:
        return Response(404)
    return Response(200, msgspec.json.encode(SHARED))


async def damaged(req: Request) -> Response:
    return Response(200, compact()[:-9])


async def not_configured(req: Request) -> Response:
    return respond(req, lambda: b"", lambda: None)


def test_a_large_configuration_is_fetched_in_its_compact_form():
    fetched = fetch_from(balancer)
    assert fetched.shared == SHARED
    assert fetched.size < len(msgspec.json.encode(SHARED)) / 10


def test_a_balancer_of_an_earlier_version_gives_json():
    assert fetch_from(earlier_version).shared == SHARED


def test_a_balancer_of_an_earlier_version_is_given_json():
    res = respond(Request("GET", ROUTES_PATH), compact, lambda: SHARED)
    assert msgspec.json.decode(res.body, type=type(SHARED)) == SHARED


@pytest.mark.parametrize("path", [COMPACT_PATH, ROUTES_PATH])
def test_a_balancer_without_a_configuration_gives_none(path):
    assert respond(Request("GET", path), bytes, lambda: None).status == 503


@pytest.mark.parametrize(
    ("handler", "error"), [(damaged, ValueError), (not_configured, HttpError)]
)
def test_what_is_not_whole_is_not_used(handler, error):
    with pytest.raises(error):
        fetch_from(handler)

import pytest

from medlar_core.relay.configuration.review import find_problems
from medlar_core.relay.configuration.routes import Route
from medlar_core.relay.configuration.routes import RouteTable
from medlar_core.relay.configuration.routes import Share

DESK = (Share("desk", 1),)


def problems(*routes):
    table = RouteTable(1, tuple(routes), 15.0)
    return [found.text for found in find_problems(table, {"desk"})]


def test_a_table_without_contradictions_has_no_problem():
    assert problems(Route("192.0.2.1", 80, DESK, 0, 100, 1_000)) == []


@pytest.mark.parametrize(
    ("route", "words"),
    [
        (Route("192.0.2.1", 80, (Share("gone", 1),)), "service 'gone'"),
        (Route("192.0.2.1", 80, (Share("desk", 0),)), "weight 0 of 'desk'"),
        (Route("192.0.2.1", 80, DESK, 0, 900, 500), "a target of 900 ms"),
        (Route("192.0.2.1", 80, DESK, 0, 0, 20_000), "20000 ms"),
    ],
)
def test_a_route_that_cannot_work_is_named(route, words):
    (text,) = problems(route)
    assert text.startswith("routes.192.0.2.1:80: got")
    assert words in text


def test_a_route_whose_address_a_later_one_has_can_never_match():
    shadowed = Route("192.0.2.1", 80, DESK)
    (text,) = problems(shadowed, Route("192.0.2.1", 80, DESK, 1))
    assert "(entry 0)" in text
    assert "can never match" in text

import random

import pytest

from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import ServiceName
from medlar_core.members.view import Server
from medlar_core.members.view import ServerState
from medlar_core.members.view import View
from medlar_core.requests.choice import Choice
from medlar_core.requests.homes import candidates
from medlar_core.requests.policy import POLICY

SERVICES = [ServiceName(f"service-{n}") for n in range(20)]


def view(version: int, servers: int) -> View:
    found = tuple(
        Server(
            NodeId(f"10.0.0.{n}:7000"),
            Incarnation(version),
            SERVICES[n % len(SERVICES)],
            PlaceName("a"),
            ServerState.READY,
        )
        for n in range(servers)
    )
    return View(version, found, ())


def test_homes_follow_the_latest_view() -> None:
    choice = Choice(NodeId("b"), random.Random(1), POLICY)
    for version, servers in ((1, 60), (2, 30), (3, 10)):
        current = view(version, servers)
        choice.set_view(current)
        for service in SERVICES:
            assert choice.homes(service) == candidates(current, service)


def test_homes_are_computed_once_and_only_on_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    computed: list[ServiceName] = []

    def counting_candidates(current: View, service: ServiceName) -> object:
        computed.append(service)
        return candidates(current, service)

    monkeypatch.setattr(
        "medlar_core.requests.choice.candidates", counting_candidates
    )
    choice = Choice(NodeId("b"), random.Random(1), POLICY)
    choice.set_view(view(1, 100))
    choice.homes(SERVICES[3])
    choice.homes(SERVICES[3])
    assert computed == [SERVICES[3]]

"""Helpers and sample data for the tests of requests."""

import random
from typing import Any

from medlar_core.config.model import Configuration
from medlar_core.config.model import Kind
from medlar_core.config.model import Service
from medlar_core.events import ConfigurationChanged
from medlar_core.events import ViewChanged
from medlar_core.ids import AttemptId
from medlar_core.ids import IdempotencyKey
from medlar_core.ids import Incarnation
from medlar_core.ids import KindName
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import RequestId
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.ids import Version
from medlar_core.members.view import Server
from medlar_core.members.view import ServerState
from medlar_core.members.view import View
from medlar_core.requests.agent import AgentRequests
from medlar_core.requests.balancer import BalancerRequests
from medlar_core.requests.events import AttemptCame
from medlar_core.requests.events import RequestCame

DESK = ServiceName("berth-desk")
PLACE = PlaceName("a")


def kind(
    name: str, rank: int, floor: float, idempotent: bool, mean_s: float
) -> Kind:
    return Kind(
        name=KindName(name),
        rank=rank,
        floor=floor,
        idempotent=idempotent,
        mean_s=mean_s,
        deadline_s=10 * mean_s,
    )


SLOT = kind("confirmation", 0, 0.40, False, 0.080)
QUERY = kind("query", 1, 0.25, True, 0.040)
REPORT = kind("report", 2, 0.10, True, 0.400)
KINDS = {k.name: k for k in (SLOT, QUERY, REPORT)}
CFG = Configuration(
    places=(),
    services=(
        Service(name=DESK, addresses=(), places=(), kinds=(*KINDS.values(),)),
    ),
)


def server(
    node: str, inc: int = 1, state: ServerState = ServerState.READY
) -> Server:
    return Server(NodeId(node), Incarnation(inc), DESK, PLACE, state)


def view(*servers: Server, version: int = 1) -> ViewChanged:
    return ViewChanged(View(version, servers, ()))


def agent(node: str, now: float, *servers: Server) -> AgentRequests:
    """Return an agent that has its configuration and a view."""
    mine = next((s for s in servers if s.id == node), server(node))
    created = AgentRequests(
        NodeId(node), DESK, PLACE, mine.incarnation, random.Random(1)
    )
    configure(created, now, *servers)
    return created


def balancer(now: float, *servers: Server) -> BalancerRequests:
    created = BalancerRequests(NodeId("b"), PLACE, random.Random(1))
    configure(created, now, *servers)
    return created


def configure(host: Any, now: float, *servers: Server) -> None:
    host.reduce(Seconds(now), ConfigurationChanged(CFG, Version(1)))
    host.reduce(Seconds(now), view(*servers))


def attempt(
    id: str, of: Kind = QUERY, key: str | None = None, **more: Any
) -> AttemptCame:
    values: dict[str, Any] = {
        "attempt": AttemptId(id),
        "req": RequestId(f"req-{id}"),
        "src": NodeId("b"),
        "incarnation": Incarnation(1),
        "service": DESK,
        "kind": of.name,
        "key": IdempotencyKey(key) if key else None,
        "deadline_s": of.deadline_s,
    }
    return AttemptCame(**{**values, **more})


def request(
    id: str, of: Kind = QUERY, key: str | None = None, **more: Any
) -> RequestCame:
    values: dict[str, Any] = {
        "req": RequestId(id),
        "service": DESK,
        "kind": of.name,
        "key": IdempotencyKey(key) if key else None,
        "deadline_s": of.deadline_s,
        "body_bytes": 0,
        "caller": "10.9.0.1",
    }
    return RequestCame(**{**values, **more})


def effects_of(effects: list[Any], wanted: type) -> list[Any]:
    return [effect for effect in effects if isinstance(effect, wanted)]

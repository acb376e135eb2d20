import collections

import pytest

from medlar_core.flows.table import build
from medlar_core.flows.table import Candidate
from medlar_core.flows.table import choose_candidates
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import ServiceName
from medlar_core.members.view import Server
from medlar_core.members.view import ServerState

BUCKETS = 1024


def candidates(count: int, share: float = 1.0) -> tuple[Candidate, ...]:
    return tuple(
        Candidate(NodeId(f"10.0.0.{i}:9000"), share) for i in range(count)
    )


def server(node: str, state: ServerState, warmth: float = 1.0) -> Server:
    return Server(
        NodeId(node),
        Incarnation(1),
        ServiceName("s"),
        PlaceName("a"),
        state,
        warmth=warmth,
    )


def counts(found: tuple[Candidate, ...]) -> collections.Counter[str]:
    table = build(found, BUCKETS)
    return collections.Counter(table.owner(key) for key in range(BUCKETS))


@pytest.mark.parametrize("count", [1, 2, 3, 7, 60, 300])
def test_no_server_owns_more_than_its_share(count: int) -> None:
    owned = counts(candidates(count))
    assert max(owned.values()) <= -(-BUCKETS // count)
    assert sum(owned.values()) == BUCKETS


def test_order_of_members_does_not_matter() -> None:
    servers = [server(f"10.0.0.{i}:1", ServerState.READY) for i in range(7)]
    assert choose_candidates(servers) == choose_candidates(reversed(servers))


def test_share_follows_capacity() -> None:
    light, heavy = candidates(1), (Candidate(NodeId("10.0.1.0:1"), 3.0),)
    owned = counts(light + heavy)
    assert owned["10.0.1.0:1"] == BUCKETS * 3 // 4


def test_join_moves_little_more_than_the_share_of_the_new_member() -> None:
    before = build(candidates(7), BUCKETS)
    after = build(candidates(8), BUCKETS)
    moved = sum(
        before.owner(key) != after.owner(key) for key in range(BUCKETS)
    )
    assert moved <= 1.5 * BUCKETS / 8


def test_draining_server_owns_nothing() -> None:
    found = choose_candidates(
        [
            server("10.0.0.1:1", ServerState.DRAINING),
            server("10.0.0.2:1", ServerState.READY),
        ]
    )
    assert [c.id for c in found] == ["10.0.0.2:1"]


def test_warming_server_owns_a_rising_share() -> None:
    owned = []
    for warmth in (0.1, 0.5, 1.0):
        warm = server("10.0.0.1:1", ServerState.WARMING, warmth)
        found = choose_candidates(
            [warm, server("10.0.0.2:1", ServerState.READY)]
        )
        owned.append(counts(found)["10.0.0.1:1"])
    assert owned == sorted(set(owned))
    assert owned[-1] == BUCKETS // 2


def test_draining_servers_own_buckets_if_no_server_accepts_flows() -> None:
    table = build(
        choose_candidates([server("10.0.0.1:1", ServerState.DRAINING)]), 8
    )
    assert table.owner(5) == "10.0.0.1:1"
    assert not table.accepting

"""Unit tests of the components of membership."""

import collections
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from medlar_core.effects import Send
from medlar_core.events import Received
from medlar_core.events import Tick
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import RegionName
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.members.agent import AgentMembers
from medlar_core.members.assign import assign
from medlar_core.members.assign import LOAD_BOUND
from medlar_core.members.balancer import BalancerMembers
from medlar_core.members.load import FLOW_STEP
from medlar_core.members.load import grid_neighbours
from medlar_core.members.load import Load
from medlar_core.members.messages import Announce
from medlar_core.members.messages import Beat
from medlar_core.members.messages import MESSAGES
from medlar_core.members.messages import News
from medlar_core.members.places import Places
from medlar_core.members.record import gone
from medlar_core.members.record import pack
from medlar_core.members.record import Record
from medlar_core.members.record import RecordDecodeError
from medlar_core.members.record import Role
from medlar_core.members.record import unpack
from medlar_core.members.table import Table
from medlar_core.members.table import TOMBSTONE_S
from medlar_core.members.view import ServerState
from medlar_core.storeaccess.access import StoreAccess

PLACES = [PlaceName(name) for name in ("a", "b", "c", "d")]
REGIONS = Places(
    {place: RegionName("n" if place in "ab" else "s") for place in PLACES}
)
fuzz_settings = settings(max_examples=200, deadline=None, derandomize=True)


def server(number: int, place: PlaceName = PLACES[0]) -> Record:
    node = NodeId(f"10.0.{number >> 8}.{number & 255}:7")
    state = ServerState.READY
    service = ServiceName("desk")
    return Record(node, Role.SERVER, Incarnation(3), 1, state, place, service)


def balancer(number: int, place: PlaceName) -> Record:
    node = NodeId(f"10.1.0.{number}:7")
    return Record(
        node, Role.BALANCER, Incarnation(3), 0, ServerState.READY, place
    )


def make_fleet() -> tuple[list[Record], list[Record]]:
    servers = [server(n, PLACES[n % 4]) for n in range(320)]
    balancers = [balancer(n, PLACES[n % 4]) for n in range(40)]
    return servers, balancers


def test_watchers_are_in_two_places_of_the_same_region() -> None:
    servers, balancers = make_fleet()
    where = {record.id: record.place for record in balancers}
    watchers = assign(servers, balancers, REGIONS)
    for record in servers:
        local, remote = (where[node] for node in watchers[record.id])
        assert local == record.place != remote
        assert REGIONS.region(local) == REGIONS.region(remote)


def test_no_balancer_watches_many_more_than_others() -> None:
    servers, balancers = make_fleet()
    watchers = assign(servers, balancers, REGIONS)
    load = collections.Counter(n for by in watchers.values() for n in by)
    assert max(load.values()) <= 2 * (LOAD_BOUND * 320 / 40 + 1)


def test_few_watchers_change_when_a_balancer_leaves() -> None:
    servers, balancers = make_fleet()
    before = assign(servers, balancers, REGIONS)
    after = assign(servers, balancers[1:], REGIONS)
    moved = sum(before[node] != after[node] for node in before)
    assert moved <= 3 * 2 * 320 / 40


@pytest.mark.parametrize("count", [1, 2, 3, 7, 12, 13, 49, 50, 51])
def test_load_grid_reaches_every_balancer(count: int) -> None:
    ids = tuple(NodeId(str(number)) for number in range(count))
    for start in ids:
        row, column = grid_neighbours(start, ids)
        reached = {start, *row, *column}
        for node in row:
            reached |= set(grid_neighbours(node, ids)[1])
        assert reached == set(ids)


@given(st.integers(0, 2_000_000), st.integers(0, 200))
@fuzz_settings
def test_load_is_quantised_within_half_a_step(flows: int, busy: int) -> None:
    load = Load.of(flows, busy)
    assert abs(load.flows - flows) <= flows * (FLOW_STEP - 1) / 2 + 1
    assert load.busy == busy


def test_tombstone_outranks_its_incarnation_until_it_expires() -> None:
    table = Table(random.Random(1))
    record = server(1)
    table.apply(Seconds(0.0), record)
    table.apply(Seconds(1.0), gone(record))
    later = msgspec.structs.replace(record, seq=99)
    assert not table.apply(Seconds(2.0), later)
    table.expire(Seconds(1.0 + TOMBSTONE_S))
    assert table.get(record.id) is None


def test_records_above_the_unpacked_size_limit_are_refused() -> None:
    records = [server(1)] * 200_000
    with pytest.raises(RecordDecodeError):
        unpack(pack(records))


def members() -> list[BalancerMembers | AgentMembers]:
    rng = random.Random(1)
    record = server(1)
    seeds = (NodeId("10.1.0.1:7"),)
    return [
        BalancerMembers(balancer(9, PLACES[0]), seeds, rng, StoreAccess(rng)),
        AgentMembers(record, seeds, rng, StoreAccess(rng)),
    ]


@given(st.sampled_from(MESSAGES), st.data())
@fuzz_settings
def test_no_valid_message_raises(
    kind: type[msgspec.Struct], data: st.DataObject
) -> None:
    message = data.draw(st.from_type(kind))
    src = NodeId("10.1.0.2:7")
    if isinstance(message, Announce):
        src = message.record.id
    try:
        decoded = msgspec.json.decode(msgspec.json.encode(message), type=kind)
    except msgspec.MsgspecError:
        return  # refused by the decoder
    for host in members():
        host.reduce(Seconds(1.0), Received(src, decoded))
        beat = Beat(Incarnation(3), 1, 0, 0, 1)
        host.reduce(Seconds(1.1), Received(src, beat))
        effects = host.reduce(Seconds(1.2), Tick())
        msgspec.json.encode([e.msg for e in effects if isinstance(e, Send)])


@given(st.binary(max_size=300))
@fuzz_settings
def test_no_packed_bytes_raise(data: bytes) -> None:
    gossip = News(data)
    for host in members():
        host.reduce(Seconds(1.0), Received(NodeId("10.1.0.2:7"), gossip))

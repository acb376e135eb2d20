import asyncio
import base64
import json

import pytest

from medlar_core.store import Changed
from medlar_core.store import Conflict
from medlar_core.store import Delete
from medlar_core.store import Found
from medlar_core.store import Get
from medlar_core.store import HistoryGone
from medlar_core.store import Item
from medlar_core.store import Leased
from medlar_core.store import LeaseGrant
from medlar_core.store import LeaseKeep
from medlar_core.store import LeaseLapsed
from medlar_core.store import List
from medlar_core.store import Put
from medlar_core.store import Unavailable
from medlar_core.store import Watch
from medlar_core.store import Written
from medlar_node.relay.http import Request
from medlar_node.relay.http import Response
from medlar_node.relay.http import serving
from medlar_platform.store import PlatformStore


def ask(op, *answers: Response, port: int):
    """Return what the store says, and the calls that it got."""
    calls: list[Request] = []
    left = list(answers)

    async def answer(req: Request) -> Response:
        calls.append(req)
        if not left:
            await asyncio.sleep(5.0)
        return left.pop(0)

    async def run():
        address = f"127.0.0.1:{port}"
        store = PlatformStore(address, 0.2)
        async with serving(address, answer):
            found = await store.ask(op)
            store.close()
            await asyncio.sleep(0.01)
            return found

    return asyncio.run(run()), calls


def body(status: int = 200, **fields) -> Response:
    return Response(status, json.dumps(fields).encode())


def item(key: str, revision: int, text: str = "v", **more):
    value = base64.b64encode(text.encode()).decode()
    return {"key": key, "revision": revision, "value": value, **more}


def test_one_item_is_read(free_port):
    told = body(**item("a", 5), as_of=9)
    answer, calls = ask(Get("a/b"), told, port=free_port)
    assert answer == Found((Item("a", "v", 5),), 5)
    assert calls[0].target == "/-/kv-key?key=a%2Fb"


def test_an_item_that_is_absent_is_found_empty(free_port):
    answer, _ = ask(Get("a"), body(404), port=free_port)
    assert answer == Found((), 0)


def test_pages_are_read_to_the_end_and_watched_from_the_first(free_port):
    answer, calls = ask(
        List("p/"),
        body(items=[item("p/a", 3)], as_of=7, has_more=True),
        body(items=[item("p/b", 8)], as_of=9, has_more=False),
        port=free_port,
    )
    assert answer == Found((Item("p/a", "v", 3), Item("p/b", "v", 8)), 7)
    assert calls[1].target == "/-/kv-range?prefix=p%2F&after=p%2Fa"


def test_a_watch_tells_items_and_deletions(free_port):
    gone = {"key": "p/b", "revision": 9, "is_deleted": True}
    told = body(events=[item("p/a", 8), gone], as_of=9)
    answer, calls = ask(Watch("p/", 7, 0.1), told, port=free_port)
    assert answer == Changed((Item("p/a", "v", 8),), ("p/b",), 9)
    assert calls[0].target == "/-/kv-watch?prefix=p%2F&after=7&wait_ms=100"


def test_dropped_history_is_told(free_port):
    answer, _ = ask(Watch("p/", 7, 0.1), body(410), port=free_port)
    assert answer == HistoryGone()


def test_a_write_carries_its_condition_and_lease(free_port):
    put = Put("a", "v", 4, 77)
    answer, calls = ask(put, body(revision=5), port=free_port)
    assert answer == Written(5)
    assert json.loads(calls[0].body) == {
        "expected_revision": [{"key": "a", "revision": 4}],
        "set_keys": [{"key": "a", "value": "dg==", "lease": 77}],
        "remove": [],
    }


def test_a_deletion_carries_its_condition(free_port):
    answer, calls = ask(Delete("a", 4), body(revision=5), port=free_port)
    assert answer == Written(5)
    assert json.loads(calls[0].body)["remove"] == ["a"]


@pytest.mark.parametrize(("items", "actual"), [([item("a", 9)], 9), ([], 0)])
def test_a_write_whose_condition_fails_tells_the_revision(
    free_port, items, actual
):
    told = body(412, items=items)
    answer, _ = ask(Put("a", "v", 4), told, port=free_port)
    assert answer == Conflict(actual)


def test_a_write_under_a_lease_that_ended_is_told(free_port):
    answer, _ = ask(Put("a", "v", 4, 77), body(404), port=free_port)
    assert answer == LeaseLapsed(77)


def test_leases_are_granted_and_renewed(free_port):
    told = body(lease=77, ttl_ms=3_000)
    answer, _ = ask(LeaseGrant(2.0), told, port=free_port)
    assert answer == Leased(77, 3.0)
    answer, calls = ask(LeaseKeep(77), body(ttl_ms=3_000), port=free_port)
    assert answer == Leased(77, 3.0)
    assert calls[0].target == "/-/kv-keep/77"


@pytest.mark.parametrize("op", [Get("a"), List("a"), Put("a", "v", 0)])
@pytest.mark.parametrize("status", [429, 503])
def test_a_refusal_of_the_store_is_no_answer(free_port, op, status):
    answer, _ = ask(op, body(status), port=free_port)
    assert answer == Unavailable(f"status {status}")


@pytest.mark.parametrize("text", [b"", b"{", b"[]", b'{"items":5}'])
def test_an_unreadable_answer_is_no_answer(free_port, text):
    answer, _ = ask(List("a"), Response(200, text), port=free_port)
    assert isinstance(answer, Unavailable)


def test_a_call_that_hangs_is_given_up(free_port):
    answer, _ = ask(Put("a", "v", 0), port=free_port)
    assert isinstance(answer, Unavailable)


def test_a_store_that_is_not_there_is_no_answer(free_port):
    store = PlatformStore(f"127.0.0.1:{free_port}", 0.2)
    assert isinstance(asyncio.run(store.ask(Get("a"))), Unavailable)

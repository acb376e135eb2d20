import asyncio
import base64
import json

import pytest

from medlar_core.store import Changed
from medlar_core.store import Compare
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


def execute(op, *answers: Response, port: int):
    """Return the answer to an operation and the HTTP calls it made.

    The store responds with ``answers`` in order, then no longer.
    """
    calls: list[Request] = []
    pending = list(answers)

    async def answer(req: Request) -> Response:
        calls.append(req)
        if not pending:
            await asyncio.sleep(5.0)
        return pending.pop(0)

    async def run():
        address = f"127.0.0.1:{port}"
        store = PlatformStore(address, 0.2)
        async with serving(address, answer):
            result = await store.execute(op)
            store.close()
            await asyncio.sleep(0.01)
            return result

    return asyncio.run(run()), calls


def body(status: int = 200, **fields) -> Response:
    return Response(status, json.dumps(fields).encode())


def item(key: str, revision: int, text: str = "v", **more):
    value = base64.b64encode(text.encode()).decode()
    return {"key": key, "revision": revision, "value": value, **more}


def test_get_returns_one_item(free_port):
    response = body(**item("a", 5), as_of=9)
    answer, calls = execute(Get("a/b"), response, port=free_port)
    assert answer == Found((Item("a", "v", 5),), 5)
    assert calls[0].target == "/-/kv-key?key=a%2Fb"


def test_get_of_absent_key_returns_no_item(free_port):
    answer, _ = execute(Get("a"), body(404), port=free_port)
    assert answer == Found((), 0)


def test_list_reads_all_pages_and_returns_revision_of_first(free_port):
    answer, calls = execute(
        List("p/"),
        body(items=[item("p/a", 3)], as_of=7, has_more=True),
        body(items=[item("p/b", 8)], as_of=9, has_more=False),
        port=free_port,
    )
    assert answer == Found((Item("p/a", "v", 3), Item("p/b", "v", 8)), 7)
    assert calls[1].target == "/-/kv-range?prefix=p%2F&after=p%2Fa"


def test_watch_returns_items_and_deletions(free_port):
    deletion = {"key": "p/b", "revision": 9, "is_deleted": True}
    response = body(events=[item("p/a", 8), deletion], as_of=9)
    answer, calls = execute(Watch("p/", 7, 0.1), response, port=free_port)
    assert answer == Changed((Item("p/a", "v", 8),), ("p/b",), 9)
    assert calls[0].target == "/-/kv-watch?prefix=p%2F&after=7&wait_ms=100"


def test_the_last_event_of_a_key_in_a_watch_holds(free_port):
    """Guards against a place that stays evacuated or never is."""
    gone = {"key": "p/gone", "revision": 9, "is_deleted": True}
    was_gone = {"key": "p/back", "revision": 8, "is_deleted": True}
    events = [item("p/gone", 8), was_gone, gone, item("p/back", 10)]
    response = body(events=events, as_of=10)
    answer, _ = execute(Watch("p/", 7, 0.1), response, port=free_port)
    assert answer == Changed((Item("p/back", "v", 10, 0),), ("p/gone",), 10)


def test_watch_reports_compacted_history(free_port):
    answer, _ = execute(Watch("p/", 7, 0.1), body(410), port=free_port)
    assert answer == HistoryGone()


def test_put_sends_expected_revision_and_lease(free_port):
    put = Put("a", "v", 4, 77)
    answer, calls = execute(put, body(revision=5), port=free_port)
    assert answer == Written(5)
    assert json.loads(calls[0].body) == {
        "expected_revision": [{"key": "a", "revision": 4}],
        "set_keys": [{"key": "a", "value": "dg==", "lease": 77}],
        "remove": [],
    }


def test_compare_sends_a_condition_and_writes_nothing(free_port):
    compare = Compare("a", 4)
    answer, calls = execute(compare, body(revision=9), port=free_port)
    assert answer == Changed((), (), 9)
    assert json.loads(calls[0].body) == {
        "expected_revision": [{"key": "a", "revision": 4}],
        "set_keys": [],
        "remove": [],
    }


@pytest.mark.parametrize(
    ("items", "found"),
    [
        ([item("a", 9)], Found((Item("a", "v", 9),), 9)),
        ([], Found((), 0)),
        ([{"key": "a", "revision": 0}], Found((), 0)),
    ],
)
def test_compare_of_a_changed_key_returns_its_item(free_port, items, found):
    response = body(412, items=items)
    answer, _ = execute(Compare("a", 4), response, port=free_port)
    assert answer == found


def test_delete_sends_expected_revision(free_port):
    answer, calls = execute(Delete("a", 4), body(revision=5), port=free_port)
    assert answer == Written(5)
    assert json.loads(calls[0].body)["remove"] == ["a"]


@pytest.mark.parametrize(("items", "actual"), [([item("a", 9)], 9), ([], 0)])
def test_put_conflict_returns_actual_revision(free_port, items, actual):
    response = body(412, items=items)
    answer, _ = execute(Put("a", "v", 4), response, port=free_port)
    assert answer == Conflict(actual)


def test_put_under_expired_lease_returns_lease_lapsed(free_port):
    answer, _ = execute(Put("a", "v", 4, 77), body(404), port=free_port)
    assert answer == LeaseLapsed(77)


def test_lease_is_granted_and_renewed(free_port):
    response = body(lease=77, ttl_ms=3_000)
    answer, _ = execute(LeaseGrant(2.0), response, port=free_port)
    assert answer == Leased(77, 3.0)
    answer, calls = execute(LeaseKeep(77), body(ttl_ms=3_000), port=free_port)
    assert answer == Leased(77, 3.0)
    assert calls[0].target == "/-/kv-keep/77"


@pytest.mark.parametrize("op", [Get("a"), List("a"), Put("a", "v", 0)])
@pytest.mark.parametrize("status", [429, 503])
def test_error_status_returns_unavailable(free_port, op, status):
    answer, _ = execute(op, body(status), port=free_port)
    assert answer == Unavailable(f"status {status}")


@pytest.mark.parametrize("text", [b"", b"{", b"[]", b'{"items":5}'])
def test_undecodable_response_returns_unavailable(free_port, text):
    answer, _ = execute(List("a"), Response(200, text), port=free_port)
    assert isinstance(answer, Unavailable)


def test_call_without_response_times_out(free_port):
    answer, _ = execute(Put("a", "v", 0), port=free_port)
    assert isinstance(answer, Unavailable)


def test_refused_connection_returns_unavailable(free_port):
    store = PlatformStore(f"127.0.0.1:{free_port}", 0.2)
    assert isinstance(asyncio.run(store.execute(Get("a"))), Unavailable)

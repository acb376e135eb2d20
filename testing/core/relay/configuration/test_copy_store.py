"""Writes of the copied configuration that fail or meet others."""

import random

import pytest

from medlar_core.effects import CallStore
from medlar_core.events import StoreAnswered
from medlar_core.relay.access import new_access
from medlar_core.relay.configuration.compact import encode_copy
from medlar_core.relay.configuration.compact import RoutesCopy
from medlar_core.relay.configuration.copy_store import CopyStore
from medlar_core.relay.store_watcher import Change
from medlar_core.relay.store_watcher import Snapshot
from medlar_core.store import Item
from medlar_core.store import Put
from medlar_core.store import Unavailable
from medlar_core.store import Written
from medlar_core.storeaccess.access import Part

from ..kit import COPY
from ..kit import DESK
from ..kit import table


@pytest.fixture
def access():
    return new_access(random.Random(1))


@pytest.fixture
def copy_store(access):
    return CopyStore(access, COPY)


def copy(version):
    return RoutesCopy(version, table(version, DESK))


def stored(version, revision):
    return Item(COPY, encode_copy(copy(version)), revision)


def next_write(access, copy_store, now) -> CallStore:
    copy_store.due(now, 0)
    (call,) = access.due(now)
    return call


def test_an_outage_of_the_store_queues_one_write_at_most(access, copy_store):
    for _ in range(2):
        call = access.submit(0.0, Part.MEMBERS, Put("x", "", 0), 0.0)
        access.due(0.0)
        answer = StoreAnswered(call, Unavailable("gone"))
        access.take(0.0, Part.MEMBERS, answer)
    assert access.failing
    copy_store.update(Snapshot(()))
    copy_store.want(0.0, copy(5))
    submitted = []
    submit = access.submit

    def count(now, part, op, spread_s):
        submitted.append(op)
        return submit(now, part, op, spread_s)

    access.submit = count
    for step in range(600):
        copy_store.due(step / 10, 0)
    assert len(submitted) == 1


@pytest.mark.parametrize(
    "gone", [Change((), (COPY,)), Snapshot(())], ids=["watched", "listed"]
)
def test_a_deleted_copy_is_written_as_a_new_key(access, copy_store, gone):
    copy_store.update(Snapshot((stored(5, 50),)))
    copy_store.update(gone)
    copy_store.want(0.0, copy(6))
    assert next_write(access, copy_store, 0.0).op.expected == 0


def test_a_late_answer_to_a_write_does_not_hide_a_newer_copy(
    access, copy_store
):
    copy_store.update(Snapshot(()))
    copy_store.want(0.0, copy(5))
    call = next_write(access, copy_store, 0.0)
    copy_store.update(Change((stored(6, 61),), ()))
    copy_store.handle_answer(0.5, StoreAnswered(call.call, Written(60)))
    copy_store.want(1.0, copy(7))
    assert next_write(access, copy_store, 1.0).op.expected == 61


def test_a_store_that_refuses_the_copy_is_tried_ever_less_often(
    access, copy_store
):
    copy_store.update(Snapshot(()))
    copy_store.want(0.0, copy(5))
    tried_at = []
    for step in range(6_000):
        now = step / 10
        copy_store.due(now, 0)
        for call in access.due(now):
            tried_at.append(now)
            answer = StoreAnswered(call.call, Unavailable("status 413"))
            copy_store.handle_answer(now, answer)
    assert len(tried_at) <= 16

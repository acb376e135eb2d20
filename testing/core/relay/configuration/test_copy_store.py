"""Writes of the copied configuration that fail or meet others."""

import random

import pytest

from medlar_core.events import StoreAnswered
from medlar_core.relay.access import new_access
from medlar_core.relay.configuration.compact import RoutesCopy
from medlar_core.relay.configuration.copy_store import CopyStore
from medlar_core.relay.store_watcher import Snapshot
from medlar_core.store import Put
from medlar_core.store import Unavailable
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

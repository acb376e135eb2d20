import random

import pytest

from medlar_core.flows.directory import Directory
from medlar_core.flows.limits import DIRECTORY_LIFETIME_S
from medlar_core.ids import FlowKey
from medlar_core.ids import NodeId
from medlar_core.ids import Seconds

NOW = Seconds(0.0)
ONE = NodeId("10.0.0.1:1")
TWO = NodeId("10.0.0.2:1")
KEY = FlowKey(0xFEDCBA9876543210)


@pytest.mark.parametrize("merges", [False, True])
def test_latest_location_wins(merges: bool) -> None:
    directory = Directory()
    directory.put(NOW, KEY, ONE)
    if merges:
        directory.merge(NOW)
    directory.put(NOW, KEY, TWO)
    if merges:
        directory.merge(NOW)
    assert directory.get(KEY) == TWO
    assert len(directory) == 1


@pytest.mark.parametrize("merges", [False, True])
def test_removal_by_an_earlier_holder_changes_nothing(merges: bool) -> None:
    directory = Directory()
    directory.put(NOW, KEY, TWO)
    if merges:
        directory.merge(NOW)
    directory.remove(KEY, ONE)
    assert directory.get(KEY) == TWO
    directory.remove(KEY, TWO)
    assert directory.get(KEY) is None


def test_keeps_every_location_over_many_merges() -> None:
    rng = random.Random(1)
    keys = [FlowKey(rng.getrandbits(64)) for _ in range(3000)]
    directory = Directory()
    for number, key in enumerate(keys):
        directory.put(NOW, key, (ONE, TWO)[number % 2])
    assert all(
        directory.get(key) == (ONE, TWO)[number % 2]
        for number, key in enumerate(keys)
    )


def test_location_that_is_not_announced_again_expires() -> None:
    directory = Directory()
    directory.put(NOW, KEY, ONE)
    directory.merge(NOW)
    directory.merge(Seconds(DIRECTORY_LIFETIME_S + 120.0))
    assert directory.get(KEY) is None

import random

from medlar_core.config.bootstrap import Bootstrap
from medlar_core.config.bootstrap import Choice
from medlar_core.config.messages import Have
from medlar_core.ids import NodeId
from medlar_core.ids import Seconds
from medlar_core.ids import Version

PEERS = tuple(NodeId(f"10.1.0.{number}:7") for number in range(5))


def choose(seed: int, versions: tuple[int, ...]) -> Choice:
    bootstrap = Bootstrap(random.Random(seed))
    bootstrap.due(Seconds(0.0))
    for peer, version in zip(PEERS, versions, strict=True):
        bootstrap.add_response(peer, Have(Version(version), b"root"))
    choice = bootstrap.choice(Seconds(10.0))
    assert choice is not None
    return choice


def test_processes_that_start_together_choose_different_holders() -> None:
    chosen = {choose(seed, (1, 1, 1, 1, 1)).peer for seed in range(50)}
    assert chosen == set(PEERS)


def test_only_holders_of_the_newest_version_are_chosen() -> None:
    chosen = {choose(seed, (1, 3, 2, 3, 0)).peer for seed in range(50)}
    assert chosen == {PEERS[1], PEERS[3]}

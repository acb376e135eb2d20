"""Reading accepted versions out of the store."""

from typing import TypeVar

import msgspec

from medlar_core.config.history import History
from medlar_core.config.history import read_history
from medlar_core.config.problem import Problem
from medlar_core.config.records import load_tree
from medlar_core.config.records import StoreUnavailable
from medlar_core.config.shards import EMPTY_TREE
from medlar_core.config.shards import Tree
from medlar_core.ids import Version

from .documents import run_reading
from .store_client import StoreClient

T = TypeVar("T")


class Refused(Exception):
    """The store holds something that is not taken, or not what is asked."""


class NoAnswer(Exception):
    """The store did not answer."""


class Accepted(msgspec.Struct, frozen=True):
    """An accepted version and its document."""

    version: Version
    tree: Tree


async def history(store: StoreClient) -> History:
    """Return the accepted changes that the store remembers.

    :raises NoAnswer: if the store does not answer.
    :raises Refused: if its head is damaged.
    """
    return _taken(await run_reading(store, read_history()))


async def accepted(
    store: StoreClient, version: Version | None = None
) -> Accepted:
    """Return a version, or the newest one; 0 is the empty document.

    :raises NoAnswer: if the store does not answer.
    :raises Refused: if the version is not known or damaged.
    """
    known = await history(store)
    wanted = known.head.version if version is None else version
    root = known.root_at(wanted)
    if root is None:
        raise Refused(
            f"version: got {wanted}; the store knows {known.versions}"
        )
    if not root:
        return Accepted(wanted, EMPTY_TREE)
    tree = _taken(await run_reading(store, load_tree(root, None)))
    return Accepted(wanted, tree)


def _taken(found: T | Problem | StoreUnavailable) -> T:
    match found:
        case Problem():
            raise Refused(f"the store: {found.text}")
        case StoreUnavailable(why=why):
            raise NoAnswer(f"the store did not answer: {why}")
    return found

"""Reads accepted configuration versions from the store."""

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


class RequestRefused(Exception):
    """The requested version is unknown, or the store's data is damaged."""


class StoreNotAnswering(Exception):
    """The store did not answer a call."""


class AcceptedVersion(msgspec.Struct, frozen=True):
    """An accepted version and its configuration."""

    version: Version
    tree: Tree


async def history(store: StoreClient) -> History:
    """Return the accepted changes in the store's history.

    :raises StoreNotAnswering: if the store does not answer.
    :raises RequestRefused: if its head is damaged.
    """
    return _unwrap(await run_reading(store, read_history()))


async def accepted(
    store: StoreClient, version: Version | None = None
) -> AcceptedVersion:
    """Return a version, by default the newest; 0 is the empty document.

    :raises StoreNotAnswering: if the store does not answer.
    :raises RequestRefused: if the version is unknown or damaged.
    """
    known = await history(store)
    wanted = known.head.version if version is None else version
    root = known.root_at(wanted)
    if root is None:
        raise RequestRefused(
            f"version: got {wanted}; the store has versions {known.versions}"
        )
    if not root:
        return AcceptedVersion(wanted, EMPTY_TREE)
    tree = _unwrap(await run_reading(store, load_tree(root, None)))
    return AcceptedVersion(wanted, tree)


def _unwrap(found: T | Problem | StoreUnavailable) -> T:
    match found:
        case Problem():
            raise RequestRefused(f"the store: {found.text}")
        case StoreUnavailable(why=why):
            raise StoreNotAnswering(f"the store did not answer: {why}")
    return found

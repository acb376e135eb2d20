"""The ``diff`` command."""

import asyncio

import msgspec

from medlar_core.config.merge import differences
from medlar_core.config.merge import FieldConflict
from medlar_core.config.model import Configuration
from medlar_core.config.shards import build_tree
from medlar_core.ids import Version

from ..current import Accepted
from ..current import accepted
from ..documents import read_document
from ..output import Exit
from ..output import say
from ..output import show_json
from ..output import table
from ..settings import read_store
from ..store_client import store_client
from .check import show_problems


class Difference(msgspec.Struct, frozen=True):
    """A field that a document would change."""

    field: str
    now: str
    then: str


class Compared(msgspec.Struct, frozen=True):
    """The version compared with, and what the document changes."""

    version: Version
    differences: tuple[Difference, ...]


def diff(
    path: str,
    *,
    base: int | None = None,
    store: str = "",
    json: bool = False,
) -> Exit:
    """Show what a document would change; nothing is changed.

    The version printed is what ``apply`` takes as its base.

    :param path: file with the document, - for standard input.
    :param base: version to compare with; the newest if left out.
    :param store: ip:port of the store, or MEDLARSTAGE_STORE.
    :param json: print the differences as JSON.
    """
    address = read_store(store)
    cfg = read_document(path)
    if not isinstance(cfg, Configuration):
        show_problems(cfg)
        return Exit.REFUSED
    held = asyncio.run(_held(address, base))
    found = [_difference(x) for x in differences(held.tree, build_tree(cfg))]
    if json:
        show_json(Compared(held.version, tuple(found)))
        return Exit.OK
    say(f"{len(found)} differences from version {held.version}")
    if found:
        rows = [(x.field, x.now, x.then) for x in found]
        say(table(("field", "now", "then"), rows))
    return Exit.OK


async def _held(address: str, base: int | None) -> Accepted:
    wanted = None if base is None else Version(base)
    async with store_client(address) as store:
        return await accepted(store, wanted)


def _difference(found: FieldConflict) -> Difference:
    return Difference(found.path, now=found.theirs, then=found.mine)

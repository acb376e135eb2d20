"""The ``diff`` command."""

import asyncio

import msgspec

from medlar_core.config.merge import differences
from medlar_core.config.merge import FieldConflict
from medlar_core.config.model import Configuration
from medlar_core.config.shards import build_tree
from medlar_core.ids import Version

from ..accepted_versions import accepted
from ..accepted_versions import AcceptedVersion
from ..documents import read_document
from ..output import Exit
from ..output import print_json
from ..output import print_text
from ..output import table
from ..settings import read_store
from ..store_client import store_client
from .check import show_problems


class Difference(msgspec.Struct, frozen=True):
    """A field that a document would change."""

    field: str
    now: str
    then: str


class DiffResult(msgspec.Struct, frozen=True):
    """The base version and the differences of the document from it."""

    version: Version
    differences: tuple[Difference, ...]


def diff(
    path: str,
    *,
    base: int | None = None,
    store: str = "",
    json: bool = False,
) -> Exit:
    """Show what a document would change, without changing anything.

    Pass the printed version to ``apply`` as its base.

    :param path: file with the document, - for standard input.
    :param base: version to compare with; by default the newest.
    :param store: ip:port of the store, or MEDLARSTAGE_STORE.
    :param json: print the differences as JSON.
    """
    address = read_store(store)
    cfg = read_document(path)
    if not isinstance(cfg, Configuration):
        show_problems(cfg)
        return Exit.REFUSED
    base_version = asyncio.run(_read_base(address, base))
    found = [
        _difference(x) for x in differences(base_version.tree, build_tree(cfg))
    ]
    if json:
        print_json(DiffResult(base_version.version, tuple(found)))
        return Exit.OK
    print_text(f"{len(found)} differences from version {base_version.version}")
    if found:
        rows = [(x.field, x.now, x.then) for x in found]
        print_text(table(("field", "now", "then"), rows))
    return Exit.OK


async def _read_base(address: str, base: int | None) -> AcceptedVersion:
    wanted = None if base is None else Version(base)
    async with store_client(address) as store:
        return await accepted(store, wanted)


def _difference(found: FieldConflict) -> Difference:
    return Difference(found.path, now=found.theirs, then=found.mine)

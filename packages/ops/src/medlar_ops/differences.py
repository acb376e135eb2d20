"""What a document would change in an accepted version."""

import asyncio

import msgspec

from medlar_core.config.merge import differences
from medlar_core.config.merge import FieldConflict
from medlar_core.config.model import Configuration
from medlar_core.config.shards import build_tree
from medlar_core.ids import Version

from .accepted_versions import accepted
from .accepted_versions import AcceptedVersion
from .output import print_text
from .output import table
from .store_client import store_client


class Difference(msgspec.Struct, frozen=True):
    """A field that a document would change."""

    field: str
    now: str
    then: str


class DiffResult(msgspec.Struct, frozen=True):
    """The base version and the differences of the document from it."""

    version: Version
    differences: tuple[Difference, ...]


def read_differences(
    address: str, cfg: Configuration, base: int | None = None
) -> DiffResult:
    """Compare a document with an accepted version, by default the newest.

    :raises StoreNotAnswering: if the store at ``address`` gives no answer.
    """
    accepted_version = asyncio.run(_read_base(address, base))
    found = differences(accepted_version.tree, build_tree(cfg))
    return DiffResult(
        accepted_version.version, tuple(_difference(x) for x in found)
    )


def show_differences(found: DiffResult) -> None:
    """Print differences as a table."""
    print_text(
        f"{len(found.differences)} differences from version {found.version}"
    )
    if found.differences:
        rows = [(x.field, x.now, x.then) for x in found.differences]
        print_text(table(("field", "now", "then"), rows))


async def _read_base(address: str, base: int | None) -> AcceptedVersion:
    wanted = None if base is None else Version(base)
    async with store_client(address) as store:
        return await accepted(store, wanted)


def _difference(found: FieldConflict) -> Difference:
    return Difference(found.path, now=found.theirs, then=found.mine)

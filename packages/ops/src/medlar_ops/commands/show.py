"""The ``show`` command."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

from medlar_core.config.codec import encode
from medlar_core.config.records import ChangeRecord
from medlar_core.ids import ChangeId
from medlar_core.ids import Version

from ..accepted_versions import accepted
from ..accepted_versions import history as read_history
from ..accepted_versions import RequestRefused
from ..output import Exit
from ..output import print_json
from ..output import print_text
from ..output import table
from ..output import warn
from ..settings import read_store
from ..store_client import store_client
from ..store_client import StoreClient

T = TypeVar("T")


def show(
    *,
    version: int | None = None,
    change: str = "",
    history: bool = False,
    store: str = "",
    json: bool = False,
) -> Exit:
    """Print the accepted document, one change, or all changes.

    Ends with 1 if the version or change is not known.

    :param version: version of the document; by default the newest.
    :param change: show the accepted change with this id.
    :param history: list the accepted changes in the store's history.
    :param store: ip:port of the store, or MEDLARSTAGE_STORE.
    :param json: print changes as JSON; the document is JSON anyway.
    """
    address = read_store(store)
    if change:
        return _show_change(address, ChangeId(change), json)
    if history:
        known = _query(address, read_history)
        _show_changes(known.changes, json)
        return Exit.OK
    wanted = None if version is None else Version(version)
    found = _query(address, lambda client: accepted(client, wanted))
    warn(f"version {found.version}")
    print_text(encode(found.tree.cfg))
    return Exit.OK


def _show_change(address: str, change: ChangeId, json: bool) -> Exit:
    known = _query(address, read_history)
    record = known.find_change(change)
    if record is None:
        raise RequestRefused(
            f"change {change} is not among the accepted changes;"
            f" the store has versions {known.versions}"
        )
    _show_changes((record,), json)
    return Exit.OK


def _show_changes(changes: tuple[ChangeRecord, ...], json: bool) -> None:
    if json:
        print_json(changes)
        return
    rows = [(x.version, x.change, x.by, ", ".join(x.touched)) for x in changes]
    print_text(table(("version", "change", "by", "touched"), rows))


def _query(address: str, query: Callable[[StoreClient], Awaitable[T]]) -> T:
    async def run() -> T:
        async with store_client(address) as store:
            return await query(store)

    return asyncio.run(run())

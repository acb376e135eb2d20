"""The ``show`` command."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

from medlar_core.config.codec import encode
from medlar_core.config.records import ChangeRecord
from medlar_core.ids import ChangeId
from medlar_core.ids import Version

from ..current import accepted
from ..current import history as read_history
from ..current import Refused
from ..output import Exit
from ..output import say
from ..output import show_json
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

    :param version: version of the document; the newest if left out.
    :param change: tell what became of the change of this id.
    :param history: list the accepted changes that the store remembers.
    :param store: ip:port of the store, or MEDLARSTAGE_STORE.
    :param json: print changes as JSON; the document is JSON anyway.
    """
    address = read_store(store)
    if change:
        return _show_change(address, ChangeId(change), json)
    if history:
        known = _ask(address, read_history)
        _show_changes(known.changes, json)
        return Exit.OK
    wanted = None if version is None else Version(version)
    held = _ask(address, lambda client: accepted(client, wanted))
    warn(f"version {held.version}")
    say(encode(held.tree.cfg))
    return Exit.OK


def _show_change(address: str, change: ChangeId, json: bool) -> Exit:
    known = _ask(address, read_history)
    record = known.find_change(change)
    if record is None:
        raise Refused(
            f"change {change} is not accepted;"
            f" the store knows versions {known.versions}"
        )
    _show_changes((record,), json)
    return Exit.OK


def _show_changes(changes: tuple[ChangeRecord, ...], json: bool) -> None:
    if json:
        show_json(changes)
        return
    rows = [(x.version, x.change, x.by, ", ".join(x.touched)) for x in changes]
    say(table(("version", "change", "by", "touched"), rows))


def _ask(address: str, ask: Callable[[StoreClient], Awaitable[T]]) -> T:
    async def run() -> T:
        async with store_client(address) as store:
            return await ask(store)

    return asyncio.run(run())

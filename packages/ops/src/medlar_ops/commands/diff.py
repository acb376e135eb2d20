"""The ``diff`` command."""

from medlar_core.config.model import Configuration

from ..differences import read_differences
from ..differences import show_differences
from ..documents import read_document
from ..output import Exit
from ..output import print_json
from ..settings import read_store
from .check import show_problems


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
    found = read_differences(address, cfg, base)
    if json:
        print_json(found)
    else:
        show_differences(found)
    return Exit.OK

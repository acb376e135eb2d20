"""The ``check`` command."""

import msgspec

from medlar_core.config.model import Configuration
from medlar_core.config.problem import Problem
from medlar_core.config.warnings import find_warnings

from ..differences import DiffResult
from ..differences import read_differences
from ..differences import show_differences
from ..documents import read_document
from ..output import Exit
from ..output import print_json
from ..output import print_text
from ..output import table
from ..settings import read_store


class CheckResult(msgspec.Struct, frozen=True):
    """Whether a document is valid, and each problem with its field.

    ``warnings`` are entries without effect and limits that contradict each
    other; ``in_force`` is how the document differs from the newest accepted
    version, if that was asked for.
    """

    ok: bool
    problems: tuple[Problem, ...] = ()
    warnings: tuple[Problem, ...] = ()
    in_force: DiffResult | None = None


def check(
    path: str,
    *,
    against_store: bool = False,
    store: str = "",
    json: bool = False,
) -> Exit:
    """Check a document without changing anything.

    Ends with 0 if it is good, with 1 if it has faults, and with 4 if it is
    valid but has entries that can never match or limits that contradict
    each other. Asks the store only with ``--against-store``.

    :param path: file with the document, - for standard input.
    :param against_store: show how it differs from the version in force.
    :param store: ip:port of the store, or MEDLARSTAGE_STORE.
    :param json: print the result as JSON.
    """
    address = read_store(store) if against_store else ""
    found = read_document(path)
    if not isinstance(found, Configuration):
        result = CheckResult(False, found)
    else:
        in_force = read_differences(address, found) if address else None
        result = CheckResult(True, (), find_warnings(found), in_force)
    if json:
        print_json(result)
    else:
        _show(found, result)
    if not result.ok:
        return Exit.REFUSED
    return Exit.WARNED if result.warnings else Exit.OK


def _show(
    found: Configuration | tuple[Problem, ...], result: CheckResult
) -> None:
    if isinstance(found, Configuration):
        print_text(summary(found, len(result.warnings)))
    show_problems((*result.problems, *result.warnings))
    if result.in_force is not None:
        show_differences(result.in_force)


def summary(cfg: Configuration, warnings: int = 0) -> str:
    """Summarize a valid document in one line."""
    addresses = sum(len(service.addresses) for service in cfg.services)
    verdict = f"valid, {warnings} warnings" if warnings else "good"
    return (
        f"{verdict}: {len(cfg.services)} services at {addresses} addresses"
        f" in {len(cfg.places)} places"
    )


def show_problems(problems: tuple[Problem, ...]) -> None:
    """Print problems as a table; nothing if there are none."""
    if not problems:
        return
    rows = [(p.path, p.got, p.expected, p.advice) for p in problems]
    print_text(table(("field", "got", "expected", "advice"), rows))

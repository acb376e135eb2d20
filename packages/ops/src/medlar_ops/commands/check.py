"""The ``check`` command."""

import msgspec

from medlar_core.config.model import Configuration
from medlar_core.config.problem import Problem

from ..documents import read_document
from ..output import Exit
from ..output import print_json
from ..output import print_text
from ..output import table


class CheckResult(msgspec.Struct, frozen=True):
    """Whether a document is valid, and each problem with its field."""

    ok: bool
    problems: tuple[Problem, ...] = ()


def check(path: str, *, json: bool = False) -> Exit:
    """Check a document without changing anything.

    Ends with 0 if it is good and with 1 if it has faults.

    :param path: file with the document, - for standard input.
    :param json: print the result as JSON.
    """
    found = read_document(path)
    if not isinstance(found, Configuration):
        if json:
            print_json(CheckResult(False, found))
        else:
            show_problems(found)
        return Exit.REFUSED
    if json:
        print_json(CheckResult(True))
    else:
        print_text(summary(found))
    return Exit.OK


def summary(cfg: Configuration) -> str:
    """Summarize a document in one line."""
    addresses = sum(len(service.addresses) for service in cfg.services)
    return (
        f"good: {len(cfg.services)} services at {addresses} addresses"
        f" in {len(cfg.places)} places"
    )


def show_problems(problems: tuple[Problem, ...]) -> None:
    """Print problems as a table."""
    rows = [(p.path, p.got, p.expected, p.advice) for p in problems]
    print_text(table(("field", "got", "expected", "advice"), rows))

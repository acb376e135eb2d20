"""The ``check`` command."""

import msgspec

from medlar_core.config.model import Configuration
from medlar_core.config.problem import Problem

from ..documents import read_document
from ..output import Exit
from ..output import say
from ..output import show_json
from ..output import table


class Checked(msgspec.Struct, frozen=True):
    """Whether a document is good, and each fault by its field."""

    ok: bool
    problems: tuple[Problem, ...] = ()


def check(path: str, *, json: bool = False) -> Exit:
    """Check a document; nothing is changed.

    Ends with 0 if it is good and with 1 if it has faults.

    :param path: file with the document, - for standard input.
    :param json: print the result as JSON.
    """
    found = read_document(path)
    if not isinstance(found, Configuration):
        if json:
            show_json(Checked(False, found))
        else:
            show_problems(found)
        return Exit.REFUSED
    if json:
        show_json(Checked(True))
    else:
        say(summary(found))
    return Exit.OK


def summary(cfg: Configuration) -> str:
    """Return one line on what a document declares."""
    addresses = sum(len(service.addresses) for service in cfg.services)
    return (
        f"good: {len(cfg.services)} services at {addresses} addresses"
        f" in {len(cfg.places)} places"
    )


def show_problems(problems: tuple[Problem, ...]) -> None:
    """Print faults as a table."""
    rows = [(p.path, p.got, p.expected, p.advice) for p in problems]
    say(table(("field", "got", "expected", "advice"), rows))

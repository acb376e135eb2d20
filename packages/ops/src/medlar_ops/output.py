"""What medlarctl prints, and with which code it ends."""

from collections.abc import Iterable
from collections.abc import Sequence
import enum
import sys
from typing import Any

import msgspec


class Exit(enum.IntEnum):
    """Exit codes of medlarctl."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3


def say(text: str) -> None:
    """Print a line for people."""
    print(text)


def warn(text: str) -> None:
    """Print a line beside the output."""
    print(f"medlarctl: {text}", file=sys.stderr)


def show_json(value: Any) -> None:
    """Print a value as JSON for programs."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    print(text.decode())


def table(heads: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return rows as columns of text under their heads."""
    lines = [list(heads), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(heads))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )

"""Output and exit codes of medlarctl."""

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
    WARNED = 4


def print_text(text: str) -> None:
    """Print text to standard output."""
    print(text)


def warn(text: str) -> None:
    """Print a message to standard error."""
    print(f"medlarctl: {text}", file=sys.stderr)


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    print(text.decode())


def table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Format rows as aligned columns with a header line."""
    lines = [list(headers), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(headers))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )

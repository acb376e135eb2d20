"""Judges rows, prints the table and writes the results as JSON."""

from collections.abc import Iterable
from collections.abc import Sequence
import enum
import pathlib

import msgspec

from .known import KnownRed
from .rows import Row
from .rows import Size
from .run import Outcome
from .targets import differs
from .targets import target_of
from .targets import TARGETS

JSON_FILE = pathlib.Path("build/bench.json")
HEAD = ("row", "value", "unit", "bound", "baseline", "result")


class Result(enum.Enum):
    """What became of a row."""

    HOLDS = "holds"
    RED = "RED"
    KNOWN_RED = "known red"
    BACK = "holds again: take it off KNOWN-RED.txt"
    MOVED = "RED: bound differs from the target"
    MISSING = "missing"
    ERROR = "ERROR"

    @property
    def passed(self) -> bool:
        """Whether the row holds."""
        return self in (Result.HOLDS, Result.BACK)


class Line(msgspec.Struct, frozen=True):
    """One line of the table; ``row`` is None where nothing was measured."""

    name: str
    result: Result
    row: Row | None = None


class Report(msgspec.Struct, frozen=True):
    """All lines of a run and the errors that measurements ended with."""

    lines: tuple[Line, ...]
    errors: tuple[str, ...]
    size: Size

    def count(self, *results: Result) -> int:
        """Return how many lines have one of the results."""
        return sum(line.result in results for line in self.lines)

    @property
    def failed(self) -> bool:
        """Whether the run as a whole has failed.

        A full run fails on any row that does not hold or is missing; a
        fast one passes over known failures and rows that it leaves out.
        """
        excused = {Result.KNOWN_RED, Result.MISSING}
        if self.size is Size.FULL:
            excused = set()
        return any(
            not line.result.passed and line.result not in excused
            for line in self.lines
        )


def judge(
    outcomes: Sequence[Outcome],
    known: Iterable[KnownRed],
    prefix: str,
    size: Size,
) -> Report:
    """Judge all rows under a prefix against their stated targets."""
    listed = {entry.name for entry in known}
    rows = {row.name: row for out in outcomes for row in out.rows}
    ended = {name for out in outcomes if out.error for name in out.names}
    stated = [target.name for target in TARGETS]
    own = [name for name in [*rows, *sorted(ended)] if name not in stated]
    names = dict.fromkeys([*stated, *own])
    lines = [
        _line(name, rows.get(name), name in ended, name in listed)
        for name in names
        if name.startswith(prefix)
    ]
    errors = tuple(out.error for out in outcomes if out.error)
    return Report(tuple(lines), errors, size)


def _line(name: str, row: Row | None, ended: bool, listed: bool) -> Line:
    if row is None:
        return Line(name, Result.ERROR if ended else Result.MISSING)
    if differs(row):
        return Line(name, Result.MOVED, row)
    if row.holds:
        return Line(name, Result.BACK if listed else Result.HOLDS, row)
    return Line(name, Result.KNOWN_RED if listed else Result.RED, row)


def table(report: Report) -> str:
    """Return the lines as a table of plain text."""
    cells = [HEAD, *(_cells(line) for line in report.lines)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(HEAD))]
    return "\n".join(
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True))
        for row in cells
    )


def summary(report: Report) -> str:
    """Return the last line: how many rows passed, failed and so on."""
    passed = report.count(Result.HOLDS, Result.BACK)
    failed = report.count(Result.RED, Result.MOVED, Result.ERROR)
    red = report.count(Result.KNOWN_RED)
    missing = report.count(Result.MISSING)
    return (
        f"bench: {passed} passed, {failed} failed, "
        f"{red} known red, {missing} missing"
    )


def write_json(
    report: Report, path: pathlib.Path = JSON_FILE, partial: bool = False
) -> None:
    """Write the measured rows as a JSON list of objects.

    Rows of a run that has not ended are marked as partial.
    """
    mark = True if partial else msgspec.UNSET
    rows = [
        _plain(line, mark) for line in report.lines if line.row is not None
    ]
    path.parent.mkdir(parents=True, exist_ok=True)
    text = msgspec.json.format(msgspec.json.encode(rows), indent=1)
    path.write_bytes(text + b"\n")


class _Plain(msgspec.Struct, frozen=True):
    """A row in the form that the users' tools read."""

    name: str
    value: float
    unit: str
    bound: float
    sense: str
    baseline: float | None
    seed: int
    holds: bool
    partial: bool | msgspec.UnsetType = msgspec.UNSET


def _plain(line: Line, partial: bool | msgspec.UnsetType) -> _Plain:
    row = line.row
    assert row is not None
    return _Plain(
        name=row.name,
        value=row.value,
        unit=row.unit,
        bound=row.bound,
        sense=row.sense.value,
        baseline=row.baseline,
        seed=row.seed,
        holds=line.result.passed,
        partial=partial,
    )


def _cells(line: Line) -> tuple[str, ...]:
    target = target_of(line.name)
    if line.row is None:
        bound = f"{target.sense.value} {target.bound:g}" if target else ""
        unit = target.unit if target else ""
        return (line.name, "-", unit, bound, "-", line.result.value)
    row = line.row
    base = "-"
    if row.baseline is not None:
        base = f"{row.baseline:.4g} {row.baseline_name}".strip()
    own = "" if target else " (own row)"
    return (
        row.name,
        f"{row.value:.4g}",
        row.unit,
        f"{row.sense.value} {row.bound:g}",
        base,
        line.result.value + own,
    )

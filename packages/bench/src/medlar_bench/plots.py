"""Draws the measured rows beside their bounds and baselines."""

from collections.abc import Iterator
import contextlib
import importlib
import pathlib

import matplotlib
from matplotlib import axes
from matplotlib import figure
from matplotlib import pyplot

from .report import Line
from .report import Report
from .rows import Row

FOLDER = pathlib.Path("build/plots")
AREAS_WITH_PLOTS = ("flows", "requests", "members", "config", "timeline")
ROW_HEIGHT_IN = 0.4
WIDTH_IN = 8.0
LEAST_SHOWN = 1e-3
"""Zero has no place on a logarithmic axis; it is drawn here."""


def write(report: Report, folder: pathlib.Path = FOLDER) -> None:
    """Write one SVG of bars for each group of rows, and the areas' own."""
    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "medlarstage"
    folder.mkdir(parents=True, exist_ok=True)
    groups: dict[str, list[Row]] = {}
    for line in report.lines:
        if line.row is not None:
            groups.setdefault(_group(line), []).append(line.row)
    for group, rows in groups.items():
        _bars(rows, folder / f"{group}.svg")
    _write_areas(groups, folder)


def _group(line: Line) -> str:
    return line.name.partition(".")[0]


def _write_areas(groups: dict[str, list[Row]], folder: pathlib.Path) -> None:
    """Let each area that was measured write plots of its own."""
    for area in AREAS_WITH_PLOTS:
        name = f"{__package__}.{area}.plots"
        try:
            module = importlib.import_module(name)
        except ModuleNotFoundError:
            continue
        if area in groups:
            module.write(folder)


def _bars(rows: list[Row], path: pathlib.Path) -> None:
    """Draw value and baseline of each row as shares of its bound."""
    with _figure(len(rows)) as (drawing, area):
        for at, row in enumerate(rows):
            area.barh(at - 0.2, _scaled(row, row.value), 0.4, color="C0")
            if row.baseline is not None:
                share = _scaled(row, row.baseline)
                area.barh(at + 0.2, share, 0.4, color="C7")
        area.axvline(1.0, color="C3")
        area.set_xscale("log")
        area.set_yticks(range(len(rows)), [_label(row) for row in rows])
        area.invert_yaxis()
        area.set_xlabel("value (blue), baseline (grey) over bound (red)")
        drawing.savefig(path, format="svg", metadata={"Date": None})


@contextlib.contextmanager
def _figure(rows: int) -> Iterator[tuple[figure.Figure, axes.Axes]]:
    size = (WIDTH_IN, 1.0 + ROW_HEIGHT_IN * rows)
    drawing, area = pyplot.subplots(figsize=size, layout="constrained")
    try:
        yield drawing, area
    finally:
        pyplot.close(drawing)


def _scaled(row: Row, value: float) -> float:
    """Return a value over its bound; a bound of 0 counts as 1."""
    return max(value / (row.bound or 1.0), LEAST_SHOWN)


def _label(row: Row) -> str:
    return f"{row.name}\n{row.sense.value} {row.bound:g} {row.unit}"

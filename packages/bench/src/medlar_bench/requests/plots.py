"""Plots of the goodput of each kind before, during and after a flood."""

import pathlib

import matplotlib
import matplotlib.figure

from ..rows import Size
from .floods import FloodRun
from .floods import run
from .floods import WARM_S
from .keep import LENGTH_S
from .policies import FIFO
from .policies import Makers
from .policies import ours
from .workloads import Stream
from .workloads import Workload
from .workloads import WORKLOADS

SEED = 1
AFTER_S = 6.0
BIN_S = 0.5


def write(folder: pathlib.Path, size: Size = Size.FAST) -> list[pathlib.Path]:
    """Write one plot per workload and flood; return their paths."""
    matplotlib.use("Agg")
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for load in WORKLOADS:
        streams = load.of(load.services[0].name)
        for which, stream in (("least", streams[-1]), ("most", streams[0])):
            path = folder / f"flood-{which}-{load.name}.svg"
            draw(load, stream, LENGTH_S[size], path)
            paths.append(path)
    return paths


def draw(
    load: Workload, flooding: Stream, length_s: float, path: pathlib.Path
) -> None:
    """Plot the goodput of each kind during a flood, next to that of FIFO."""
    figure = matplotlib.figure.Figure(figsize=(9.0, 4.0))
    makers = (ours(), FIFO)
    panels = figure.subplots(1, len(makers), sharey=True)
    for panel, made in zip(panels, makers, strict=True):
        found = _run(load, flooding, length_s, made)
        for stream in load.of(flooding.service):
            times, rates = _goodput(found, stream, length_s)
            panel.plot(times, rates, label=stream.kind.name)
        panel.axvspan(WARM_S, WARM_S + length_s, alpha=0.1)
        panel.set_title(f"{made.name}: {flooding.kind.name} floods")
        panel.set_xlabel("time (s)")
    panels[0].set_ylabel("share of slots answered in time")
    panels[0].legend()
    figure.savefig(path)


def _run(
    load: Workload, flooding: Stream, length_s: float, made: Makers
) -> FloodRun:
    return run(
        load,
        SEED,
        made,
        flooding,
        length_s,
        AFTER_S,
        only=flooding.service,
    )


def _goodput(
    found: FloodRun, stream: Stream, length_s: float
) -> tuple[list[float], list[float]]:
    """Return times and the work answered in time as a share of the slots."""
    slots = found.load.count(stream.service) * found.load.services[0].slots
    times: list[float] = []
    shares: list[float] = []
    at = 0.0
    while at < WARM_S + length_s + AFTER_S:
        jobs = found.callers.within(at, at + BIN_S)
        done = sum(j.in_time for j in jobs if j.stream == stream)
        times.append(at)
        shares.append(done * stream.kind.mean_s / (slots * BIN_S))
        at += BIN_S
    return times, shares

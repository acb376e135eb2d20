"""Run the benchmark from the command line."""

import os
import sys

import defopt

from . import known
from . import plots
from . import report
from . import run
from .progress import Progress
from .rows import Size

MOST_JOBS = 4


def bench(
    *, rows: str = "", fast: bool = False, jobs: int = 0, draw: bool = True
) -> None:
    """Measure the rows of the benchmark and judge them by their bounds.

    :param rows: measure only rows whose name starts so.
    :param fast: small sizes, and only counts in virtual time.
    :param jobs: measurements that run at once; 0 chooses by the machine.
    :param draw: write plots to build/plots.
    """
    size = Size.FAST if fast else Size.FULL
    jobs = jobs or min(MOST_JOBS, os.cpu_count() or 1)
    print(f"needs {jobs} cores and no ports", flush=True)
    progress = Progress(rows, size)
    outcomes = run.measure_all(rows, size, jobs, progress.done)
    found = report.judge(outcomes, known.read(), rows, size)
    report.write_json(found)
    for error in found.errors:
        print(error)
    print(report.table(found))
    _print_known(found)
    if draw and not fast:
        plots.write(found)
    print(report.summary(found))
    sys.exit(1 if found.failed else 0)


def _print_known(found: report.Report) -> None:
    names = {line.name for line in found.lines}
    for entry in known.read():
        if entry.name in names:
            print(
                f"known red: {entry.name}: {entry.seen}; "
                f"{entry.command}; issue {entry.issue}"
            )


if __name__ == "__main__":
    defopt.run(bench)

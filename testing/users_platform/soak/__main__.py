"""Soak test of real relay processes under injected faults."""

import asyncio
from pathlib import Path
import sys
import tempfile
import time

import defopt
import msgspec

from .fleet import LARGE
from .fleet import SMALL
from .run import soak

BLOCK = 40
RUN_S = 24.0


def main(
    *,
    seed: int = 1,
    minutes: float = 0.4,
    runs: int = 0,
    block: int = BLOCK,
    keep: Path | None = None,
    large: bool = False,
) -> int:
    """Run consecutive seeds; print each run and its violations.

    :param seed: seed of the first run
    :param minutes: time during which new runs are started
    :param runs: number of runs, instead of minutes
    :param block: second byte of the loopback addresses
    :param keep: folder that receives the logs of failed runs
    :param large: play 30 processes instead of 9
    """
    deadline = time.monotonic() + 60.0 * minutes
    failed = 0
    completed = 0
    while (
        completed < runs
        if runs
        else time.monotonic() < deadline or not completed
    ):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            outcome = asyncio.run(
                soak(
                    seed + completed,
                    RUN_S,
                    block,
                    folder,
                    LARGE if large else SMALL,
                )
            )
            if outcome.violations and keep is not None:
                folder.rename(keep / f"soak-{outcome.seed}")
                folder.mkdir()
        completed += 1
        failed += bool(outcome.violations)
        print(
            f"seed {outcome.seed}: {outcome.served} of {outcome.requests} "
            f"served under {len(outcome.faults)} faults, "
            f"{len(outcome.violations)} guarantees violated",
            flush=True,
        )
        for violation in outcome.violations:
            print("  " + msgspec.json.encode(violation).decode(), flush=True)
    print(f"{completed} runs, {failed} with violations")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))

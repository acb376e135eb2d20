"""Soak the real programs under faults from outside."""

import asyncio
from pathlib import Path
import sys
import tempfile
import time

import defopt
import msgspec

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
) -> int:
    """Play runs with consecutive seeds; print each, and what it broke.

    :param seed: seed of the first run
    :param minutes: how long to go on beginning runs
    :param runs: number of runs, instead of minutes
    :param block: second byte of the loopback addresses
    :param keep: folder for logs of runs that broke a promise
    """
    until = time.monotonic() + 60.0 * minutes
    failed = 0
    played = 0
    while played < runs if runs else time.monotonic() < until or not played:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            outcome = asyncio.run(soak(seed + played, RUN_S, block, folder))
            if outcome.broken and keep is not None:
                folder.rename(keep / f"soak-{outcome.seed}")
                folder.mkdir()
        played += 1
        failed += bool(outcome.broken)
        print(
            f"seed {outcome.seed}: {outcome.served} of {outcome.requests} "
            f"served under {len(outcome.faults)} faults, "
            f"{len(outcome.broken)} promises broken",
            flush=True,
        )
        for found in outcome.broken:
            print("  " + msgspec.json.encode(found).decode(), flush=True)
    print(f"{played} runs, {failed} with a promise broken")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))

"""Run the demo: ``python -m medlar_standins.demo``."""

import asyncio
import pathlib
import secrets
import sys

import defopt
import msgspec

from medlar_core.config.model import Configuration

from .needs import check_ports
from .needs import needs
from .needs import PortsTaken
from .processes import fleet
from .report import details
from .report import lines
from .report import outcomes
from .report import table
from .scenario import Demo
from .scenario import NotReady

FOLDER = pathlib.Path("build/demo")
EXAMPLE = pathlib.Path("examples/authority.py")
LAST_LINES = 12


async def _demo(cfg: Configuration, folder: pathlib.Path, kill: str) -> bool:
    """Run the demo; return whether all guarantees held."""
    async with fleet(folder, secrets.token_hex(32)) as found_fleet:
        demo = Demo(found_fleet, cfg, folder, kill)
        found = await demo.run()
        timeline = await demo.timeline()
    bad = (*found.bad_ends, *found_fleet.ended_badly)
    rows = lines(msgspec.structs.replace(found, bad_ends=bad))
    (folder / "timeline.txt").write_text(timeline)
    ended = "\n".join(outcomes(found.ended)) + "\n"
    (folder / "outcomes.txt").write_text(ended)
    (folder / "broken.txt").write_text("\n".join(details(found)) + "\n")
    print(table(rows))
    for name in bad:
        print(f"ended badly: {name}")
    print(f"\nlast lines of the time line ({folder}/timeline.txt):")
    print("\n".join(timeline.rstrip().splitlines()[-LAST_LINES:]))
    return all(row.kept is not False for row in rows)


async def _configuration(folder: pathlib.Path) -> Configuration:
    """Return the configuration that the example program prints."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, str(EXAMPLE), stdout=asyncio.subprocess.PIPE
    )
    out, _ = await process.communicate()
    (folder / "authority.json").write_bytes(out)
    return msgspec.json.decode(out, type=Configuration)


async def _main(folder: pathlib.Path, kill: str) -> bool:
    folder.mkdir(parents=True, exist_ok=True)
    return await _demo(await _configuration(folder), folder, kill)


def demo(*, folder: pathlib.Path = FOLDER, kill: str = "") -> None:
    """Run the Authority's deployment on loopback and judge it.

    :param folder: where logs and the time line are written.
    :param kill: process to kill half-way, such as balancer-2, agent-3,
        server-3, store or fabric.
    """
    print(needs(), flush=True)
    try:
        check_ports()
        kept = asyncio.run(_main(folder, kill))
    except (NotReady, PortsTaken, RuntimeError) as exc:
        print(f"demo: {exc}", file=sys.stderr)
        sys.exit(1)
    sys.exit(0 if kept else 1)


if __name__ == "__main__":
    defopt.run(demo)

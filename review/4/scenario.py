"""Open flows of a moved route, after all balancers were killed at once."""

import asyncio
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.lab import Lab  # noqa: E402
from standins.lab import play  # noqa: E402

ROUTE = ("127.198.18.1", 443)
FEEDS = 30
ROUTE_MOVES_S = 1.0
SECOND_REQUEST_S = 5.0
"""Longer after the move than a configuration may take everywhere."""
KILL_S = 6.0
THIRD_REQUEST_S = 12.5
"""Kill, restart after half a second, then more than the stability window.
The feeds are idle for half of the idle timeout."""


async def scenario(record_file: Path) -> int:
    lab = Lab(record_file, balancers=3, servers={"desk": 3, "office": 2})
    lab.routes = {ROUTE: "desk"}
    async with lab.running():
        feeds = await lab.open_feeds([ROUTE] * FEEDS)
        since = time.monotonic()
        await lab.at(ROUTE_MOVES_S, since)
        lab.routes = {ROUTE: "office"}
        lab.publish()
        await lab.at(SECOND_REQUEST_S, since)
        await lab.request_all(feeds, "second")
        await lab.at(KILL_S, since)
        if lab.trouble:
            await asyncio.gather(
                *(node.restart_after_kill() for node in lab.balancers)
            )
        await lab.at(THIRD_REQUEST_S, since)
        await lab.request_all(feeds, "third")
        return lab.result()


if __name__ == "__main__":
    play(__file__, scenario)

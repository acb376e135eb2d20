"""Flows opened while the weights of a route change, then a rolling restart."""

import asyncio
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.lab import Lab  # noqa: E402
from standins.lab import play  # noqa: E402

ROUTE = ("127.198.18.1", 443)
FEEDS = 60
MOSTLY_DESK = {"desk": 90, "office": 10}
MOSTLY_OFFICE = {"desk": 10, "office": 90}
WEIGHTS_CHANGE_S = 0.1
WEIGHTS_CHANGE_BACK_S = 1.5
ROLL_S = 3.0
ROLL_GAP_S = 1.3
SECOND_REQUEST_S = 13.5
"""Less than the idle timeout after the feeds' first requests."""


async def open_feed(feed, name: str) -> None:
    """Open a feed with one request."""
    if await feed.open():
        await feed.request(name)


async def scenario(record_file: Path) -> int:
    lab = Lab(
        record_file,
        balancers=3,
        servers={"desk": 3, "office": 3},
        is_planned=True,
    )
    lab.routes = {ROUTE: MOSTLY_DESK}
    async with lab.running():
        since = time.monotonic()
        feeds = [lab.clients.flow(ROUTE) for _ in range(FEEDS)]
        opening = [
            asyncio.create_task(open_feed(feed, f"first-{number}"))
            for number, feed in enumerate(feeds)
        ]
        if lab.trouble:
            await lab.at(WEIGHTS_CHANGE_S, since)
            lab.routes = {ROUTE: MOSTLY_OFFICE}
            lab.publish()
            await lab.at(WEIGHTS_CHANGE_BACK_S, since)
            lab.routes = {ROUTE: MOSTLY_DESK}
            lab.publish()
        await asyncio.gather(*opening)
        feeds = [feed for feed in feeds if feed.state == "open"]
        places = [lab.holder(feed).service for feed in feeds]
        lab.record(
            f"{len(feeds)} feeds are open, {places.count('desk')} at desk, "
            f"{places.count('office')} at office"
        )
        lab.require_most(len(feeds), FEEDS)
        await lab.at(ROLL_S, since)
        for node in lab.balancers:
            await node.restart_after_term()
            await asyncio.sleep(ROLL_GAP_S)
        await lab.at(SECOND_REQUEST_S, since)
        await lab.request_all(feeds, "second")
        return lab.result()


if __name__ == "__main__":
    play(__file__, scenario)

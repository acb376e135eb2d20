"""Flows opened during two changes of the configuration and a restart."""

import asyncio
from pathlib import Path
import random
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.lab import Lab  # noqa: E402
from standins.lab import play  # noqa: E402

ROUTE = ("127.198.18.1", 443)
FEEDS = 60
ANSWERED_S = 0.1
"""The poll is answered by then."""
FIRST_CHANGE_S = 0.5
SECOND_CHANGE_S = 0.6
OPENING_S = 0.65
END_S = 6.0


async def talk(feed, name: str, until: float) -> None:
    """Open a feed and send requests, with short pauses."""
    number = 0
    await feed.open()
    while time.monotonic() < until and feed.state == "open":
        await feed.request(f"{name}-{number}")
        number += 1
        await asyncio.sleep(random.uniform(0.2, 0.5))


async def scenario(record_file: Path) -> int:
    lab = Lab(
        record_file,
        balancers=5,
        servers={"desk": 3, "office": 3},
        is_planned=True,
    )
    lab.routes = {ROUTE: "desk"}
    async with lab.running():
        # The balancer that restarts has just been polled: it leaves the
        # rotation by the second poll from now, a second later.
        polled_at = lab.routers.polled_at[lab.balancers[-1].name]
        while lab.routers.polled_at[lab.balancers[-1].name] == polled_at:
            await asyncio.sleep(0.01)
        since = time.monotonic()
        await lab.at(ANSWERED_S, since)
        restart = asyncio.create_task(lab.balancers[-1].restart_after_term())
        await lab.at(FIRST_CHANGE_S, since)
        if lab.trouble:
            lab.publish()
        await lab.at(SECOND_CHANGE_S, since)
        if lab.trouble:
            lab.routes = {ROUTE: "office"}
            lab.publish()
        await lab.at(OPENING_S, since)
        feeds, tasks = [], []
        for number in range(FEEDS):
            feed = lab.clients.flow(ROUTE)
            feeds.append(feed)
            talking = talk(feed, f"feed{number}", since + END_S)
            tasks.append(asyncio.create_task(talking))
            await asyncio.sleep(0.005)
        await restart
        await asyncio.gather(*tasks)
        lab.require_most(sum(f.opened_at > 0 for f in feeds), FEEDS)
        return lab.result()


if __name__ == "__main__":
    play(__file__, scenario)

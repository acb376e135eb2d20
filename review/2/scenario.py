"""Open flows of many moved routes, while one balancer restarts as planned."""

import asyncio
from pathlib import Path
import random
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.lab import Lab  # noqa: E402
from standins.lab import play  # noqa: E402

ROUTES = [("127.198.18.1", 4_000 + number) for number in range(60)]
ROUTES_MOVE_S = 3.0
RESTART_S = 8.0
END_S = 18.0
PAUSE_S = 4.0
"""Mean pause between two requests of a feed; the idle timeout is 15 s."""


async def talk(feed, name: str, until: float) -> None:
    """Open a feed and send requests, with pauses."""
    number = 0
    await feed.open()
    while time.monotonic() < until and feed.state == "open":
        await feed.request(f"{name}-{number}")
        number += 1
        await asyncio.sleep(PAUSE_S * random.uniform(0.5, 1.5))


async def scenario(record_file: Path) -> int:
    lab = Lab(
        record_file,
        balancers=3,
        servers={"desk": 3, "office": 2},
        is_planned=True,
    )
    lab.routes = dict.fromkeys(ROUTES, "desk")
    async with lab.running():
        since = time.monotonic()
        feeds, tasks = [], []
        for number, route in enumerate(ROUTES):
            feeds.append(lab.clients.flow(route))
            talking = talk(feeds[-1], f"feed{number}", since + END_S)
            tasks.append(asyncio.create_task(talking))
            await asyncio.sleep(0.03)
        await lab.at(ROUTES_MOVE_S, since)
        lab.routes = dict.fromkeys(ROUTES, "office")
        lab.publish()
        await lab.at(RESTART_S, since)
        is_open = [feed.state == "open" for feed in feeds]
        lab.record(f"{sum(is_open)} of {len(feeds)} feeds are open")
        lab.require_most(sum(is_open), len(feeds))
        if lab.trouble:
            await lab.balancers[0].restart_after_term()
        await lab.at(END_S, since)
        await asyncio.gather(*tasks)
        is_open = [feed.state == "open" for feed in feeds]
        lab.record(f"{sum(is_open)} of {len(feeds)} feeds are open")
        return lab.result()


if __name__ == "__main__":
    play(__file__, scenario)

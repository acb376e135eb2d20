"""Open flows that pause while the operator raises ``idle_timeout_ms``."""

import asyncio
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.lab import Lab  # noqa: E402
from standins.lab import play  # noqa: E402

ROUTE = ("198.18.0.1", 443)
FEEDS = 40
SHORT_IDLE_MS = 10_000
LONG_IDLE_MS = 30_000
SETTLE_S = 1.0
OLDEST_IDLE_S = 9.9
"""Idle time of the oldest feed when the change is acknowledged: less than
the shorter timeout."""
REQUEST_AFTER_S = 7.0
"""From the acknowledgement to the feeds' next requests: more than the three
seconds in which a configuration has to be in force everywhere."""


async def scenario(record_file: Path) -> int:
    lab = Lab(record_file, balancers=3, servers={"desk": 3}, is_planned=True)
    lab.routes = {ROUTE: "desk"}
    lab.limits["idle_timeout_ms"] = (
        SHORT_IDLE_MS if lab.trouble else LONG_IDLE_MS
    )
    async with lab.running():
        await asyncio.sleep(SETTLE_S)
        feeds = await lab.open_feeds([ROUTE] * FEEDS)
        since = min(feed.last_packet_at for feed in feeds)
        await lab.at(OLDEST_IDLE_S, since)
        idle_s = [time.monotonic() - feed.last_packet_at for feed in feeds]
        lab.record(
            f"feeds are idle for {min(idle_s):.2f} to {max(idle_s):.2f} s"
        )
        if lab.trouble:
            lab.limits["idle_timeout_ms"] = LONG_IDLE_MS
            lab.publish()
        await asyncio.sleep(REQUEST_AFTER_S)
        await lab.request_all(feeds, "second")
        return lab.result()


if __name__ == "__main__":
    play(__file__, scenario)

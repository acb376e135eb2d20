"""Open flows that pause while the operator raises ``idle_timeout_ms``."""

import asyncio
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.lab import Lab  # noqa: E402
from standins.lab import play  # noqa: E402

ROUTE = ("127.198.18.1", 443)
SERVERS = 40
FEEDS = 80
SHORT_IDLE_MS = 10_000
LONG_IDLE_MS = 30_000
PROPAGATION_S = 3.0
CHANGE_S = 13.2
"""From the start of the processes to the change."""
OPENING_S = CHANGE_S - 6.8
"""The feeds fall silent from here on, each at another time. By the old timeout
they are idle for too long from 3.2 s after the change on."""
GAP_S = 0.01
REQUEST_S = CHANGE_S + 9.0


async def scenario(record_file: Path) -> int:
    lab = Lab(
        record_file, balancers=3, servers={"desk": SERVERS}, is_planned=True
    )
    lab.routes = {ROUTE: "desk"}
    lab.limits["idle_timeout_ms"] = (
        SHORT_IDLE_MS if lab.trouble else LONG_IDLE_MS
    )
    async with lab.running():
        since = lab.started_at
        await lab.at(OPENING_S, since)
        feeds = await lab.open_feeds([ROUTE] * FEEDS, GAP_S)
        await lab.at(CHANGE_S, since)
        changed_at = time.monotonic()
        if lab.trouble:
            lab.limits["idle_timeout_ms"] = LONG_IDLE_MS
            lab.publish()
        idle_s = [changed_at - feed.last_packet_at for feed in feeds]
        lab.record(
            f"{len(feeds)} feeds are idle for {min(idle_s):.2f} to "
            f"{max(idle_s):.2f} s"
        )
        if max(idle_s) + PROPAGATION_S >= SHORT_IDLE_MS / 1_000:
            lab.give_up("the feeds were opened too early")
        await lab.at(REQUEST_S, since)
        await lab.request_all(feeds, "second")
        return lab.result()


if __name__ == "__main__":
    play(__file__, scenario)

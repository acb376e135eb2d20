"""Stand-in for the routers that send callers' packets to balancers."""

import asyncio
import random
import socket

from medlar_core.relay.segment import FlowId
from medlar_node.relay.http import HttpClient
from medlar_node.relay.http import HttpError
from medlar_node.relay.http import Request

POLL_INTERVAL_S = 0.5
MISSES_MAX = 2
LOSS_SHARE = 0.05


class Router:
    """Hashes flows over the ready balancers.

    A balancer is out of rotation after ``MISSES_MAX`` failed readiness
    checks. If fewer than half are in rotation, all are candidates.
    """

    def __init__(
        self,
        rng: random.Random,
        sock: socket.socket,
        packets: list[tuple[str, int]],
        ready: list[str],
    ) -> None:
        self.is_lossy = False
        self._rng = rng
        self._sock = sock
        self._packets = packets
        self._ready = ready
        self._misses = [MISSES_MAX] * len(ready)

    def send(self, flow: FlowId, data: bytes) -> None:
        """Send a caller's packet to the balancer of its flow."""
        if self.is_lossy and self._rng.random() < LOSS_SHARE:
            return
        candidates = [
            n for n, count in enumerate(self._misses) if count < MISSES_MAX
        ]
        if 2 * len(candidates) < len(self._ready):
            candidates = list(range(len(self._ready)))
        self._sock.sendto(
            data, self._packets[candidates[flow.key % len(candidates)]]
        )

    def in_rotation(self) -> int:
        """Return the number of balancers in rotation."""
        return sum(count < MISSES_MAX for count in self._misses)

    async def poll_readiness(self) -> None:
        """Poll the readiness of all balancers until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for number in range(len(self._ready)):
                tasks.create_task(self._poll(number))

    async def _poll(self, number: int) -> None:
        while True:
            client = HttpClient(self._ready[number])
            try:
                req = Request("GET", "/-/readiness")
                res = await client.call(req, POLL_INTERVAL_S)
                ready = res.status == 200
            except HttpError:
                ready = False
            finally:
                client.close()
            misses = self._misses[number] + 1
            self._misses[number] = 0 if ready else misses
            await asyncio.sleep(POLL_INTERVAL_S)

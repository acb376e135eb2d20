"""The platform's routers: callers' packets to balancers in rotation."""

import asyncio
import random
import socket

from medlar_core.relay.segment import FlowId
from medlar_node.relay.http import HttpClient
from medlar_node.relay.http import HttpError
from medlar_node.relay.http import Request

ASK_EVERY_S = 0.5
MISSES = 2
LOST_SHARE = 0.05


class Router:
    """Hashes flows over the balancers that say that they are ready."""

    def __init__(
        self,
        rng: random.Random,
        sock: socket.socket,
        packets: list[tuple[str, int]],
        ready: list[str],
    ) -> None:
        self.loses = False
        self._rng = rng
        self._sock = sock
        self._packets = packets
        self._ready = ready
        self._misses = [MISSES] * len(ready)

    def send(self, flow: FlowId, data: bytes) -> None:
        """Send a caller's packet."""
        if self.loses and self._rng.random() < LOST_SHARE:
            return
        used = [n for n, count in enumerate(self._misses) if count < MISSES]
        if 2 * len(used) < len(self._ready):
            used = list(range(len(self._ready)))
        self._sock.sendto(data, self._packets[used[flow.key % len(used)]])

    def in_rotation(self) -> int:
        """Return how many balancers are ready."""
        return sum(count < MISSES for count in self._misses)

    async def watching(self) -> None:
        """Ask all balancers, twice a second, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for number in range(len(self._ready)):
                tasks.create_task(self._watch(number))

    async def _watch(self, number: int) -> None:
        while True:
            client = HttpClient(self._ready[number])
            try:
                req = Request("GET", "/-/readiness")
                res = await client.call(req, ASK_EVERY_S)
                ready = res.status == 200
            except HttpError:
                ready = False
            finally:
                client.close()
            misses = self._misses[number] + 1
            self._misses[number] = 0 if ready else misses
            await asyncio.sleep(ASK_EVERY_S)

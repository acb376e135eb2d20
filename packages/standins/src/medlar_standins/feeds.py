"""Callers of feeds: plain UDP peers that keep a flow open."""

import asyncio
import collections
import enum
from typing import cast

import msgspec

from medlar_core.packets import Flag

from .segments import pack
from .segments import Segment
from .segments import unpack

RETRANSMIT_S = 0.4
STALL_S = 8.0
"""Time without a response after which a feed counts as stalled."""


class FeedState(enum.Enum):
    """State of a feed as its caller sees it."""

    OPENING = "opening"
    OPEN = "open"
    RESET = "reset"
    STALLED = "stalled"
    CLOSED = "closed"


class FeedCount(msgspec.Struct):
    """Counters of the callers of feeds."""

    opened: int = 0
    refused: int = 0
    broken: int = 0
    sent: int = 0
    echoed: int = 0


class Feed(asyncio.DatagramProtocol):
    """One flow that sends numbered packets and expects each echoed."""

    def __init__(self, count: FeedCount) -> None:
        self.state = FeedState.OPENING
        self._count = count
        self._number = 0
        self._acked = True
        self._received_at = 0.0
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the stall timer."""
        # The loop's transport need not subclass DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)
        self._received_at = asyncio.get_running_loop().time()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a response."""
        segment = unpack(data)
        if segment is None:
            return
        self._received_at = asyncio.get_running_loop().time()
        if segment.flags & Flag.RST:
            self._reset()
        elif self.state is FeedState.OPENING and segment.flags & Flag.SYN:
            self.state = FeedState.OPEN
            self._count.opened += 1
        elif segment.payload == self._payload() and not self._acked:
            self._acked = True
            self._count.echoed += 1

    async def run(self, period_s: float) -> None:
        """Open the flow and send packets until it ends or is cancelled."""
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        try:
            while self.state in (FeedState.OPENING, FeedState.OPEN):
                now = loop.time()
                if now - self._received_at > max(STALL_S, 2 * period_s):
                    self._stall()
                elif self.state is FeedState.OPENING:
                    self._send(Flag.SYN, b"")
                elif not self._acked:
                    self._send(Flag.ACK, self._payload())
                elif now >= next_at:
                    next_at = now + period_s
                    self._next()
                await asyncio.sleep(RETRANSMIT_S)
        finally:
            self.close()

    def close(self) -> None:
        """End the flow if it is open."""
        if self.state is FeedState.OPEN:
            self._send(Flag.FIN, b"")
            self.state = FeedState.CLOSED
        if self._transport is not None:
            self._transport.close()

    def _next(self) -> None:
        self._number += 1
        self._acked = False
        self._count.sent += 1
        self._send(Flag.ACK, self._payload())

    def _payload(self) -> bytes:
        return b"%d" % self._number

    def _send(self, flags: Flag, payload: bytes) -> None:
        if self._transport is not None:
            self._transport.sendto(pack(Segment(int(flags), payload)))

    def _reset(self) -> None:
        if self.state is FeedState.OPEN:
            self._count.broken += 1
        elif self.state is FeedState.OPENING:
            self._count.refused += 1
        self.state = FeedState.RESET

    def _stall(self) -> None:
        if self.state is FeedState.OPEN:
            self._count.broken += 1
        else:
            self._count.refused += 1
        self.state = FeedState.STALLED


class Feeds:
    """A set of feeds to one address."""

    def __init__(self, host: str, port: int) -> None:
        self.count = FeedCount()
        self._to = (host, port)
        self._feeds: list[Feed] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self, number: int, period_s: float) -> None:
        """Open more feeds, each with a packet every ``period_s``."""
        loop = asyncio.get_running_loop()
        for _ in range(number):
            _, feed = await loop.create_datagram_endpoint(
                lambda: Feed(self.count), remote_addr=self._to
            )
            self._feeds.append(feed)
            self._tasks.append(asyncio.create_task(feed.run(period_s)))

    def states(self) -> collections.Counter[FeedState]:
        """Return how many feeds are in each state."""
        return collections.Counter(feed.state for feed in self._feeds)

    async def close(self) -> None:
        """End all feeds."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

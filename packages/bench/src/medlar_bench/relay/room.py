"""Rows on too little room: who is served while callers outnumber slots.

The oracle knows all servers at once, starts a request without delay and
serves by priority, then the earliest that can still be in its target. Its
callers do not retry.
Today's code is the same fleet without terms in its routes; strict FIFO is one
queue for all servers.
"""

from collections.abc import Callable
import heapq

import msgspec

from medlar_core.relay.configuration.routes import Route
from medlar_core.relay.configuration.routes import RouteTable
from medlar_core.relay.configuration.routes import Share
from medlar_core.relay.segment import endpoint

from ..rows import Measurement
from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .room_fleet import ATTEMPT_S
from .room_fleet import Request
from .room_fleet import RoomFleet
from .room_fleet import SERVICE

HOST = "192.0.2.1"
PORTS = (8_000, 8_001)
"""One route of each rank."""
TARGET_S = 0.3
TIMEOUT_S = 3.0
ROUND_TRIP_S = 0.015
"""Time that the oracle's requests spend on their way."""
FLOOR_BOUND = 0.1
FLOOD = 2.6
LEAD_S = 1.0
TAIL_S = 4.0

_ADDRESSES = tuple(endpoint(HOST, port) for port in PORTS)


class Pattern(msgspec.Struct, frozen=True):
    """A load, in multiples of what the servers bear.

    ``before`` and ``during`` are for each rank, for ``LEAD_S`` and then
    ``for_s``; the first again for ``LEAD_S`` after it.
    """

    name: str
    before: tuple[float, float]
    during: tuple[float, float]
    for_s: float
    service_s: float = 0.03


PATTERNS = (
    Pattern("bulk", (0.15, 0.45), (0.15, FLOOD), 1.5),
    Pattern("urgent", (0.15, 0.45), (FLOOD, 0.45), 1.5),
    Pattern("moderate", (0.15, 0.45), (0.3, 1.2), 1.5),
    Pattern("cold", (0.05, 0.15), (1.0, 3.0), 1.0, 0.09),
)
SERVERS = {Size.FAST: 3, Size.FULL: 8}


class Result(msgspec.Struct, frozen=True):
    """What a pattern gave: requests, busy share, SYNs at servers."""

    requests: list[Request]
    flooded_at: float
    worked: float = 1.0
    delivered: int = 0

    def in_target(self) -> int:
        """Return how many requests were answered in their target."""
        return sum(r.answered_at - r.at <= TARGET_S for r in self.requests)

    def floor(self, rank: int, for_s: float) -> float:
        """Return the share of a rank among the answers in the flood."""
        until = self.flooded_at + for_s
        answered = [
            r
            for r in self.requests
            if self.flooded_at <= r.answered_at <= until
        ]
        own = [r for r in answered if r.address == _ADDRESSES[rank]]
        return len(own) / max(1, len(answered))


def _requests(pattern: Pattern, servers: int, at: float) -> list[Request]:
    found: list[Request] = []
    phases = (
        (at, LEAD_S, pattern.before),
        (at + LEAD_S, pattern.for_s, pattern.during),
        (at + LEAD_S + pattern.for_s, LEAD_S, pattern.before),
    )
    for start, for_s, loads in phases:
        for address, load in zip(_ADDRESSES, loads, strict=True):
            count = int(load * servers / pattern.service_s * for_s)
            found += [
                Request(start + for_s * number / count, address)
                for number in range(count)
            ]
    return found


def _play(pattern: Pattern, servers: int, seed: int, terms: bool) -> Result:
    routes = tuple(
        Route(
            HOST,
            port,
            (Share(SERVICE, 1),),
            rank,
            int(TARGET_S * 1_000) if terms else 0,
            int(TIMEOUT_S * 1_000) if terms else 0,
        )
        for rank, port in enumerate(PORTS)
    )
    fleet = RoomFleet(
        servers, pattern.service_s, RouteTable(1, routes, 60.0), seed
    )
    at = float(fleet.clock.now)
    requests = _requests(pattern, servers, at)
    for request in requests:
        fleet.call(request)
    flooded_at = at + LEAD_S
    fleet.world.run(LEAD_S)
    busy_s = sum(server.busy_s for server in fleet.servers)
    fleet.world.run(pattern.for_s)
    worked_s = sum(server.busy_s for server in fleet.servers) - busy_s
    fleet.world.run(TAIL_S)
    delivered = sum(len(s.delivered_at) for s in fleet.servers)
    worked = worked_s / (pattern.for_s * servers)
    return Result(requests, flooded_at, worked, delivered)


Key = Callable[[float, Request], tuple[float, ...]]


def _central(pattern: Pattern, servers: int, key: Key) -> Result:
    """Serve the pattern from one queue; a lower key goes first."""
    requests = sorted(_requests(pattern, servers, 0.0), key=lambda r: r.at)
    free = [0.0] * servers
    waiting: list[Request] = []
    upcoming = list(reversed(requests))
    while upcoming or waiting:
        now = heapq.heappop(free)
        if not waiting:
            now = max(now, upcoming[-1].at)
        while upcoming and upcoming[-1].at <= now:
            waiting.append(upcoming.pop())
        waiting = [r for r in waiting if now - r.at <= ATTEMPT_S]
        if waiting:
            chosen = min(waiting, key=lambda r: key(now, r))
            waiting.remove(chosen)
            now += pattern.service_s
            chosen.answered_at = now + ROUND_TRIP_S
        heapq.heappush(free, now)
    return Result(requests, LEAD_S)


def _oracle(pattern: Pattern, servers: int) -> Result:
    def key(now: float, r: Request) -> tuple[float, ...]:
        took_s = now - r.at + pattern.service_s + ROUND_TRIP_S
        return (_ADDRESSES.index(r.address), took_s > TARGET_S, r.at)

    return _central(pattern, servers, key)


def _fifo(pattern: Pattern, servers: int) -> Result:
    return _central(pattern, servers, lambda now, r: (r.at,))


def _measure(pattern: Pattern, size: Size, seed: int) -> list[Row]:
    servers = SERVERS[size]
    ours = _play(pattern, servers, seed, True)
    today = _play(pattern, servers, seed, False)
    best = _oracle(pattern, servers).in_target()
    fifo = _fifo(pattern, servers).in_target()
    flooding = 0 if pattern.during[0] > pattern.during[1] else 1
    other = 1 - flooding
    floor = min(FLOOR_BOUND, pattern.during[other])
    first_attempts = len(ours.requests)
    name = f"room.{pattern.name}"
    in_aim = Row(
        f"{name}.in_aim",
        ours.in_target() / best,
        "share of the oracle's",
        0.97,
        Sense.MIN,
        seed,
        today.in_target() / best,
        "server queues, SYNs dropped when full",
        f"strict FIFO {fifo / best:.3f}",
    )
    kept = Row(
        f"{name}.floor",
        ours.floor(other, pattern.for_s),
        "share of answers",
        0.9 * floor,
        Sense.MIN,
        seed,
        today.floor(other, pattern.for_s),
        "server queues, SYNs dropped when full",
    )
    idle = Row(
        f"{name}.idle_share",
        1.0 - ours.worked,
        "share of slots",
        0.03,
        Sense.MAX,
        seed,
        1.0 - today.worked,
        "server queues, SYNs dropped when full",
    )
    amplification = Row(
        f"{name}.amplification",
        ours.delivered / first_attempts,
        "SYNs at servers a request",
        1.2,
        Sense.MAX,
        seed,
        today.delivered / first_attempts,
        "server queues, SYNs dropped when full",
    )
    return [in_aim, kept, idle, amplification]


def _measurement(pattern: Pattern) -> Measurement:
    names = tuple(
        f"room.{pattern.name}.{row}"
        for row in ("in_aim", "floor", "idle_share", "amplification")
    )
    return Measurement(names, lambda size, seed: _measure(pattern, size, seed))


ROOM = tuple(_measurement(pattern) for pattern in PATTERNS)
